// Package replica chooses which replica of a shard gets the next attempt. It relies on
// what this VM observed itself, its outstanding requests and recent latency, and uses
// reported load only as a hint whose weight falls with age. The package is pure: time and
// random numbers are arguments. State and Zone are not safe for concurrent use.
package replica

import (
	"math"
	"time"
)

const (
	// latencyWindow sets the weight of a new latency sample: 1-exp(-gap/latencyWindow) for
	// the gap since the last one, within minWeight and maxWeight.
	latencyWindow = 2 * time.Second
	minWeight     = 0.1
	maxWeight     = 0.3
	// An attempt that was given up counts as a sample of censoredFactor times the time it
	// had waited, since its latency would have been longer.
	censoredFactor = 2
	// latencyHalfLife is the time without samples in which the latency estimate halves, so
	// that a slow replica is tried again.
	latencyHalfLife = 10 * time.Second
	// unknownLatency is assumed of a replica without samples.
	unknownLatency = 5 * time.Millisecond
	// loadTTL is the time in which the weight of a reported load falls linearly to 0.
	loadTTL = 500 * time.Millisecond
	// loadWeight is the weight of one request of a newly reported load, relative to one
	// outstanding request of this VM.
	loadWeight = 0.5
	// queueingLoad is the reported load, in requests per slot, above which a replica counts
	// as queueing.
	queueingLoad = 1.25
	// crossZoneCost is added to the cost of a replica in another availability zone. The
	// measured latency of the replica already includes the longer path.
	crossZoneCost = time.Millisecond
	// slowStartTime is the time in which a new or recovered replica reaches its full share of
	// the requests.
	slowStartTime = 5 * time.Second
	// slowStartCost is the factor on the cost of a replica at the start of that time. It
	// falls linearly to 1.
	slowStartCost = 8.0
	// shedCost is the factor on the cost of a replica that shed a request recently.
	shedCost = 4.0
	// maxUnanswered is the number of attempts, given up late without a reply in between,
	// after which a replica is suspect.
	maxUnanswered = 2
	// minProbeDelay and maxProbeDelay bound the time until a suspect replica is probed again.
	minProbeDelay = 200 * time.Millisecond
	maxProbeDelay = 5 * time.Second
	// minShedTime and maxShedTime bound how long a replica counts as shedding, whatever its
	// Retry-After says.
	minShedTime = 200 * time.Millisecond
	maxShedTime = 2 * time.Second
	// A ready replica is preferred to one that needs a probe first while it costs at most
	// probeCostFactor times as much.
	probeCostFactor = 2.0
	// The likelihood of a choice falls with the choiceExponent-th power of the cost.
	choiceExponent = 3.0
)

// State is what one VM has observed of the speed of one replica. Create it with New.
type State struct {
	Outstanding int

	slowStartAt time.Duration
	sampled     bool
	logLatency  float64 // estimate at sampledAt: logarithm of nanoseconds
	sampledAt   time.Duration
	load        float64
	loadAt      time.Duration
	failures    int
	unanswered  int // attempts given up late in a row, up to maxUnanswered
	suspect     bool
	probeDueAt  time.Duration
	shedUntil   time.Duration
}

// New returns the state of a replica first seen at now. known is set for a replica that was
// there when the VM started: it gets its full share of requests without a slow start.
func New(now time.Duration, known bool) State {
	if known {
		return State{slowStartAt: now - slowStartTime}
	}
	return State{slowStartAt: now}
}

// Replied records a reply at now after latency. The replica is no longer suspect; if it
// had failed, it starts slowly.
func (s *State) Replied(now, latency time.Duration) {
	if s.failures > 0 {
		s.slowStartAt = now
	}
	s.failures, s.unanswered, s.suspect = 0, 0, false
	s.sample(now, latency)
}

// Probed records that the replica replied to a probe at now: it is no longer suspect and
// starts slowly, but its failures still count until it replies to a request.
func (s *State) Probed(now time.Duration) {
	if s.suspect {
		s.suspect, s.slowStartAt = false, now
	}
}

// GivenUp records that an attempt was given up at now after waited, and reports whether
// that was later than the expected latency. If so, the latency estimate rises, and the
// last of maxUnanswered such attempts in a row counts as failed: a replica that has
// stopped replying becomes suspect, even if hedges get replies in its place.
func (s *State) GivenUp(now, waited time.Duration) bool {
	if float64(waited) <= s.Latency(now) {
		return false
	}
	s.sample(now, censoredFactor*waited)
	s.unanswered++
	if s.unanswered >= maxUnanswered {
		s.unanswered = 0
		s.Failed(now)
	}
	return true
}

// Failed records at now a lost connection, a timeout, an unusable reply or a failed probe.
// The replica is suspect until it replies to a request or a probe; the next probe is due
// after a time that doubles with each failure in a row.
func (s *State) Failed(now time.Duration) {
	const maxDoublings = 8
	d := minProbeDelay << min(s.failures, maxDoublings)
	s.suspect, s.probeDueAt = true, now+min(d, maxProbeDelay)
	s.failures++
}

// Shed records that the replica shed a request at now and asked for no more requests for
// retryAfter; 0 if it named no time.
func (s *State) Shed(now, retryAfter time.Duration) {
	s.shedUntil = now + min(max(retryAfter, minShedTime), maxShedTime)
}

// Load records the load that the replica reported at now, in requests per slot.
func (s *State) Load(now time.Duration, load float64) {
	s.load, s.loadAt = load, now
}

// Suspect reports whether the replica failed and has not replied since.
func (s *State) Suspect() bool { return s.suspect }

// ProbeDue reports whether a suspect replica should be probed at now.
func (s *State) ProbeDue(now time.Duration) bool { return s.suspect && now >= s.probeDueAt }

// Shedding reports whether the replica shed a request recently.
func (s *State) Shedding(now time.Duration) bool { return now < s.shedUntil }

// Queueing reports whether a recently reported load shows a queue at the replica.
func (s *State) Queueing(now time.Duration) bool { return s.freshLoad(now) > queueingLoad }

// Latency returns the expected latency at now, in nanoseconds.
func (s *State) Latency(now time.Duration) float64 {
	if !s.sampled {
		return float64(unknownLatency)
	}
	idle := float64(now-s.sampledAt) / float64(latencyHalfLife)
	return math.Exp(s.logLatency) * math.Exp2(-idle)
}

// Cost returns the cost of one more attempt at now, in nanoseconds. slots is the number of
// requests that the replica serves at a time.
func (s *State) Cost(now time.Duration, slots int, sameZone bool) float64 {
	queue := float64(s.Outstanding) + loadWeight*s.freshLoad(now)*float64(slots)
	cost := s.Latency(now) * (1 + queue/float64(slots))
	if !sameZone {
		cost += float64(crossZoneCost)
	}
	if age := now - s.slowStartAt; age < slowStartTime {
		cost *= slowStartCost + (1-slowStartCost)*float64(age)/float64(slowStartTime)
	}
	if s.Shedding(now) {
		cost *= shedCost
	}
	return cost
}

// freshLoad returns the reported load, reduced by its age.
func (s *State) freshLoad(now time.Duration) float64 {
	remaining := 1 - float64(now-s.loadAt)/float64(loadTTL)
	return s.load * max(remaining, 0)
}

// sample updates the latency estimate. The longer ago the last sample, the more a new one
// counts. The estimate is a geometric mean: a single straggler moves it little, while a
// replica that is always slow shows after a few samples.
func (s *State) sample(now, latency time.Duration) {
	weight := 1.0
	if s.sampled {
		gap := float64(now-s.sampledAt) / float64(latencyWindow)
		weight = min(max(minWeight, 1-math.Exp(-gap)), maxWeight)
	}
	s.logLatency += weight * (math.Log(float64(max(latency, 1))) - s.logLatency)
	s.sampled, s.sampledAt = true, now
}

// Choose returns the index of one of the costs, with a probability that falls with the
// cost, so that VMs that compute the same costs do not all choose the same replica. r is
// uniform in [0, 1).
func Choose(costs []float64, r float64) int {
	least := math.Inf(1)
	for _, c := range costs {
		least = min(least, c)
	}
	least = max(least, 1)
	var sum float64
	for _, c := range costs {
		sum += likelihood(c, least)
	}
	target := r * sum
	for i, c := range costs {
		target -= likelihood(c, least)
		if target < 0 {
			return i
		}
	}
	return len(costs) - 1
}

// WorthProbe reports whether replicas that need a probe first are candidates as well as the
// ready ones, given the least cost of each group.
func WorthProbe(ready, unready float64) bool { return ready > probeCostFactor*unready }

// likelihood returns the weight of a cost in Choose: 1 for the least, less for the others.
func likelihood(cost, least float64) float64 {
	return math.Pow(least/max(cost, 1), choiceExponent)
}
