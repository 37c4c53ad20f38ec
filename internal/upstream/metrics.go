package upstream

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics holds the package's Prometheus metrics.
type metrics struct {
	workloads   sync.Map // *lazyMetrics by name
	connections *prometheus.GaugeVec
	attempts    *prometheus.CounterVec
	dials       *prometheus.CounterVec
	probes      *prometheus.CounterVec
	refusals    *prometheus.CounterVec
	backoffs    *prometheus.CounterVec
	// limits and sentToLimited have a series for each upstream that names a limit.
	limits        *prometheus.GaugeVec
	sentToLimited *prometheus.CounterVec
	cold          prometheus.Gauge
	reached       prometheus.Gauge
	reachChecks   *prometheus.CounterVec
	seconds       *prometheus.HistogramVec
}

// newMetrics creates the metrics and registers them with r unless it is nil.
func newMetrics(r prometheus.Registerer) (*metrics, error) {
	m := &metrics{
		connections: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "spindle_upstream_connections", Help: "Connections open to an upstream.",
		}, []string{"address"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "spindle_upstream_attempts_total", Help: "Attempts by workload and class.",
		}, []string{"workload", "class"}),
		dials: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "spindle_upstream_dials_total", Help: "Connections dialed, by result.",
		}, []string{"result"}),
		probes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "spindle_upstream_probes_total", Help: "Probes sent, by result.",
		}, []string{"result"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "spindle_upstream_refusals_total", Help: "Attempts for which no replica was picked, by reason.",
		}, []string{"workload", "reason"}),
		backoffs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "spindle_upstream_backoffs_total", Help: "Upstreams that said that they leave or want a pause, by which.",
		}, []string{"kind"}),
		limits: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "spindle_upstream_limit_per_second", Help: "Requests a second that an upstream in need takes from all VMs together.",
		}, []string{"address"}),
		sentToLimited: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "spindle_upstream_limited_sent_total", Help: "Requests that this VM sent to an upstream that named a limit.",
		}, []string{"address"}),
		cold: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "spindle_upstream_cold", Help: "Upstreams that count as cold at this VM and get a bounded number of requests.",
		}),
		reached: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "spindle_upstream_reached", Help: "1 if this VM reaches upstreams, 0 if none replies or accepts a connection.",
		}),
		reachChecks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "spindle_upstream_reach_checks_total", Help: "Checks of whether any upstream accepts a connection, by result.",
		}, []string{"result"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "spindle_upstream_attempt_seconds", Help: "Time from picking a replica to the end of its reply.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14),
		}, []string{"workload"}),
	}
	m.reached.Set(1)
	if r == nil {
		return m, nil
	}
	for _, c := range []prometheus.Collector{m.connections, m.attempts, m.dials, m.probes, m.refusals, m.backoffs, m.limits, m.sentToLimited, m.cold, m.reached, m.reachChecks, m.seconds} {
		if err := r.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// numClasses is the number of classes that metrics count.
const numClasses = int(Failed) + 1

// workloadMetrics holds the metrics of one workload with their labels resolved. Counters are created
// at their first use: a search has a workload for each shard, and most classes are rare.
type workloadMetrics struct {
	all      *metrics
	name     string
	attempts [numClasses]atomic.Pointer[prometheus.Counter]
	seconds  prometheus.Observer
}

// lazyMetrics are the metrics of a workload, which are created at their first use: a VM that
// runs no searches sends nothing to most workloads.
type lazyMetrics struct {
	all  *metrics
	name string
	made atomic.Pointer[workloadMetrics]
}

// lazyForWorkload returns the lazy metrics of the named workload, the same ones at each call.
func (m *metrics) lazyForWorkload(name string) *lazyMetrics {
	made, _ := m.workloads.LoadOrStore(name, &lazyMetrics{all: m, name: name})
	return made.(*lazyMetrics)
}

// get returns the metrics.
func (l *lazyMetrics) get() *workloadMetrics {
	if w := l.made.Load(); w != nil {
		return w
	}
	w := l.all.forWorkload(l.name)
	l.made.Store(w)
	return w
}

// forWorkload returns the metrics of the named workload.
func (m *metrics) forWorkload(name string) *workloadMetrics {
	return &workloadMetrics{all: m, name: name, seconds: m.seconds.WithLabelValues(name)}
}

// count records one attempt.
func (w *workloadMetrics) count(class Class, latency time.Duration) {
	c := w.attempts[class].Load()
	if c == nil {
		made := w.all.attempts.WithLabelValues(w.name, class.String()) // the same one at each call
		c = &made
		w.attempts[class].Store(c)
	}
	(*c).Inc()
	w.seconds.Observe(latency.Seconds())
}

// String returns the name of the class in metrics and logs.
func (c Class) String() string {
	names := [...]string{"ok", "shed", "not_sent", "lost", "timed_out", "canceled", "garbled", "failed"}
	if c < 0 || int(c) >= len(names) {
		return "invalid"
	}
	return names[c]
}
