// Package admission decides whether a VM takes a request now or sheds it. The rate
// it lets through follows what the upstreams bear: it falls when sub-requests are
// shed and rises slowly while they are not. Callers of low priority are shed first.
// It is pure: time and random numbers come as arguments.
package admission

import (
	"math"
	"time"
)

const (
	// maxRate stands for no limit, in requests a second.
	maxRate = 1e6
	// minRate keeps a trickle that finds out when the upstreams recover.
	minRate = 2.0
	// burst is how long a full bucket lasts at the allowed rate.
	burst = 200 * time.Millisecond
	// minBurst is the least size of a bucket, in requests.
	minBurst = 2.0
	// reserve is the share of the bucket that priority 0 may not use.
	reserve = 0.6
	// topPriority is shed last.
	topPriority = 9
	// shedShare and failedShare are the shares of sub-requests shed and of requests
	// failed from which on the rate falls.
	shedShare   = 0.10
	failedShare = 0.05
	// decrease is how far the rate falls at once, never below what gets through.
	decrease = 0.85
	// pause is the time in which the effect of a decrease shows.
	pause = 500 * time.Millisecond
	// memory is the time over which samples are averaged.
	memory = time.Second
	// probe is how far the rate rises in one interval soon after an overload, climb
	// once there was none for patience.
	probe    = 0.005
	climb    = 0.08
	patience = 1500 * time.Millisecond
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
	mean    means
	lowered time.Duration
	calm    time.Duration // since when there is no overload
}

// means are moving averages, a second.
type means struct {
	asked, finished, failed, sent, shed float64
}

// add takes a sample in, weighted by its length.
func (m *means) add(s Sample) {
	seconds := s.Length.Seconds()
	weight := 1 - math.Exp(-seconds/memory.Seconds())
	for _, v := range []struct {
		mean  *float64
		count int
	}{
		{&m.asked, s.Asked}, {&m.finished, s.Finished}, {&m.failed, s.Failed}, {&m.sent, s.Sent}, {&m.shed, s.Shed},
	} {
		*v.mean += weight * (float64(v.count)/seconds - *v.mean)
	}
}

// overloaded reports whether the upstreams shed, or requests fail, too often.
func (m *means) overloaded() bool {
	return m.shed > shedShare*(m.sent+m.shed) || m.failed > failedShare*(m.finished+m.failed)
}

// Sample is what one interval saw.
type Sample struct {
	// Asked counts requests that arrived, Finished those that ended well, Failed those
	// let through that did not for want of capacity.
	Asked, Finished, Failed int
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
	b.mean.add(s)
	if b.mean.overloaded() && s.Shed+s.Failed > 0 {
		b.calm = now
		b.lower(now)
		return
	}
	if !b.limited {
		return
	}
	if now-b.calm < patience {
		b.rate *= 1 + probe
	} else {
		b.rate *= 1 + climb
	}
	if b.rate > max(headroom*b.mean.asked, minRate*headroom) {
		b.limited = false
	}
}

// lower sets the rate to what gets through at first, and then nears it step by step.
func (b *Bucket) lower(now time.Duration) {
	if !b.limited {
		b.limited = true
		b.rate = max(minRate, b.mean.finished)
		b.last = now
		b.level = 0
		b.lowered = now
		return
	}
	if now-b.lowered < pause {
		return
	}
	b.lowered = now
	b.rate = max(minRate, b.rate*decrease, min(b.rate, b.mean.finished))
}

// RetryAfter returns when a shed request should come back: longer the more is asked
// beyond what is let through, spread by a random number in [0,1).
func RetryAfter(asked, rate, random float64) time.Duration {
	const (
		soonest = 200 * time.Millisecond
		latest  = 10 * time.Second
	)
	excess := 1.0
	if rate > 0 && asked > rate {
		excess = asked / rate
	}
	mean := time.Duration(min(float64(soonest)*excess*excess, float64(latest)))
	return mean/2 + time.Duration(random*float64(mean))
}
