// Package limit adapts how many requests one VM keeps in flight at one replica. It
// learns from shed replies and from latency alone, so VMs that do not see each
// other settle on similar limits. The package is pure; a Limit is guarded by its
// owner.
package limit

import "time"

const (
	// floor is the least limit: one request in flight.
	floor = 1.0
	// startPerSlot is the first limit, per slot of the replica.
	startPerSlot = 2.0
	// startMinimum is the first limit of a replica with few slots.
	startMinimum = 4.0
	// shedFactor cuts the limit after a shed reply.
	shedFactor = 0.7
	// slowFactor cuts the limit when the replica queues.
	slowFactor = 0.9
	// slowRatio is the ratio of recent to usual latency that shows queueing.
	slowRatio = 3.0
	// cutInterval is the least time between two cuts.
	cutInterval = 100 * time.Millisecond
	// recentWeight and usualWeight are weights of a new sample in the averages.
	recentWeight = 0.2
	usualWeight  = 0.005
)

// Limit is the concurrency limit of one replica.
type Limit struct {
	value   float64
	recent  float64 // average latency of late, in nanoseconds
	usual   float64 // average latency over a longer time, in nanoseconds
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
func (l *Limit) Shed(now time.Duration) { l.cut(now, shedFactor) }

// Lost records that a request was lost or timed out at now.
func (l *Limit) Lost(now time.Duration) { l.cut(now, shedFactor) }

// Done records a reply at now after latency, sent while inFlight requests were
// running, this one included. most is the largest useful limit.
func (l *Limit) Done(now, latency time.Duration, inFlight, most int) {
	sample := float64(latency)
	if l.usual == 0 {
		l.usual, l.recent = sample, sample
	}
	l.recent += recentWeight * (sample - l.recent)
	l.usual += usualWeight * (sample - l.usual)
	if l.recent > slowRatio*l.usual {
		l.cut(now, slowFactor)
		return
	}
	if inFlight*2 >= l.Value() {
		l.value = min(l.value+1/l.value, max(floor, float64(most)))
	}
}

// cut lowers the limit, at most once an interval.
func (l *Limit) cut(now time.Duration, factor float64) {
	if l.everCut && now-l.cutAt < cutInterval {
		return
	}
	l.everCut, l.cutAt = true, now
	l.value = max(floor, l.value*factor)
}
