package peer

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	connections *prometheus.GaugeVec
	messages    *prometheus.CounterVec
	bytes       *prometheus.CounterVec
	cut         *prometheus.CounterVec
	dropped     *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		connections: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "spindle_peer_connections", Help: "Open connections to other VMs, by which side dialed.",
		}, []string{"direction"}),
		messages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "spindle_peer_messages_total", Help: "Messages between VMs.",
		}, []string{"direction", "kind"}),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "spindle_peer_bytes_total", Help: "Bytes of messages between VMs.",
		}, []string{"direction"}),
		cut: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "spindle_peer_cut_total", Help: "Connections ended or refused by this VM, by reason.",
		}, []string{"reason"}),
		dropped: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "spindle_peer_dropped_total", Help: "Messages not handled, by reason.",
		}, []string{"reason"}),
	}
	if r != nil {
		r.MustRegister(m.connections, m.messages, m.bytes, m.cut, m.dropped)
	}
	return m
}
