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
	// Restraint is how much later than the quantile a hedge is due when the Bucket is
	// empty, in quantiles. The emptier the Bucket, the slower a sub-request has to
	// be, so that the tokens go to the slowest.
	Restraint = 1.0
	percent   = 100

	// A quorum is quorumShare of quorumOf shards and at least minReplied.
	quorumShare = 3
	quorumOf    = 4
	minReplied  = 3
	// siblingFactor times the quorum's time is later than nearly all ordinary replies.
	siblingFactor = 1.5
	// lateFactor times a high quantile after its sending, nearly all hedges are answered.
	lateFactor = 1.5
)

// Bucket is the budget of one workload, in hedges. The zero value is full.
type Bucket struct {
	spent float64
}

// Earn pays the share of n needed sub-requests that may be hedged.
func (b *Bucket) Earn(n int, hedgePercent float64) {
	b.spent = max(0, b.spent-float64(n)*hedgePercent/percent)
}

// Take takes one token; false where none is left.
func (b *Bucket) Take() bool {
	if b.spent+1 > Burst {
		return false
	}
	b.spent++
	return true
}

// GiveBack returns the token of a hedge that was not sent.
func (b *Bucket) GiveBack() { b.spent = max(0, b.spent-1) }

// Fill returns how full the Bucket is, 0 to 1.
func (b *Bucket) Fill() float64 { return 1 - b.spent/Burst }

// Shard is what one search knows of the shard at hand.
type Shard struct {
	// Hedged says that a hedge was sent or tried.
	Hedged bool
	// Losses counts connections lost in the whole search.
	Losses int
	// Left is the time left to answer.
	Left time.Duration
}

// Delay returns how long after the first attempt a hedge is due, by a high quantile of
// the shard's latency and the fill of the Bucket.
func Delay(quantile time.Duration, fill float64) time.Duration {
	factor := 1 + Restraint*(1-fill)
	return max(time.Duration(float64(quantile)*factor), MinDelay)
}

// Quorum reports whether enough shards of a search have replied to judge the others
// by them.
func Quorum(replied, total int) bool {
	return replied >= minReplied && replied*quorumOf >= total*quorumShare
}

// Judge returns the quantile to use for a shard that has not replied, where quorum is
// the time in which a Quorum of its siblings did. It mends a quantile that is unknown,
// or wrong for want of samples; 0 stands for unknown.
func Judge(quantile, quorum time.Duration) time.Duration {
	bySiblings := time.Duration(siblingFactor * float64(quorum))
	if quantile == 0 {
		return bySiblings
	}
	return min(quantile, bySiblings)
}

// LateAt returns when a shard, hedged at the time given, is so late that its reply is
// not to be counted on soon.
func LateAt(hedged time.Time, quantile time.Duration) time.Time {
	return hedged.Add(time.Duration(lateFactor * float64(quantile)))
}

// Allowed reports whether a hedge that is due may be sent, budget apart.
func Allowed(s Shard) bool {
	return !s.Hedged && s.Losses == 0 && s.Left > 0
}
