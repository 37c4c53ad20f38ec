// Package retry decides whether a failed sub-request is tried again. Its one job
// is the budget: retries are paid from tokens that successes earn, so retries
// shrink with success and cannot keep an overload alive. It has no locks; its
// caller guards each Bucket.
package retry

import "github.com/sardinespindle/sardinespindle/internal/upstream"

const (
	// PerShard is the most retries of one shard in one search.
	PerShard = 2
	// AfterLoss is the most retries in a search that saw a connection lost.
	AfterLoss = 1
)

// Budget says how a Bucket fills.
type Budget struct {
	// PerSuccess is what one good reply pays, in tokens.
	PerSuccess float64
	// Burst is the most that a Bucket holds, in tokens.
	Burst float64
}

var (
	// Retries is the budget for attempts after failures.
	Retries = Budget{PerSuccess: 0.02, Burst: 50}
	// Reasks is the budget for attempts after replies of another snapshot, which
	// are many for a moment while an index version spreads.
	Reasks = Budget{PerSuccess: 0.25, Burst: 500}
)

// Bucket holds the tokens of one workload. The zero value is full.
type Bucket struct {
	spent float64
}

// Earn pays for good replies.
func (b *Bucket) Earn(g Budget, replies int) {
	b.spent = max(0, b.spent-g.PerSuccess*float64(replies))
}

// Take takes one token; false where none is left.
func (b *Bucket) Take(g Budget) bool {
	if b.spent+1 > g.Burst {
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
