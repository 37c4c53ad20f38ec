// Package repeat bounds how often requests go to a second upstream. The bound holds for
// the fleet: each VM spends its own share of the slack, and the ratio of the requests
// that it sees itself. The package is pure; a Bucket is guarded by its owner.
package repeat

import (
	"math"
	"time"
)

// Limits bound the repeats of one service in any window, summed over the fleet.
type Limits struct {
	// Ratio of repeats to requests.
	Ratio float64
	// Slack is the number of repeats allowed besides the ratio.
	Slack float64
	// Window in which they are counted.
	Window time.Duration
}

const (
	// margin is the part of the limits that is spent, since VMs disagree for a while on
	// how many they are.
	margin = 0.85
	// firstFill is the part of the burst that a VM has at its start: the process before
	// it may have spent its share in the same window.
	firstFill = 0.4
	// burstShare is the part of the slack that may be spent at once; the rest comes
	// back over the window.
	burstShare = 0.6
	// hedgeReserve is the most of the burst that hedges leave: a refused or lost request is
	// lost without a repeat, a slow one may still be answered.
	hedgeReserve = 0.6
	// keepEach is how many tokens hedges leave for each repeat of a failed request of late,
	// and failuresForget the time in which such a repeat counts half. Where nothing fails,
	// hedges may spend all: shards whose upstreams have gone silent need no other repeats.
	keepEach       = 2
	failuresForget = 3 * time.Second
)

// Bucket holds one VM's tokens for one service. The zero value is a VM that has just
// started.
type Bucket struct {
	tokens   float64
	at       time.Duration
	started  bool
	failures float64 // repeats of failed requests of late
	failedAt time.Duration
}

// Earn pays for one request at now, where vms VMs share the limits.
func (b *Bucket) Earn(now time.Duration, l Limits, vms int) {
	b.refill(now, l, vms)
	b.tokens = min(b.tokens+margin*l.Ratio, burst(l, vms))
}

// Take takes one token at now for a request that failed; false where none is left.
func (b *Bucket) Take(now time.Duration, l Limits, vms int) bool {
	b.refill(now, l, vms)
	b.failures, b.failedAt = b.lately(now)+1, now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// TakeHedge takes one token at now for a request that is slow; false where that would
// leave too few for those that fail.
func (b *Bucket) TakeHedge(now time.Duration, l Limits, vms int) bool {
	b.refill(now, l, vms)
	keep := min(hedgeReserve*burst(l, vms), keepEach*b.lately(now))
	if b.tokens < max(1, keep) {
		return false
	}
	b.tokens--
	return true
}

// lately returns how many repeats of failed requests count at now.
func (b *Bucket) lately(now time.Duration) float64 {
	return b.failures * math.Exp2(-float64(max(now-b.failedAt, 0))/float64(failuresForget))
}

// refill gives back the part of the slack that is not spent at once.
func (b *Bucket) refill(now time.Duration, l Limits, vms int) {
	most := burst(l, vms)
	if !b.started {
		b.started, b.at, b.tokens = true, now, firstFill*most
		return
	}
	perWindow := margin * l.Slack / float64(max(vms, 1)) * (1 - burstShare)
	if l.Window > 0 && now > b.at {
		b.tokens += perWindow * float64(now-b.at) / float64(l.Window)
	}
	b.at = now
	b.tokens = min(b.tokens, most)
}

// burst is the most that a bucket holds: what the VM may spend at once. At least one
// token fits, or a VM of a large fleet could never repeat anything.
func burst(l Limits, vms int) float64 {
	return max(1, margin*burstShare*l.Slack/float64(max(vms, 1)))
}
