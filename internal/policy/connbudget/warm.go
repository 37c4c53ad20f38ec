package connbudget

import "time"

const (
	// warmFor is how long after its last use an upstream keeps connections open ahead of need.
	// Upstreams close idle connections after some seconds. To reopen them to upstreams that are
	// rarely asked would take most of the processor time of a small VM in a large fleet.
	warmFor = 5 * time.Second
	// initialConnections is the number opened to an upstream that was never used, so that the
	// first requests of a VM do not wait for a dial.
	initialConnections = 2
)

// Demand describes the use of this VM's connections to one upstream.
type Demand struct {
	// Used says that a request has needed a connection, SinceUse how long ago the last one did.
	Used     bool
	SinceUse time.Duration
	// Peak is the most connections that were recently needed at once.
	Peak int
	// Near says that the upstream is in this VM's availability zone, and Dialed that a
	// connection was opened before.
	Near, Dialed bool
}

// Warm returns how many connections to keep open ahead of need, at most share.
func Warm(d Demand, share int) int {
	switch {
	case d.Used && d.SinceUse < warmFor:
		return min(max(d.Peak, 1), share)
	case !d.Used && d.Near && !d.Dialed:
		return min(initialConnections, share)
	default:
		return 0
	}
}
