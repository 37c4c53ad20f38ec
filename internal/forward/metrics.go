package forward

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
)

// metrics has no label for the route, whose values would be unbounded: operators choose the
// routes' names, and each version of the configuration may bring new ones.
type metrics struct {
	requests       *prometheus.CounterVec
	latency        prometheus.Histogram
	shardShare     prometheus.Histogram
	repeats        prometheus.Counter
	repeatsRefused prometheus.Counter
	takeovers      *prometheus.CounterVec
	panics         prometheus.Counter
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "spindle_forward_requests_total", Help: "Requests by outcome and reason.",
		}, []string{"outcome", "reason"}),
		latency: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "spindle_forward_request_seconds", Help: "Time to the answer.",
			Buckets: []float64{.01, .02, .04, .08, .15, .2, .3, .5, .8, 1.5, 3, 6, 15},
		}),
		shardShare: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "spindle_forward_shard_share", Help: "Share of shards in answers of searches.",
			Buckets: []float64{.5, .75, .85, .89, .9, .95, .999, 1},
		}),
		repeats: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "spindle_forward_repeats_total", Help: "Attempts beyond the first that were paid for.",
		}),
		repeatsRefused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "spindle_forward_repeats_refused_total", Help: "Attempts beyond the first for which the budget was spent.",
		}),
		takeovers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "spindle_forward_takeovers_total",
			Help: "Requests taken back from a VM that may have sent them, by whether it announced replicas.",
		}, []string{"announced"}),
		panics: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "spindle_forward_panics_total", Help: "Requests and parts of searches in which this VM panicked.",
		}),
	}
	if r != nil {
		r.MustRegister(m.requests, m.latency, m.shardShare, m.repeats, m.repeatsRefused, m.takeovers, m.panics)
	}
	return m
}

// observeTakeover counts a request that is taken back from a VM that may have sent it.
func (m *metrics) observeTakeover(announced bool) {
	m.takeovers.WithLabelValues(strconv.FormatBool(announced)).Inc()
}

func (m *metrics) observe(o *outcome.Outcome, took time.Duration) {
	m.requests.WithLabelValues(string(o.Kind), string(o.Reason)).Inc()
	m.latency.Observe(took.Seconds())
	if o.Kind == caller.OutcomeAnswered && o.Coverage != nil && o.Coverage.ShardsTotal > 0 {
		m.shardShare.Observe(float64(o.Coverage.ShardsCovered) / float64(o.Coverage.ShardsTotal))
	}
}
