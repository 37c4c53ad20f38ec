// Package limit adapts how many requests one VM keeps in flight at one replica. It uses
// only the failures and the latency that the VM observes itself. VMs that share a replica
// converge on similar limits without coordination. The package is pure. A Limit is not safe
// for concurrent use.
package limit

import (
	"math"
	"time"
)

const (
	// minLimit is the least limit after shed or failed requests.
	minLimit = 1.0
	// minLatencyLimit is the least limit after high latency alone, which may have other
	// causes than a queue.
	minLatencyLimit = 2.0
	// initialPerSlot is the initial limit per slot of the replica.
	initialPerSlot = 2.0
	// minInitial is the least initial limit.
	minInitial = 4.0
	// shedFactor is applied to the limit after a shed or failed request.
	shedFactor = 0.7
	// queueFactor is applied to the limit when latency shows a queue at the replica.
	queueFactor = 0.9
	// queueRatio is the ratio of recent to unloaded latency above which there is a queue.
	queueRatio = 3.0
	// baseDoublingTime is the time in which the base, the estimate of the unloaded latency,
	// doubles while every reply takes longer than the base.
	baseDoublingTime = 20 * time.Second
	// cutInterval is the least time between two cuts, so that shed replies that arrive
	// together count once.
	cutInterval = 100 * time.Millisecond
	// recentWeight is the weight of a new sample in the recent latency. baseWeight is the
	// weight in the base of a new sample below the base.
	recentWeight = 0.2
	baseWeight   = 0.2
)

// Limit is one VM's concurrency limit for one replica.
type Limit struct {
	value     float64
	recent    float64 // moving average of the latency, in nanoseconds
	base      float64 // latency without a queue, in nanoseconds
	repliedAt time.Duration
	cutAt     time.Duration
	hasCut    bool
}

// New returns the limit of a replica with a number of slots.
func New(slots int) Limit {
	return Limit{value: max(minInitial, initialPerSlot*float64(slots))}
}

// Allows reports whether one more request may be sent while inFlight are running.
func (l *Limit) Allows(inFlight int) bool {
	return inFlight < l.Value()
}

// Value returns the limit, rounded down to a number of requests.
func (l *Limit) Value() int { return int(l.value) }

// Shed records that the replica shed a request at now.
func (l *Limit) Shed(now time.Duration) { l.cut(now, shedFactor, minLimit) }

// Failed records a request that failed at now otherwise: lost, timed out, or without a
// usable reply.
func (l *Limit) Failed(now time.Duration) { l.cut(now, shedFactor, minLimit) }

// Done records a reply at now after latency. inFlight counts the requests in flight, the
// answered one included. The limit grows only while at least half of it is in use, and at most to maxLimit.
func (l *Limit) Done(now, latency time.Duration, inFlight, maxLimit int) {
	sample := float64(latency)
	if l.base == 0 {
		l.base, l.recent, l.repliedAt = sample, sample, now
	}
	l.recent += recentWeight * (sample - l.recent)
	l.updateBase(now, sample)
	if l.recent > queueRatio*l.base {
		l.cut(now, queueFactor, min(minLatencyLimit, l.value))
		return
	}
	if inFlight*2 >= l.Value() {
		l.value = min(l.value+1/l.value, max(minLimit, float64(maxLimit)))
	}
}

// updateBase lowers the base with samples below it and raises it with time.
func (l *Limit) updateBase(now time.Duration, sample float64) {
	l.base *= math.Exp2(float64(now-l.repliedAt) / float64(baseDoublingTime))
	l.repliedAt = now
	if sample < l.base {
		l.base += baseWeight * (sample - l.base)
	}
}

// cut multiplies the limit by factor, at most once per cutInterval, and not below least.
func (l *Limit) cut(now time.Duration, factor, least float64) {
	if l.hasCut && now-l.cutAt < cutInterval {
		return
	}
	l.hasCut, l.cutAt = true, now
	l.value = max(least, l.value*factor)
}
