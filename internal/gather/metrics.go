package gather

import "github.com/prometheus/client_golang/prometheus"

// counters are the metrics of one workload.
type counters struct {
	needed, sent, hedged, retried, cancelled prometheus.Counter
	coverage                                 prometheus.Observer
}

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

func (m *metrics) forWorkload(workload string) *counters {
	kind := func(k string) prometheus.Counter { return m.subrequests.WithLabelValues(workload, k) }
	return &counters{
		needed:    kind("needed"),
		sent:      kind("sent"),
		hedged:    kind("hedged"),
		retried:   kind("retried"),
		cancelled: kind("cancelled"),
		coverage:  m.coverage.WithLabelValues(workload),
	}
}
