package gather

import "github.com/prometheus/client_golang/prometheus"

type kind string

// Kinds of sub-requests that are counted.
const (
	kindNeeded    kind = "needed"
	kindSent      kind = "sent"
	kindHedged    kind = "hedged"
	kindRetried   kind = "retried"
	kindCancelled kind = "cancelled"
)

type metrics struct {
	subrequests *prometheus.CounterVec
	coverage    *prometheus.HistogramVec
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		subrequests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "spindle_subrequests_total",
			Help: "Sub-requests by workload and kind.",
		}, []string{"workload", "kind"}),
		coverage: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "spindle_coverage_ratio",
			Help:    "Share of shards covered by an answer.",
			Buckets: []float64{0, 0.5, 0.8, 0.9, 0.95, 0.99, 0.999, 1},
		}, []string{"workload"}),
	}
	if r != nil {
		r.MustRegister(m.subrequests, m.coverage)
	}
	return m
}

func (m *metrics) count(workload string, k kind, n int) {
	if n > 0 {
		m.subrequests.WithLabelValues(workload, string(k)).Add(float64(n))
	}
}
