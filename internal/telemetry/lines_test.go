package telemetry_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sardinespindle/sardinespindle/internal/telemetry"
	"github.com/sardinespindle/sardinespindle/schema/gen/settings"
)

// syncBuffer is a bytes.Buffer that is safe for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Buffer.Write(p)
}

func (s *syncBuffer) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.String()
}

var _ = Describe("LineWriter", func() {
	// Guards against requests that wait for a slow reader of the log.
	It("does not block when the reader of the log has stalled", func() {
		r, w := io.Pipe()
		defer r.Close()
		l := telemetry.NewLineWriter(w, settings.LogFormatJson)
		start := time.Now()
		for i := range 10_000 {
			_, err := fmt.Fprintf(l, "line %d\n", i)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(time.Since(start)).To(BeNumerically("<", time.Second))
	})

	// Guards against a log that grows with the load, and against gaps that are not reported.
	It("drops lines beyond the burst, and writes how many", func() {
		out := &syncBuffer{}
		l := telemetry.NewLineWriter(out, settings.LogFormatJson)
		for i := range 1000 {
			fmt.Fprintf(l, "line %d\n", i)
		}
		time.Sleep(50 * time.Millisecond)
		fmt.Fprintln(l, "after")
		Eventually(out.text).Should(ContainSubstring("after"))
		Expect(out.text()).To(ContainSubstring(`"msg":"lines dropped"`))
		Expect(bytes.Count([]byte(out.text()), []byte("\n"))).To(BeNumerically("<", 400))
		l.Close()
	})

	// Guards against warnings that are lost in a flood of routine lines.
	It("writes every warning while it drops routine lines, and registers both counters", func() {
		out := &syncBuffer{}
		l := telemetry.NewLineWriter(out, settings.LogFormatJson)
		registry := prometheus.NewRegistry()
		Expect(l.Register(registry)).To(Succeed())
		for i := range 1000 {
			fmt.Fprintf(l, `{"level":"info","msg":"request","n":%d}`+"\n", i)
		}
		for i := range 50 {
			fmt.Fprintf(l, `{"level":"warn","msg":"source lost","n":%d}`+"\n", i)
		}
		l.Close()
		Expect(strings.Count(out.text(), "source lost")).To(Equal(50))
		Expect(strings.Count(out.text(), `"request"`)).To(BeNumerically("<", 300))
		families, err := registry.Gather()
		Expect(err).NotTo(HaveOccurred())
		Expect(families[0].GetName()).To(Equal("spindle_log_lines_dropped_total"))
		Expect(families[0].GetMetric()).To(HaveLen(2))
	})

	// Guards against a reader that cannot parse the line about dropped lines, and against
	// warnings that count as routine.
	DescribeTable("reports dropped lines in the format of the log and writes every warning", func(format settings.LogFormat, dropped string) {
		out := &syncBuffer{}
		lines := telemetry.NewLineWriter(out, format)
		l, err := telemetry.Logger(lines, &settings.Log{Level: settings.LogLevelInfo, Format: format}, "vm")
		Expect(err).NotTo(HaveOccurred())
		for range 1000 {
			l.Info("request")
		}
		for range 50 {
			l.Warn("source lost")
		}
		lines.Close()
		Expect(strings.Count(out.text(), "source lost")).To(Equal(50))
		Expect(out.text()).To(ContainSubstring(dropped))
	},
		Entry(nil, settings.LogFormatJson, `"msg":"lines dropped","count":`),
		Entry(nil, settings.LogFormatLogfmt, `level=warn msg="lines dropped" count=`),
		Entry(nil, settings.LogFormatText, "WARN lines dropped count="),
	)
})

// BenchmarkLine measures what the log line of one request costs.
func BenchmarkLine(b *testing.B) {
	l, err := telemetry.Logger(telemetry.NewLineWriter(io.Discard, settings.LogFormatJson), &settings.Log{Level: settings.LogLevelInfo, Format: settings.LogFormatJson}, "vm")
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		l.Info("request", "id", "64c3b2f1", "route", "find", "outcome", "answered", "reason", "", "detail", "slow:2",
			"took_ms", 182, "sent", 20, "shed", 0, "retry_after_ms", 0, "version", 13, "covered", 18, "shards", 20)
	}
}
