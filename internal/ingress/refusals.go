package ingress

import (
	"net"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sardinespindle/sardinespindle/internal/policy/clientlimit"
)

// Reasons for a refusal: the labels of spindle_client_refused_total.
const (
	reasonConnections = "connections"  // closed to make room for a newer connection
	reasonNotAccepted = "not_accepted" // a connection for which there is no room
	reasonMemory      = "memory"       // refused or closed since the memory is spent
	reasonHead        = "head"         // a head over the limit
	reasonStalled     = "stalled"      // an answer that makes no progress
)

// need is what room was needed for when a client was refused.
type need string

// Needs: the values of the label "need" of spindle_client_refused_total.
const (
	needNone     = need("none")     // no room was needed
	needConn     = need("conn")     // a new connection
	needRequest  = need("request")  // a head or a body
	needExpected = need("expected") // an answer that is expected
	needReply    = need("reply")    // the reply of an upstream
	needAnswer   = need("answer")   // an answer to be written
)

// refusal says who is refused, and why.
type refusal struct {
	reason string
	need   need
	phase  clientlimit.Phase // of the connection that is refused or closed
	client net.Conn
}

// Metrics are the metrics of all gates of a process.
type Metrics struct {
	refused    *prometheus.CounterVec
	registerer prometheus.Registerer
}

// NewMetrics registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{registerer: r, refused: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "spindle_client_refused_total", Help: "Requests refused and connections closed to bound what clients hold, by listener, reason, phase of the connection and what room was needed for.",
	}, []string{"listener", "reason", "phase", "need"})}
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
	gauge("spindle_client_memory_bytes", "Bytes of connections and requests that clients make this VM hold, by listener, as counted.", func() float64 { return float64(g.requests.used.Load()) })
	gauge("spindle_client_memory_limit_bytes", "Bytes of connections and requests that clients may make this VM hold, by listener.", func() float64 { return float64(g.requests.capacity) })
	gauge("spindle_client_answer_bytes", "Bytes of answers that this VM holds or expects, and of replies read for them, by listener, as counted.", func() float64 { return float64(g.answers.used.Load()) })
	gauge("spindle_client_answer_limit_bytes", "Bytes of answers that this VM may hold, by listener.", func() float64 { return float64(g.answers.capacity) })
}

// logInterval is the least time between two log lines about refusals of one kind.
const logInterval = 5 * time.Second

// refusalLog counts refusals, and logs them at most once per logInterval and kind.
type refusalLog struct {
	counter *prometheus.CounterVec // of the listener

	mu      sync.Mutex // guards the fields below
	next    map[refusalKind]time.Duration
	skipped map[refusalKind]int
}

// refusalKind is the kind of a refusal, each of which is logged for itself.
type refusalKind struct {
	reason string
	need   need
	phase  clientlimit.Phase
}

func (l *refusalLog) init(o Options) {
	l.counter = o.Metrics.refused.MustCurryWith(prometheus.Labels{"listener": o.Listener})
	l.next, l.skipped = map[refusalKind]time.Duration{}, map[refusalKind]int{}
}

// refused records the refusal of a client.
func (l *refusalLog) refused(r refusal, g *Gate) {
	l.counter.WithLabelValues(r.reason, r.phase.String(), string(r.need)).Inc()
	kind := refusalKind{reason: r.reason, need: r.need, phase: r.phase}
	at := now()
	l.mu.Lock()
	due := at >= l.next[kind]
	skipped := l.skipped[kind]
	l.skipped[kind]++
	if due {
		l.next[kind], l.skipped[kind] = at+logInterval, 0
	}
	l.mu.Unlock()
	if due {
		g.o.Log.Warn("client refused", "listener", g.o.Listener, "reason", r.reason, "phase", r.phase, "need", r.need,
			"remote", r.client.RemoteAddr(), "not_logged", skipped,
			"connections", g.open.Load(), "max_connections", g.o.Capacity.Connections, "held_bytes", g.requests.used.Load(), "max_bytes", g.requests.capacity, "answer_bytes", g.answers.used.Load(), "max_answer_bytes", g.answers.capacity)
	}
}
