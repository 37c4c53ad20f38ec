package ingress

import (
	"net"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Reasons for a refusal: the labels of spindle_client_refused_total.
const (
	reasonConnections = "connections"  // closed to make room for a newer connection
	reasonNotAccepted = "not_accepted" // a connection for which there is no room
	reasonMemory      = "memory"       // refused or closed since the memory is spent
	reasonHead        = "head"         // a head over the limit
	reasonStalled     = "stalled"      // an answer that makes no progress
)

var reasons = []string{reasonConnections, reasonNotAccepted, reasonMemory, reasonHead, reasonStalled}

// Metrics are the metrics of all gates of a process.
type Metrics struct {
	refused    *prometheus.CounterVec
	registerer prometheus.Registerer
}

// NewMetrics registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{registerer: r, refused: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "spindle_client_refused_total", Help: "Requests refused and connections closed to bound what clients hold, by listener and reason.",
	}, []string{"listener", "reason"})}
	if r != nil {
		r.MustRegister(m.refused)
	}
	return m
}

// watch registers the gauges of a gate.
func (m *Metrics) watch(g *Gate) {
	if m.registerer == nil {
		return
	}
	labels := prometheus.Labels{"listener": g.o.Listener}
	gauge := func(name, help string, value func() float64) {
		m.registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help, ConstLabels: labels}, value))
	}
	gauge("spindle_client_connections", "Open connections of clients, by listener.", func() float64 { return float64(g.open.Load()) })
	gauge("spindle_client_connections_limit", "Connections of clients that may be open, by listener.", func() float64 { return float64(g.o.Capacity.Connections) })
	gauge("spindle_client_memory_bytes", "Bytes that clients make this VM hold, by listener, as counted.", func() float64 { return float64(g.used.Load()) })
	gauge("spindle_client_memory_limit_bytes", "Bytes that clients may make this VM hold, by listener.", func() float64 { return float64(g.o.Capacity.Memory) })
}

// logInterval is the least time between two log lines about refusals for one reason.
const logInterval = 5 * time.Second

// refusalLog counts refusals, and logs them at most once per logInterval and reason.
type refusalLog struct {
	counters map[string]prometheus.Counter

	mu      sync.Mutex // guards the fields below
	next    map[string]time.Duration
	skipped map[string]int
}

func (l *refusalLog) init(o Options) {
	l.counters, l.next, l.skipped = map[string]prometheus.Counter{}, map[string]time.Duration{}, map[string]int{}
	for _, reason := range reasons {
		l.counters[reason] = o.Metrics.refused.WithLabelValues(o.Listener, reason)
	}
}

// refused records the refusal of a client.
func (l *refusalLog) refused(reason string, nc net.Conn, g *Gate) {
	l.counters[reason].Inc()
	at := now()
	l.mu.Lock()
	due := at >= l.next[reason]
	skipped := l.skipped[reason]
	l.skipped[reason]++
	if due {
		l.next[reason], l.skipped[reason] = at+logInterval, 0
	}
	l.mu.Unlock()
	if due {
		g.o.Log.Warn("client refused", "listener", g.o.Listener, "reason", reason, "remote", nc.RemoteAddr(), "not_logged", skipped,
			"connections", g.open.Load(), "max_connections", g.o.Capacity.Connections, "held_bytes", g.used.Load(), "max_bytes", g.o.Capacity.Memory)
	}
}
