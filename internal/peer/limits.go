package peer

import "golang.org/x/time/rate"

// Limits bounds what a peer may send on one connection. A connection that exceeds a limit
// is closed and the peer refused for a while.
type Limits struct {
	Messages Limit
	Bytes    Limit
	// Gossip bounds the bytes of facts and digests.
	Gossip Limit
}

// Limit is a token bucket.
type Limit struct {
	PerSecond float64
	Burst     int
}

func (l Limit) limiter() *rate.Limiter { return rate.NewLimiter(rate.Limit(l.PerSecond), l.Burst) }

// DefaultLimits is far above what a working peer sends.
var DefaultLimits = Limits{
	Messages: Limit{PerSecond: 10_000, Burst: 20_000},
	Bytes:    Limit{PerSecond: 8 << 20, Burst: 32 << 20},
	Gossip:   Limit{PerSecond: 256 << 10, Burst: 2 << 20},
}
