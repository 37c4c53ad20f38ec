package telemetry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/sardinespindle/sardinespindle/internal/telemetry"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
	"github.com/sardinespindle/sardinespindle/schema/gen/settings"
)

func TestTelemetry(t *testing.T) { testkit.Run(t, "telemetry") }

var _ = Describe("Traces", func() {
	// collect starts a collector that replies with the statuses in turn, then with 200, and returns
	// the bodies that it accepts.
	collect := func(statuses ...int) (endpoint string, bodies chan []byte) {
		bodies = make(chan []byte, 10)
		var calls atomic.Int32
		collector := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			defer GinkgoRecover()
			Expect(r.Method + " " + r.URL.Path).To(Equal("POST /v1/traces"))
			Expect(r.Header.Get("Content-Type")).To(Equal("application/json"))
			if n := int(calls.Add(1)); n <= len(statuses) {
				w.WriteHeader(statuses[n-1])
				return
			}
			body, err := io.ReadAll(r.Body)
			Expect(err).NotTo(HaveOccurred())
			bodies <- body
		}))
		DeferCleanup(collector.Close)
		return collector.Listener.Addr().String(), bodies
	}

	It("sends sampled spans to an OTLP collector over HTTP, in the JSON encoding of OTLP", func() {
		endpoint, bodies := collect()
		s := &settings.Trace{Exporter: settings.TraceExporterOtlp, Endpoint: endpoint, Sample: 1}
		flush, err := telemetry.Traces(s, "vm-01", "a")
		Expect(err).NotTo(HaveOccurred())
		ctx, parent := otel.Tracer("test").Start(context.Background(), "hop", trace.WithSpanKind(trace.SpanKindServer))
		_, span := otel.Tracer("test").Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient))
		span.SetAttributes(
			attribute.String("upstream", "x"), attribute.Int("class", -3), attribute.Bool("hedge", true),
			attribute.Float64("share", 0.5), attribute.StringSlice("shards", []string{"a", "b"}),
		)
		span.AddEvent("sent", trace.WithAttributes(attribute.Int("bytes", 7)))
		span.SetStatus(codes.Error, "lost")
		span.End()
		parent.End()
		Expect(flush(context.Background())).To(Succeed())

		var body struct {
			ResourceSpans []struct {
				Resource   struct{ Attributes []map[string]any }
				ScopeSpans []struct {
					Scope struct{ Name string }
					Spans []map[string]any
				}
			}
		}
		Expect(json.Unmarshal(<-bodies, &body)).To(Succeed())
		Expect(body.ResourceSpans).To(HaveLen(1))
		Expect(body.ResourceSpans[0].Resource.Attributes).To(ContainElement(map[string]any{
			"key": "service.instance.id", "value": map[string]any{"stringValue": "vm-01"},
		}))
		scopes := body.ResourceSpans[0].ScopeSpans
		Expect(scopes).To(HaveLen(1))
		Expect(scopes[0].Scope.Name).To(Equal("test"))
		Expect(scopes[0].Spans).To(HaveLen(2))
		got := scopes[0].Spans[0]
		Expect(got).To(HaveKeyWithValue("name", "attempt"))
		Expect(got).To(HaveKeyWithValue("kind", 3.0))
		Expect(got).To(HaveKeyWithValue("traceId", parent.SpanContext().TraceID().String()))
		Expect(got).To(HaveKeyWithValue("spanId", span.SpanContext().SpanID().String()))
		Expect(got).To(HaveKeyWithValue("parentSpanId", parent.SpanContext().SpanID().String()))
		Expect(got).To(HaveKeyWithValue("startTimeUnixNano", MatchRegexp("^[0-9]{19}$")))
		Expect(got).To(HaveKeyWithValue("endTimeUnixNano", MatchRegexp("^[0-9]{19}$")))
		Expect(got).To(HaveKeyWithValue("status", map[string]any{"code": 2.0, "message": "lost"}))
		text := func(s string) map[string]any { return map[string]any{"stringValue": s} }
		Expect(got).To(HaveKeyWithValue("attributes", ConsistOf(
			map[string]any{"key": "upstream", "value": text("x")},
			map[string]any{"key": "class", "value": map[string]any{"intValue": "-3"}},
			map[string]any{"key": "hedge", "value": map[string]any{"boolValue": true}},
			map[string]any{"key": "share", "value": map[string]any{"doubleValue": 0.5}},
			map[string]any{"key": "shards", "value": map[string]any{"arrayValue": map[string]any{"values": []any{text("a"), text("b")}}}},
		)))
		Expect(got).To(HaveKeyWithValue("events", HaveLen(1)))
		Expect(scopes[0].Spans[1]).NotTo(HaveKey("parentSpanId"))
	})

	// Guards against spans that are lost whenever the collector is overloaded for a moment.
	It("sends a batch again that an overloaded collector refused, and no other", func() {
		for status, accepted := range map[int]int{http.StatusServiceUnavailable: 1, http.StatusBadRequest: 0} {
			endpoint, bodies := collect(status)
			flush, err := telemetry.Traces(&settings.Trace{Exporter: settings.TraceExporterOtlp, Endpoint: endpoint, Sample: 1}, "vm-01", "a")
			Expect(err).NotTo(HaveOccurred())
			_, span := otel.Tracer("test").Start(context.Background(), "hop")
			span.End()
			Expect(flush(context.Background())).To(Succeed()) // errors of the exporter go to the log
			Expect(bodies).To(HaveLen(accepted))
		}
	})

	It("reports spans as refused if the collector's status does not exist", func() {
		var reported []error
		otel.SetErrorHandler(otel.ErrorHandlerFunc(func(err error) { reported = append(reported, err) }))
		DeferCleanup(func() { otel.SetErrorHandler(otel.ErrorHandlerFunc(func(error) {})) })
		endpoint := testkit.ServeReplies("HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n")
		flush, err := telemetry.Traces(&settings.Trace{Exporter: settings.TraceExporterOtlp, Endpoint: endpoint, Sample: 1}, "vm-01", "a")
		Expect(err).NotTo(HaveOccurred())
		_, span := otel.Tracer("test").Start(context.Background(), "hop")
		span.End()
		Expect(flush(context.Background())).To(Succeed())
		Expect(reported).To(ConsistOf(MatchError(ContainSubstring("the collector refused the spans"))))
	})
})

var _ = Describe("Logger", func() {
	It("writes JSON with the VM's name, and only lines at or above its level", func() {
		var out bytes.Buffer
		l, err := telemetry.Logger(&out, &settings.Log{Level: settings.LogLevelWarn, Format: settings.LogFormatJson}, "vm-01")
		Expect(err).NotTo(HaveOccurred())
		l.Info("quiet")
		l.Warn("loud", "key", 1)
		Expect(out.String()).To(And(ContainSubstring(`"vm":"vm-01"`), ContainSubstring(`"key":1`), Not(ContainSubstring("quiet"))))
	})
})
