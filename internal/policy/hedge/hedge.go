// Package hedge decides whether and when a second attempt of a slow sub-request
// is sent. Its one job is the budget and the moment. It has no locks; its caller
// guards each Bucket.
package hedge

import "time"

const (
	// Burst is the most that a Bucket holds, in tokens.
	Burst = 10
	// MinDelay keeps a hedge from racing an ordinary reply.
	MinDelay = time.Millisecond
	percent  = 100
)

// Bucket is the budget of one workload, in hedges. The zero value is empty.
type Bucket struct {
	tokens float64
}

// Earn pays the share of n needed sub-requests that may be hedged.
func (b *Bucket) Earn(n int, hedgePercent float64) {
	b.tokens = min(Burst, b.tokens+float64(n)*hedgePercent/percent)
}

// Take takes one token; false where none is left.
func (b *Bucket) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// GiveBack returns the token of a hedge that was not sent.
func (b *Bucket) GiveBack() { b.tokens = min(Burst, b.tokens+1) }

// Shard is what one search knows of the shard at hand.
type Shard struct {
	// Hedged says that a hedge was sent or tried.
	Hedged bool
	// Losses counts connections lost in the whole search.
	Losses int
	// Left is the time left to answer.
	Left time.Duration
	// Quantile is a high quantile of the shard's latency.
	Quantile time.Duration
}

// Delay returns how long after the first attempt a hedge is due; known says
// whether the quantile is.
func Delay(quantile time.Duration, known bool) (time.Duration, bool) {
	if !known {
		return 0, false
	}
	return max(quantile, MinDelay), true
}

// Allowed reports whether a hedge that is due may be sent, budget apart.
func Allowed(s Shard) bool {
	return !s.Hedged && s.Losses == 0 && s.Left > 0
}
