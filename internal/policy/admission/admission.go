// Package admission decides whether a VM takes a request now or sheds it. The rate
// it lets through follows what the upstreams bear: it falls when sub-requests are
// shed and rises slowly while they are not. Callers of low priority are shed first.
// It is pure: time and random numbers come as arguments.
package admission

import "time"

const (
	// maxRate stands for no limit, in requests a second.
	maxRate = 1e6
	// minRate keeps a trickle that finds out when the upstreams recover.
	minRate = 2.0
	// burst is how long a full bucket lasts at the allowed rate.
	burst = 200 * time.Millisecond
	// minBurst is the least size of a bucket, in requests.
	minBurst = 4.0
	// reserve is the share of the bucket that priority 0 may not use.
	reserve = 0.6
	// topPriority is shed last.
	topPriority = 9
	// overloadShare is the share of sub-requests shed from which on the rate falls.
	overloadShare = 0.03
	// decrease is how far the rate falls below what got through.
	decrease = 0.9
	// increase is how far the rate rises in one interval without overload.
	increase = 1.06
	// headroom bounds the rate by what is in fact asked for.
	headroom = 2.0
	// Interval is how often Adapt is called.
	Interval = 200 * time.Millisecond
)

// Bucket is the admission state of one workload on one VM. The zero value lets
// everything through until Adapt sees an overload. It has no lock.
type Bucket struct {
	rate    float64
	level   float64
	last    time.Duration
	limited bool
}

// Sample is what one interval saw.
type Sample struct {
	// Asked counts requests that arrived, Finished those that ended well.
	Asked, Finished int
	// Sent and Shed count sub-requests sent, and those refused by upstreams or for
	// want of a free replica.
	Sent, Shed int
	// Length of the interval.
	Length time.Duration
}

// Rate returns the requests a second let through, and whether there is a limit.
func (b *Bucket) Rate() (float64, bool) {
	if !b.limited {
		return maxRate, false
	}
	return b.rate, true
}

// Take decides on a request of a priority, 0 to 9, and takes its token.
func (b *Bucket) Take(now time.Duration, priority int) bool {
	if !b.limited {
		return true
	}
	b.refill(now)
	floor := b.size() * reserve * float64(topPriority-priority) / topPriority
	if b.level < floor+1 {
		return false
	}
	b.level--
	return true
}

func (b *Bucket) size() float64 {
	return max(minBurst, b.rate*burst.Seconds())
}

func (b *Bucket) refill(now time.Duration) {
	elapsed := max(0, now-b.last)
	b.last = now
	b.level = min(b.size(), b.level+b.rate*elapsed.Seconds())
}

// Adapt moves the rate after an interval.
func (b *Bucket) Adapt(now time.Duration, s Sample) {
	if s.Length <= 0 {
		return
	}
	if b.limited {
		b.refill(now)
	}
	seconds := s.Length.Seconds()
	if s.Sent+s.Shed > 0 && float64(s.Shed)/float64(s.Sent+s.Shed) > overloadShare {
		b.lower(now, float64(s.Finished)/seconds)
		return
	}
	if !b.limited {
		return
	}
	b.rate *= increase
	asked := float64(s.Asked) / seconds
	if b.rate > max(headroom*asked, minRate*headroom) {
		b.limited = false
	}
}

func (b *Bucket) lower(now time.Duration, finished float64) {
	if !b.limited {
		b.limited = true
		b.rate = max(minRate, finished)
		b.last = now
		b.level = 0
		return
	}
	b.rate = max(minRate, min(b.rate, max(finished, b.rate*decrease))*decrease)
}

// RetryAfter returns when a shed request should come back: longer the more is asked
// beyond what is let through, spread by a random number in [0,1).
func RetryAfter(asked, rate, random float64) time.Duration {
	const (
		least = 200 * time.Millisecond
		most  = 10 * time.Second
	)
	excess := 1.0
	if rate > 0 && asked > rate {
		excess = asked / rate
	}
	mean := time.Duration(min(float64(least)*excess*excess, float64(most)))
	return mean/2 + time.Duration(random*float64(mean))
}
