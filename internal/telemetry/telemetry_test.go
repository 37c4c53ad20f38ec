package telemetry_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.opentelemetry.io/otel"

	"github.com/sardinespindle/sardinespindle/internal/telemetry"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
	"github.com/sardinespindle/sardinespindle/schema/gen/settings"
)

func TestTelemetry(t *testing.T) { testkit.Run(t, "telemetry") }

var _ = Describe("Traces", func() {
	It("sends sampled spans to an OTLP collector over HTTP", func() {
		var exports atomic.Int32
		collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost && r.URL.Path == "/v1/traces" && r.ContentLength != 0 {
				exports.Add(1)
			}
		}))
		defer collector.Close()
		s := &settings.Trace{Exporter: settings.TraceExporterOtlp, Endpoint: collector.Listener.Addr().String(), Sample: 1}
		flush, err := telemetry.Traces(context.Background(), s, "vm-01", "a")
		Expect(err).NotTo(HaveOccurred())
		_, span := otel.Tracer("test").Start(context.Background(), "hop")
		span.End()
		Expect(flush(context.Background())).To(Succeed())
		Expect(exports.Load()).To(BeEquivalentTo(1))
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
