// Package hedge decides whether and when a hedge, the second attempt of a slow
// sub-request, is sent, and limits hedges to a share of all sub-requests. The package is
// pure. A Bucket is not safe for concurrent use.
package hedge

import "time"

const (
	// Burst is the capacity of a Bucket, in tokens.
	Burst = 10
	// MinDelay is the least delay, so that a hedge does not race an ordinary reply.
	MinDelay = time.Millisecond
	// EmptyBucketDelay is the extra delay of a hedge when the Bucket is empty, as a multiple
	// of the latency quantile. The delay grows as the Bucket empties, so that the remaining
	// tokens go to the slowest sub-requests.
	EmptyBucketDelay = 1.0
	percent          = 100

	// A quorum is quorumShare/quorumOf of the shards, and at least minReplied.
	quorumShare = 3
	quorumOf    = 4
	minReplied  = 3
	// Nearly all ordinary replies come within quorumFactor times the quorum's time.
	quorumFactor = 1.5
	// Nearly all hedges get a reply within lateFactor times a high latency quantile.
	lateFactor = 1.5
)

// Bucket is the hedge budget of one workload; a hedge costs one token. The zero value is
// full.
type Bucket struct {
	spent float64
}

// Earn adds the tokens for n sub-requests, of which hedgePercent percent may be hedged.
// n counts first attempts only.
func (b *Bucket) Earn(n int, hedgePercent float64) {
	b.spent = max(0, b.spent-float64(n)*hedgePercent/percent)
}

// Take takes one token; it returns false if none is left.
func (b *Bucket) Take() bool {
	if b.spent+1 > Burst {
		return false
	}
	b.spent++
	return true
}

// Refund returns the token of a hedge that was not sent.
func (b *Bucket) Refund() { b.spent = max(0, b.spent-1) }

// Fill returns how full the Bucket is, 0 to 1.
func (b *Bucket) Fill() float64 { return 1 - b.spent/Burst }

// Shard is the state of one shard of a search.
type Shard struct {
	Hedged    bool          // a hedge was sent, or none will be tried any more
	Losses    int           // connections lost in the whole search
	Remaining time.Duration // until the answer is due
}

// Delay returns how long after the first attempt a hedge is due, from a high quantile of
// the shard's latency and the Fill of the Bucket.
func Delay(quantile time.Duration, fill float64) time.Duration {
	factor := 1 + EmptyBucketDelay*(1-fill)
	return max(time.Duration(float64(quantile)*factor), MinDelay)
}

// Quorum reports whether enough shards of a search have replied to bound the expected
// latency of the others by the time in which the first ones replied.
func Quorum(replied, total int) bool {
	return replied >= minReplied && replied*quorumOf >= total*quorumShare
}

// BoundQuantile returns the latency quantile to use for a shard that has not replied, where
// quorum is the time in which a Quorum of the other shards replied. The bound replaces a
// quantile that is unknown (0), or too long because it comes from too few samples.
func BoundQuantile(quantile, quorum time.Duration) time.Duration {
	bound := time.Duration(quorumFactor * float64(quorum))
	if quantile == 0 {
		return bound
	}
	return min(quantile, bound)
}

// LateAt returns the time from which a shard counts as late if its hedge was sent at hedged.
// By then, nearly all hedges have a reply.
func LateAt(hedged time.Time, quantile time.Duration) time.Time {
	return hedged.Add(time.Duration(lateFactor * float64(quantile)))
}

// Allowed reports whether a hedge that is due may be sent if the Bucket has a token.
func Allowed(s Shard) bool {
	return !s.Hedged && s.Losses == 0 && s.Remaining > 0
}
