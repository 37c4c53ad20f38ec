package peer

import "golang.org/x/time/rate"

// Limits bound what one peer may send; a peer that sends faster is cut off.
type Limits struct {
	// Messages of any kind.
	Messages Limit
	// Bytes of messages of any kind.
	Bytes Limit
	// Gossip bounds the bytes of facts and digests.
	Gossip Limit
}

// Limit is a rate with a burst.
type Limit struct {
	PerSecond float64
	Burst     int
}

func (l Limit) limiter() *rate.Limiter { return rate.NewLimiter(rate.Limit(l.PerSecond), l.Burst) }

// DefaultLimits are far above what a peer that works sends.
var DefaultLimits = Limits{
	Messages: Limit{PerSecond: 10_000, Burst: 20_000},
	Bytes:    Limit{PerSecond: 8 << 20, Burst: 32 << 20},
	Gossip:   Limit{PerSecond: 256 << 10, Burst: 2 << 20},
}
