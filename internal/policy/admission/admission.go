// Package admission decides whether a VM admits a request or sheds it. The admitted
// rate adapts to the upstreams' capacity: it falls while they shed or requests fail, and
// rises otherwise. Requests of low priority are shed first. The package is pure: time and
// random numbers are arguments. A Bucket is not safe for concurrent use.
package admission

import (
	"math"
	"time"
)

const (
	// maxRate, in requests per second, is reported while there is no limit.
	maxRate = 1e6
	// minRate, in requests per second, lets enough through to notice that the upstreams
	// have recovered.
	minRate = 2.0
	// burst is the time in which an empty bucket fills at the admitted rate.
	burst = 200 * time.Millisecond
	// minBurst is the least capacity of a bucket, in requests.
	minBurst = 2.0
	// priorityReserve is the share of the bucket that priority 0 may not use. The share
	// kept from higher priorities falls linearly to 0 at topPriority.
	priorityReserve = 0.6
	// topPriority is shed last.
	topPriority = 9
	// maxShedShare is the share of shed sub-requests, and maxFailedShare the share of failed
	// requests, above which the upstreams count as overloaded.
	maxShedShare   = 0.10
	maxFailedShare = 0.05
	// decreaseFactor is applied to the rate at each decrease. A decrease does not go below
	// the rate of finished requests.
	decreaseFactor = 0.85
	// decreaseInterval is the least time between two decreases, so that the effect of one
	// shows before the next.
	decreaseInterval = 500 * time.Millisecond
	// averagingTime is the time constant of the moving averages.
	averagingTime = time.Second
	// slowIncrease and fastIncrease are relative increases of the rate per interval:
	// slowIncrease within fastIncreaseAfter of the last overload, fastIncrease later.
	slowIncrease      = 0.005
	fastIncrease      = 0.08
	fastIncreaseAfter = 1500 * time.Millisecond
	// headroom is the ratio of the admitted rate to the rate of arrivals above which the
	// limit is lifted.
	headroom = 2.0
	// Interval is the time between two calls of Adapt.
	Interval = 200 * time.Millisecond
)

// Bucket is the admission state of one workload on one VM. The zero value lets
// everything through until Adapt detects an overload.
type Bucket struct {
	rate         float64
	tokens       float64
	refilledAt   time.Duration
	limited      bool
	averages     rateAverages
	loweredAt    time.Duration
	overloadedAt time.Duration // end of the last interval with an overload
}

// rateAverages are moving averages, per second, of the counts of a Sample.
type rateAverages struct {
	arrived, finished, failed, sent, shed float64
}

// add updates the averages with a sample, weighted by its length.
func (m *rateAverages) add(s Sample) {
	seconds := s.Length.Seconds()
	weight := 1 - math.Exp(-seconds/averagingTime.Seconds())
	for _, v := range []struct {
		mean  *float64
		count int
	}{
		{&m.arrived, s.Arrived}, {&m.finished, s.Finished}, {&m.failed, s.Failed}, {&m.sent, s.Sent}, {&m.shed, s.Shed},
	} {
		*v.mean += weight * (float64(v.count)/seconds - *v.mean)
	}
}

// overloaded reports whether too many sub-requests are shed or too many requests fail.
func (m *rateAverages) overloaded() bool {
	return m.shed > maxShedShare*(m.sent+m.shed) || m.failed > maxFailedShare*(m.finished+m.failed)
}

// Sample counts the requests and sub-requests of one interval.
type Sample struct {
	// Arrived counts requests that arrived, Finished those that were answered, and Failed
	// those admitted but not answered for lack of time or capacity.
	Arrived, Finished, Failed int
	// Sent counts sub-requests sent, Shed those that an upstream shed or that found no
	// free replica.
	Sent, Shed int
	Length     time.Duration // of the interval
}

// Rate returns the admitted requests per second, and whether there is a limit.
func (b *Bucket) Rate() (float64, bool) {
	if !b.limited {
		return maxRate, false
	}
	return b.rate, true
}

// Take reports whether a request of a priority, 0 to 9, is admitted, and takes its token.
func (b *Bucket) Take(now time.Duration, priority int) bool {
	if !b.limited {
		return true
	}
	b.refill(now)
	floor := b.capacity() * priorityReserve * float64(topPriority-priority) / topPriority
	if b.tokens < floor+1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Bucket) capacity() float64 {
	return max(minBurst, b.rate*burst.Seconds())
}

func (b *Bucket) refill(now time.Duration) {
	elapsed := max(0, now-b.refilledAt)
	b.refilledAt = now
	b.tokens = min(b.capacity(), b.tokens+b.rate*elapsed.Seconds())
}

// Adapt updates the rate after an interval.
func (b *Bucket) Adapt(now time.Duration, s Sample) {
	if s.Length <= 0 {
		return
	}
	if b.limited {
		b.refill(now)
	}
	b.averages.add(s)
	if b.averages.overloaded() && s.Shed+s.Failed > 0 {
		b.overloadedAt = now
		b.lower(now)
		return
	}
	if !b.limited {
		return
	}
	if now-b.overloadedAt < fastIncreaseAfter {
		b.rate *= 1 + slowIncrease
	} else {
		b.rate *= 1 + fastIncrease
	}
	if b.rate > max(headroom*b.averages.arrived, minRate*headroom) {
		b.limited = false
	}
}

// lower sets a limit at the rate of finished requests, or lowers an existing limit towards
// that rate, once per decreaseInterval.
func (b *Bucket) lower(now time.Duration) {
	if !b.limited {
		b.limited = true
		b.rate = max(minRate, b.averages.finished)
		b.refilledAt = now
		b.tokens = 0
		b.loweredAt = now
		return
	}
	if now-b.loweredAt < decreaseInterval {
		return
	}
	b.loweredAt = now
	b.rate = max(minRate, b.rate*decreaseFactor, min(b.rate, b.averages.finished))
}

// RetryAfter returns how long a caller waits before it resends a shed request. The mean
// grows with the square of arrivals/rate, from minMean at a ratio of 1 or less to maxMean.
// random, in [0,1), spreads the result over 0.5 to 1.5 times the mean.
func RetryAfter(arrivals, rate, random float64) time.Duration {
	const (
		minMean = 200 * time.Millisecond
		maxMean = 10 * time.Second
	)
	excess := 1.0
	if rate > 0 && arrivals > rate {
		excess = arrivals / rate
	}
	mean := time.Duration(min(float64(minMean)*excess*excess, float64(maxMean)))
	return mean/2 + time.Duration(random*float64(mean))
}
