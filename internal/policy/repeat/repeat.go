// Package repeat bounds how often requests are repeated, by hedge or retry, at another
// upstream. The bound holds for the fleet without coordination: each VM spends its equal
// share of the slack, plus Ratio tokens for each request that it sees itself. Exception: each
// Bucket has a capacity of at least one token, so that a fleet of more VMs than half the slack
// may exceed the bound. The package is pure. A Bucket is not safe for concurrent use.
package repeat

import (
	"math"
	"time"
)

// Limits bound the repeats of one service in any window, summed over the fleet, to Slack
// plus Ratio times the requests. The package comment states the exception.
type Limits struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

const (
	// margin is the share of the limits that is spent, since VMs may for a while have
	// different counts of the fleet.
	margin = 0.85
	// initialFill is the share of the burst that a VM starts with: its previous process may
	// have spent tokens in the same window.
	initialFill = 0.4
	// burstShare is the share of the slack that may be spent at once; the rest is added
	// evenly over the window.
	burstShare = 0.6
	// hedgeReserve is the largest share of the burst that hedges have to leave for retries:
	// a shed or lost request fails without a repeat, while a slow one may still get a reply.
	hedgeReserve = 0.6
	// reservePerFailure is the number of tokens that hedges leave for each recent retry. The
	// weight of a retry halves every failureHalfLife. If nothing fails, hedges may spend all
	// tokens: a shard whose upstreams have stopped replying needs only hedges.
	reservePerFailure = 2
	failureHalfLife   = 3 * time.Second
)

// Bucket holds one VM's tokens for one service. The zero value is the bucket of a VM that
// has just started.
type Bucket struct {
	tokens     float64
	refilledAt time.Duration
	started    bool
	failures   float64 // recent retries, decaying from failedAt
	failedAt   time.Duration
}

// Earn adds the tokens for one request at now, where vms VMs share the limits.
func (b *Bucket) Earn(now time.Duration, l Limits, vms int) {
	b.refill(now, l, vms)
	b.tokens = min(b.tokens+margin*l.Ratio, burst(l, vms))
}

// Unearn takes back the tokens of one request, which another VM runs after all and earns for. It takes
// no more than there are.
func (b *Bucket) Unearn(l Limits) { b.tokens = max(0, b.tokens-margin*l.Ratio) }

// Take takes one token for a retry at now; it returns false if none is left.
func (b *Bucket) Take(now time.Duration, l Limits, vms int) bool {
	b.refill(now, l, vms)
	b.failures, b.failedAt = b.recentFailures(now)+1, now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// TakeHedge takes one token for a hedge at now; it returns false if there is none beyond
// those reserved for retries.
func (b *Bucket) TakeHedge(now time.Duration, l Limits, vms int) bool {
	b.refill(now, l, vms)
	reserve := min(hedgeReserve*burst(l, vms), reservePerFailure*b.recentFailures(now))
	if b.tokens < max(1, reserve) {
		return false
	}
	b.tokens--
	return true
}

// recentFailures returns the decayed number of retries at now, including those denied.
func (b *Bucket) recentFailures(now time.Duration) float64 {
	return b.failures * math.Exp2(-float64(max(now-b.failedAt, 0))/float64(failureHalfLife))
}

// refill adds the tokens that have accrued by now. They come from the share of the slack
// that is added evenly over the window.
func (b *Bucket) refill(now time.Duration, l Limits, vms int) {
	capacity := burst(l, vms)
	if !b.started {
		b.started, b.refilledAt, b.tokens = true, now, initialFill*capacity
		return
	}
	perWindow := margin * l.Slack / float64(max(vms, 1)) * (1 - burstShare)
	if l.Window > 0 && now > b.refilledAt {
		b.tokens += perWindow * float64(now-b.refilledAt) / float64(l.Window)
	}
	b.refilledAt = now
	b.tokens = min(b.tokens, capacity)
}

// burst returns the capacity of a bucket: the tokens that the VM may spend at once. It is
// at least 1, or a VM of a large fleet could never repeat a request. With more than
// margin*burstShare*Slack VMs, all bursts together therefore exceed that share of the slack.
func burst(l Limits, vms int) float64 {
	return max(1, margin*burstShare*l.Slack/float64(max(vms, 1)))
}
