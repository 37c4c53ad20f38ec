// Package retry decides whether a failed sub-request is tried again. Its one job
// is the budget: retries are paid from tokens that successes earn, so retries
// shrink with success and cannot keep an overload alive. It has no locks; its
// caller guards each Bucket.
package retry

import "github.com/sardinespindle/sardinespindle/internal/upstream"

const (
	// EarnPerSuccess is what one good reply pays into a Bucket, in tokens.
	EarnPerSuccess = 0.02
	// Burst is the most that a Bucket holds, in tokens.
	Burst = 50
	// PerShard is the most retries of one shard in one search.
	PerShard = 2
	// AfterLoss is the most retries in a search that saw a connection lost.
	AfterLoss = 1
)

// Bucket is the budget of one workload. The zero value is full.
type Bucket struct {
	spent float64
}

// Earn pays for one good reply.
func (b *Bucket) Earn() {
	b.spent = max(0, b.spent-EarnPerSuccess)
}

// Take takes one token; false where none is left.
func (b *Bucket) Take() bool {
	if b.spent+1 > Burst {
		return false
	}
	b.spent++
	return true
}

// History is what one search has seen so far.
type History struct {
	// ShardRetries counts the retries of the shard at hand.
	ShardRetries int
	// Losses counts connections lost in the whole search.
	Losses int
	// LossRetries counts retries in the whole search since the first loss.
	LossRetries int
}

// Verdict says what to do about a failed attempt.
type Verdict int

// Verdicts on a failed attempt.
const (
	// GiveUp: no further attempt.
	GiveUp Verdict = iota
	// Free: another attempt that needs no token, for the failed one was no load.
	Free
	// Paid: another attempt if a token can be taken.
	Paid
)

// Decide says whether an idempotent sub-request of class c is tried again.
func Decide(c upstream.Class, h History) Verdict {
	switch {
	case h.ShardRetries >= PerShard:
		return GiveUp
	case h.Losses > 0 && h.LossRetries >= AfterLoss:
		return GiveUp
	}
	switch c {
	case upstream.NotSent:
		return Free
	case upstream.Shed, upstream.Lost, upstream.Garbled, upstream.Failed:
		return Paid
	default:
		return GiveUp
	}
}
