// Package replica chooses which replica of a shard gets the next attempt. It goes
// by what this VM saw itself, its outstanding requests and recent latency, and
// takes reported load as a hint that ages. The package is pure; a State is guarded
// by its owner.
package replica

import (
	"math"
	"time"
)

const (
	// latencyWindow is the time after which a latency sample has lost most of its weight.
	latencyWindow = 2 * time.Second
	// leastWeight and mostWeight bound the weight of a new latency sample.
	leastWeight = 0.1
	mostWeight  = 0.3
	// censoredFactor is the ratio of the latency expected of an attempt that was
	// given up to the time it had taken by then.
	censoredFactor = 2
	// forgetAfter is the time without samples in which the latency estimate halves.
	forgetAfter = 10 * time.Second
	// unknownLatency is assumed of a replica without samples.
	unknownLatency = 5 * time.Millisecond
	// loadAge is the time in which a reported load loses its weight.
	loadAge = 500 * time.Millisecond
	// loadWeight is the weight of a fresh reported load against an own outstanding request.
	loadWeight = 0.5
	// queueLoad is the reported load from which a replica counts as queueing.
	queueLoad = 1.25
	// otherZone is the cost of leaving the VM's own availability zone, besides the
	// latency, which is measured.
	otherZone = time.Millisecond
	// slowStart is the time in which a new or returned replica comes to its full part.
	slowStart = 5 * time.Second
	// slowStartCost is the factor on the cost of a replica that has just appeared.
	slowStartCost = 8.0
	// shedCost is the factor on the cost of a replica that shed lately.
	shedCost = 4.0
	// mostSilences is how many attempts in a row may be given up late.
	mostSilences = 2
	// suspectFirst and suspectMost bound the time to the next probe of a suspect replica.
	suspectFirst = 200 * time.Millisecond
	suspectMost  = 5 * time.Second
	// shedFirst is how long a replica counts as shedding without a Retry-After; shedMost bounds one.
	shedFirst = 200 * time.Millisecond
	shedMost  = 2 * time.Second
	// probeFactor is how much more a replica may cost that needs no probe first.
	probeFactor = 2.0
	// sharpness is the power by which a higher cost makes a choice less likely.
	sharpness = 3.0
)

// State is what one VM knows of one replica's speed.
type State struct {
	Outstanding int

	since      time.Duration
	sampled    bool
	logLatency float64 // estimate at sampledAt: logarithm of nanoseconds
	sampledAt  time.Duration
	load       float64
	loadAt     time.Duration
	failures   int
	silences   int // attempts given up late since the last reply
	suspect    bool
	probeAt    time.Duration
	shedUntil  time.Duration
}

// New returns the state of a replica first seen at now. A replica that was there
// when the VM started is not new, and gets its full part at once.
func New(now time.Duration, known bool) State {
	if known {
		return State{since: now - slowStart}
	}
	return State{since: now}
}

// Answered records a reply at now after latency.
func (s *State) Answered(now, latency time.Duration) {
	if s.failures > 0 {
		s.since = now
	}
	s.failures, s.silences, s.suspect = 0, 0, false
	s.sample(now, latency)
}

// Probed records that the replica answered a probe: it is no longer suspect, but
// its failures still count until it answers a request.
func (s *State) Probed(now time.Duration) {
	if s.suspect {
		s.suspect, s.since = false, now
	}
}

// Unanswered records that an attempt was given up after waited, so that its
// latency would have been longer. It only raises the estimate, but for the last of
// mostSilences in a row: a replica that has stopped answering is suspect, also where
// hedges answer in its place. It reports whether the attempt was given up late.
func (s *State) Unanswered(now, waited time.Duration) bool {
	if float64(waited) <= s.Latency(now) {
		return false
	}
	s.sample(now, censoredFactor*waited)
	s.silences++
	if s.silences >= mostSilences {
		s.silences = 0
		s.Failed(now)
	}
	return true
}

// Failed records a lost connection, a timeout or a failed probe at now: the
// replica is suspect until it answers a probe, which is due after a time that
// doubles with each failure.
func (s *State) Failed(now time.Duration) {
	const mostDoublings = 8
	d := suspectFirst << min(s.failures, mostDoublings)
	s.suspect, s.probeAt = true, now+min(d, suspectMost)
	s.failures++
}

// Shed records that the replica refused a request and asked to be left alone for retryAfter.
func (s *State) Shed(now, retryAfter time.Duration) {
	s.shedUntil = now + min(max(retryAfter, shedFirst), shedMost)
}

// Load records the load that the replica reported.
func (s *State) Load(now time.Duration, load float64) {
	s.load, s.loadAt = load, now
}

// Suspect reports whether the replica failed and has not answered since.
func (s *State) Suspect() bool { return s.suspect }

// ProbeDue reports whether a suspect replica should be probed at now.
func (s *State) ProbeDue(now time.Duration) bool { return s.suspect && now >= s.probeAt }

// Shedding reports whether the replica shed lately.
func (s *State) Shedding(now time.Duration) bool { return now < s.shedUntil }

// Queueing reports whether the replica said lately that more than its slots are taken.
func (s *State) Queueing(now time.Duration) bool { return s.freshLoad(now) > queueLoad }

// Latency returns the latency expected at now, in nanoseconds.
func (s *State) Latency(now time.Duration) float64 {
	if !s.sampled {
		return float64(unknownLatency)
	}
	idle := float64(now-s.sampledAt) / float64(forgetAfter)
	return math.Exp(s.logLatency) * math.Exp2(-idle)
}

// Cost returns the expected cost of one more attempt at now, in nanoseconds; slots
// is the number of requests that the replica serves at a time.
func (s *State) Cost(now time.Duration, slots int, sameZone bool) float64 {
	queue := float64(s.Outstanding) + loadWeight*s.freshLoad(now)*float64(slots)
	cost := s.Latency(now) * (1 + queue/float64(slots))
	if !sameZone {
		cost += float64(otherZone)
	}
	if age := now - s.since; age < slowStart {
		cost *= slowStartCost + (1-slowStartCost)*float64(age)/float64(slowStart)
	}
	if s.Shedding(now) {
		cost *= shedCost
	}
	return cost
}

// freshLoad returns the reported load, less what it has lost by its age.
func (s *State) freshLoad(now time.Duration) float64 {
	left := 1 - float64(now-s.loadAt)/float64(loadAge)
	return s.load * max(left, 0)
}

// sample moves the latency estimate; the longer ago the last sample, the more a
// new one counts. It is a geometric mean, which one straggler moves little while a
// replica that is always slow shows after a few samples.
func (s *State) sample(now, latency time.Duration) {
	weight := 1.0
	if s.sampled {
		gap := float64(now-s.sampledAt) / float64(latencyWindow)
		weight = min(max(leastWeight, 1-math.Exp(-gap)), mostWeight)
	}
	s.logLatency += weight * (math.Log(float64(max(latency, 1))) - s.logLatency)
	s.sampled, s.sampledAt = true, now
}

// Choose returns the index of one of the costs. A replica is chosen with a
// probability that falls with its cost, so that VMs that see the same costs
// do not all go to the same replica. r is uniform in [0, 1).
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

// WorthProbe reports whether replicas that need a probe first should be weighed
// against those that do not, given the least cost of each.
func WorthProbe(ready, unready float64) bool { return ready > probeFactor*unready }

// likelihood weighs a cost against the least one: 1 for the least, less for the others.
func likelihood(cost, least float64) float64 {
	return math.Pow(least/max(cost, 1), sharpness)
}
