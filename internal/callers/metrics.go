package callers

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sardinespindle/sardinespindle/internal/outcome"
)

type metrics struct {
	duration *prometheus.HistogramVec
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "spindle_request_duration_seconds",
			Help:    "Time from a caller's request to its reply, by workload, outcome and reason.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 15),
		}, []string{"workload", "outcome", "reason"}),
	}
	if r != nil {
		r.MustRegister(m.duration)
	}
	return m
}

// observe records the duration of a request and how it ended.
func (m *metrics) observe(c *call, o outcome.Outcome) {
	m.duration.WithLabelValues(c.workload, string(o.Kind), string(o.Reason)).Observe(time.Since(c.start).Seconds())
}
