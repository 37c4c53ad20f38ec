package callers_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.opentelemetry.io/otel/trace"

	"github.com/sardinespindle/sardinespindle/internal/outcome"
)

var _ = Describe("the span of a request", func() {
	var spans *tracetest.SpanRecorder
	BeforeEach(func() {
		provider, propagator := otel.GetTracerProvider(), otel.GetTextMapPropagator()
		DeferCleanup(func() {
			otel.SetTracerProvider(provider)
			otel.SetTextMapPropagator(propagator)
		})
		spans = tracetest.NewSpanRecorder()
		otel.SetTracerProvider(sdk.NewTracerProvider(sdk.WithSpanProcessor(spans)))
		otel.SetTextMapPropagator(propagation.TraceContext{})
	})

	// Guards against answers and spans that a caller can't find by the id of its own trace.
	It("is a server span of the caller's trace, named by the route", func() {
		v := newVM(testManifest(10))
		const id = "0af7651916cd43dd8448eb211c80319c"
		_, r := v.post("parts/search", `{"query":"x"}`, "Traceparent", "00-"+id+"-b7ad6b7169203331-01")
		Expect(r.TraceId).To(Equal(id))
		Eventually(spans.Ended).Should(HaveLen(1)) // ends after the answer
		s := spans.Ended()[0]
		Expect(s.Name()).To(Equal("POST /v1/workloads/{workload}/search"))
		Expect(s.SpanKind()).To(Equal(trace.SpanKindServer))
		Expect(s.SpanContext().TraceID().String()).To(Equal(id))
		Expect(s.Parent().SpanID().String()).To(Equal("b7ad6b7169203331"))
		Expect(s.Attributes()).To(ContainElements(
			attribute.String("http.request.method", "POST"), attribute.String("url.path", "/v1/workloads/parts/search"),
			attribute.String("http.route", "POST /v1/workloads/{workload}/search"), attribute.Int("http.response.status_code", 200),
		))
		Expect(s.Status().Code).To(Equal(codes.Unset))
	})

	It("starts a trace if the caller has none, and is an error if the answer is one of this side", func() {
		v := newVM(testManifest(10))
		v.backend.result = outcome.NotRun(outcome.Overloaded, "", 0)
		_, r := v.post("parts/search", `{"query":"x"}`)
		Eventually(spans.Ended).Should(HaveLen(1))
		s := spans.Ended()[0]
		Expect(s.Parent().IsValid()).To(BeFalse())
		Expect(r.TraceId).To(Equal(s.SpanContext().TraceID().String()))
		Expect(s.Attributes()).To(ContainElement(attribute.Int("http.response.status_code", 503)))
		Expect(s.Status().Code).To(Equal(codes.Error))
	})
})
