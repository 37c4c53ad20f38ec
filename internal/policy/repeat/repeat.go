// Package repeat bounds how often requests go to a second upstream. The bound holds for
// the fleet: each VM spends its own share of the slack, and the ratio of the requests
// that it sees itself. The package is pure; a Bucket is guarded by its owner.
package repeat

import "time"

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
)

// Bucket holds one VM's tokens for one service. The zero value is a VM that has just
// started.
type Bucket struct {
	tokens  float64
	at      time.Duration
	started bool
}

// Earn pays for one request at now, where vms VMs share the limits.
func (b *Bucket) Earn(now time.Duration, l Limits, vms int) {
	b.refill(now, l, vms)
	b.tokens = min(b.tokens+margin*l.Ratio, burst(l, vms))
}

// Take takes one token at now; false where none is left.
func (b *Bucket) Take(now time.Duration, l Limits, vms int) bool {
	b.refill(now, l, vms)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Fill returns how full the bucket is, 0 to 1.
func (b *Bucket) Fill(now time.Duration, l Limits, vms int) float64 {
	b.refill(now, l, vms)
	return min(1, b.tokens/burst(l, vms))
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
