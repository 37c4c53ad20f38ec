package callers

import (
	"net/http"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// traced starts a span for each request, in the caller's trace if the headers name one. The span has
// the name of the route. otelhttp would do the same, but its wrappers for every combination of
// a ResponseWriter's interfaces are a tenth of the program.
func traced(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := otel.Tracer("sardinespindle/callers").Start(ctx, "caller request", trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		r = r.WithContext(ctx)
		h.ServeHTTP(w, r)
		if span.IsRecording() {
			span.SetAttributes(
				attribute.String("http.request.method", r.Method), attribute.String("url.path", r.URL.Path),
				attribute.String("http.route", r.Pattern), attribute.String("network.peer.address", r.RemoteAddr),
			)
		}
		if r.Pattern != "" {
			span.SetName(r.Pattern)
		}
	})
}

// recordStatus records the status of the answer in the request's span.
func recordStatus(r *http.Request, status int) {
	span := trace.SpanFromContext(r.Context())
	span.SetAttributes(attribute.Int("http.response.status_code", status))
	if status >= http.StatusInternalServerError {
		span.SetStatus(codes.Error, "")
	}
}
