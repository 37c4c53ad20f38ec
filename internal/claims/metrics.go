package claims

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	claims   *prometheus.CounterVec
	votes    *prometheus.CounterVec
	duration prometheus.Histogram
}

func newMetrics(r prometheus.Registerer, keys func() float64) metrics {
	m := metrics{
		claims: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "spindle_claims_total", Help: "Claims on idempotency keys by verdict.",
		}, []string{"verdict"}),
		votes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "spindle_claim_votes_total", Help: "Votes given to claimants by verdict.",
		}, []string{"verdict"}),
		duration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "spindle_claim_duration_seconds", Help: "Time from asking for a claim to its verdict.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14),
		}),
	}
	if r == nil {
		return m
	}
	gauge := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "spindle_claim_keys", Help: "Idempotency keys remembered as a guard.",
	}, keys)
	r.MustRegister(m.claims, m.votes, m.duration, gauge)
	return m
}

// record counts a decision and observes how long Claim took to reach it.
func (m *metrics) record(d Decision, elapsed time.Duration) {
	m.claims.WithLabelValues(d.Verdict.String()).Inc()
	m.duration.Observe(elapsed.Seconds())
}
