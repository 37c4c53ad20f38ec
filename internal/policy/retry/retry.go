// Package retry decides whether a failed sub-request is retried, and limits retries by a
// budget. Retries spend tokens that good replies earn, so they become rarer as fewer
// requests succeed, and cannot keep an overload going. The package is pure. A Bucket is not
// safe for concurrent use.
package retry

import "github.com/sardinespindle/sardinespindle/internal/upstream"

const (
	// MaxPerShard is the most retries of one shard in one search.
	MaxPerShard = 2
	// MaxAfterLoss is the most retries in a search after it first lost a connection: the
	// request may be poisoned.
	MaxAfterLoss = 1
)

// Budget sets the rate and the capacity of a Bucket, in tokens.
type Budget struct {
	PerSuccess float64 // earned by one good reply
	Burst      float64 // capacity
}

var (
	// RetryBudget is the budget for retries after failures.
	RetryBudget = Budget{PerSuccess: 0.02, Burst: 50}
	// ReaskBudget is the budget for attempts after replies from another snapshot. Many replies
	// are from another snapshot for a moment while an index version spreads.
	ReaskBudget = Budget{PerSuccess: 0.25, Burst: 500}
)

// Bucket holds the tokens of one workload. The zero value is full.
type Bucket struct {
	spent float64
}

// Earn adds the tokens for good replies.
func (b *Bucket) Earn(g Budget, replies int) {
	b.spent = max(0, b.spent-g.PerSuccess*float64(replies))
}

// Take takes one token; it returns false if none is left.
func (b *Bucket) Take(g Budget) bool {
	if b.spent+1 > g.Burst {
		return false
	}
	b.spent++
	return true
}

// History counts the retries and losses of one search so far.
type History struct {
	ShardRetries int // retries of the failed shard
	Losses       int // connections lost in the whole search
	LossRetries  int // retries in the whole search since the first loss
}

// Verdict says whether another attempt follows a failed one.
type Verdict int

// Verdicts on a failed attempt.
const (
	// GiveUp: no further attempt.
	GiveUp Verdict = iota
	// Free: another attempt without a token, as the failed one put no load on an upstream.
	Free
	// Paid: another attempt if the Bucket has a token.
	Paid
)

// Decide returns the verdict for an idempotent sub-request whose attempt ended in class c.
func Decide(c upstream.Class, h History) Verdict {
	switch {
	case h.ShardRetries >= MaxPerShard:
		return GiveUp
	case h.Losses > 0 && h.LossRetries >= MaxAfterLoss:
		return GiveUp
	}
	switch c {
	case upstream.NotSent:
		return Free
	case upstream.Shed, upstream.Lost, upstream.InvalidReply, upstream.Failed:
		return Paid
	default:
		return GiveUp
	}
}
