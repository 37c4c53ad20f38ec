// Package limit adapts how many requests one VM keeps in flight at one replica. It
// learns from shed replies and from latency alone, so VMs that do not see each
// other settle on similar limits. The package is pure; a Limit is guarded by its
// owner.
package limit

import (
	"math"
	"time"
)

const (
	// floor is the least limit: one request in flight.
	floor = 1.0
	// slowFloor is the least limit by latency alone, which may have other causes than a queue.
	slowFloor = 2.0
	// startPerSlot is the first limit, per slot of the replica.
	startPerSlot = 2.0
	// startMinimum is the first limit of a replica with few slots.
	startMinimum = 4.0
	// shedFactor cuts the limit after a shed reply.
	shedFactor = 0.7
	// slowFactor cuts the limit when the replica queues.
	slowFactor = 0.9
	// slowRatio is the ratio of recent to unloaded latency that shows queueing.
	slowRatio = 3.0
	// baseDoubles is the time in which the estimate of the unloaded latency doubles
	// while every reply takes longer.
	baseDoubles = 20 * time.Second
	// cutInterval is the least time between two cuts.
	cutInterval = 100 * time.Millisecond
	// recentWeight and baseWeight are weights of a new sample, the latter of one below the base.
	recentWeight = 0.2
	baseWeight   = 0.2
)

// Limit is the concurrency limit of one replica.
type Limit struct {
	value   float64
	recent  float64 // average latency of late, in nanoseconds
	base    float64 // latency without a queue, in nanoseconds
	doneAt  time.Duration
	cutAt   time.Duration
	everCut bool
}

// New returns the limit of a replica with a number of slots.
func New(slots int) Limit {
	return Limit{value: max(startMinimum, startPerSlot*float64(slots))}
}

// Allows reports whether one more request may be sent while inFlight are running.
func (l *Limit) Allows(inFlight int) bool {
	return inFlight < l.Value()
}

// Value returns the limit in whole requests.
func (l *Limit) Value() int { return int(l.value) }

// Shed records that the replica refused a request at now.
func (l *Limit) Shed(now time.Duration) { l.cut(now, shedFactor, floor) }

// Lost records that a request was lost or timed out at now.
func (l *Limit) Lost(now time.Duration) { l.cut(now, shedFactor, floor) }

// Done records a reply at now after latency, sent while inFlight requests were
// running, this one included. most is the largest useful limit.
func (l *Limit) Done(now, latency time.Duration, inFlight, most int) {
	sample := float64(latency)
	if l.base == 0 {
		l.base, l.recent, l.doneAt = sample, sample, now
	}
	l.recent += recentWeight * (sample - l.recent)
	l.follow(now, sample)
	if l.recent > slowRatio*l.base {
		l.cut(now, slowFactor, min(slowFloor, l.value))
		return
	}
	if inFlight*2 >= l.Value() {
		l.value = min(l.value+1/l.value, max(floor, float64(most)))
	}
}

// follow moves the base down with short replies, and up with time.
func (l *Limit) follow(now time.Duration, sample float64) {
	l.base *= math.Exp2(float64(now-l.doneAt) / float64(baseDoubles))
	l.doneAt = now
	if sample < l.base {
		l.base += baseWeight * (sample - l.base)
	}
}

// cut lowers the limit, at most once an interval, and not below least.
func (l *Limit) cut(now time.Duration, factor, least float64) {
	if l.everCut && now-l.cutAt < cutInterval {
		return
	}
	l.everCut, l.cutAt = true, now
	l.value = max(least, l.value*factor)
}
