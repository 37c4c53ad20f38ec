package daemon

import (
	"time"

	"github.com/sardinespindle/sardinespindle/internal/admin"
	"github.com/sardinespindle/sardinespindle/internal/ingress"
	"github.com/sardinespindle/sardinespindle/internal/policy/clientlimit"
)

// callerReadsFactor makes the memory for bodies of callers' requests that are being read so large that the
// gate refuses them first: a body may use a part of what others leave, and the gate closes others to make
// room.
const callerReadsFactor = 4

// callerReads returns the memory for bodies of callers' requests that are being read.
func (f *Forwarder) callerReads(plan clientlimit.Plan) int64 {
	if f.s.Limits.MemoryMb == 0 {
		return readBytes
	}
	return callerReadsFactor * plan.Callers.Memory
}

// peerIdleTimeout is how long a connection may stay idle that has not been upgraded.
const peerIdleTimeout = 30 * time.Second

// newGates creates the gates of the servers for peers, operators and callers. headLimit returns the
// published limit of heads.
func (f *Forwarder) newGates(plan clientlimit.Plan, headLimit func() int) {
	metrics := ingress.NewMetrics(f.registry)
	gate := func(listener string, c clientlimit.Capacity, headLimit func() int) *ingress.Gate {
		return ingress.New(ingress.Options{Listener: listener, Capacity: c, HeadLimit: headLimit, Metrics: metrics, Log: f.log})
	}
	f.gates = []*ingress.Gate{
		gate("peers", plan.Peers, func() int { return maxPeerHeaderBytes }),
		gate("admin", plan.Admin, func() int { return admin.MaxHeaderBytes }),
		gate("callers", plan.Callers, headLimit),
	}
}
