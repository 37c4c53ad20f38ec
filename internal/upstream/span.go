package upstream

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"
)

const tracerName = "github.com/sardinespindle/sardinespindle/internal/upstream"

// startSpan starts the span of the hop to an upstream.
func startSpan(ctx context.Context, s *server, a *Attempt) (context.Context, trace.Span) {
	ctx, span := otel.Tracer(tracerName).Start(ctx, "upstream.attempt", trace.WithSpanKind(trace.SpanKindClient))
	if span.IsRecording() {
		span.SetAttributes(
			attribute.String("spindle.upstream", s.address),
			attribute.String("spindle.workload", a.Workload),
			attribute.String("spindle.shard", a.Shard),
			attribute.String("spindle.request_id", a.RequestID),
			attribute.Bool("spindle.hedge", a.Hedge),
		)
	}
	return ctx, span
}

// endSpan ends the span with the attempt's result.
func endSpan(span trace.Span, r *Result) {
	if span.IsRecording() {
		span.SetAttributes(attribute.String("spindle.class", r.Class.String()))
		if r.Err != nil {
			span.SetStatus(codes.Error, r.Err.Error())
		}
	}
	span.End()
}
