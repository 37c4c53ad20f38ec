// Package forecast predicts how long one upstream takes for a request, from the few
// replies that one VM gets from it. The load reported with a reply distinguishes a slow
// upstream from one with a queue, and requests without a reply so far count as evidence.
// The package is pure: time is an argument. TypicalLatency and Server are not safe for
// concurrent use.
package forecast

import (
	"math"
	"time"
)

const (
	// medianStep is the relative step by which a sample moves the estimate of the typical
	// latency: up if the sample is above the estimate, otherwise down. The estimate thus
	// converges on the median.
	medianStep = 0.03
	// The first initialSamples samples move the estimate by initialStep instead.
	initialSamples = 30
	initialStep    = 0.2
	// initialEstimate is the estimate for a kind of request without samples, or initialShare of its
	// objective if that is less: a VM that has just started must not shed a kind of request because
	// of an estimate that no sample supports. The first sample moves the estimate but does not
	// replace it, as that sample may be an outlier.
	initialEstimate = 25 * time.Millisecond
	initialShare    = 0.125
	// estimateHold is how long an estimate stays unchanged without samples. Then an estimate
	// above the initial one decays: the logarithm of its ratio to that is halved
	// every estimateHalfLife. Otherwise a VM that sheds all requests because of its estimate would
	// get no samples to correct it.
	estimateHold     = 2 * time.Second
	estimateHalfLife = 2 * time.Second
	// slownessWeight is the weight of a new sample of an upstream's slowness, the ratio of
	// its latency to the typical latency.
	slownessWeight = 0.3
	// slownessHalfLife is the time without samples in which the logarithm of the slowness
	// halves.
	slownessHalfLife = 4 * time.Second
	// minSlowness and maxSlowness bound the slowness.
	minSlowness, maxSlowness = 0.5, 40
	// waitWeight is the weight of a new sample of the wait in an upstream's queue.
	waitWeight = 0.5
	// waitHalfLife is the time without samples in which the wait halves: queues drain.
	waitHalfLife = 250 * time.Millisecond
	// paceHalfLife is the time in which half of what a reply said about the pace is forgotten: the
	// machines of upstreams change their pace many times a second.
	paceHalfLife = 50 * time.Millisecond
	// minPace and maxPace bound what a reply may say about the pace.
	minPace, maxPace = 0.1, 10
	// shedWeight is the weight of a new reply in the share of shed requests.
	shedWeight = 0.25
	// shedHalfLife is the time without replies in which that share halves.
	shedHalfLife = 5 * time.Second
	// shedCost is what a shed attempt costs besides its own time, in typical latencies:
	// another attempt has to be made, which takes a budget token.
	shedCost = 1.2
	// A request that was given up counts as a sample of censoredNumerator/censoredDenominator
	// times the time it had waited, since its latency would have been longer.
	censoredNumerator, censoredDenominator = 3, 2
	// overdueFactor is the ratio to the expected latency above which a request in flight
	// counts as overdue.
	overdueFactor = 1.5
)

// TypicalLatency estimates the typical (median) latency of one kind of request at an upstream
// without a queue. The zero value has no samples.
type TypicalLatency struct {
	estimate  float64 // ns
	samples   int
	sampledAt time.Duration
	objective time.Duration // of the kind of request; 0 if it has none
}

// SetObjective sets the latency objective of the kind of request.
func (w *TypicalLatency) SetObjective(d time.Duration) { w.objective = d }

// initial returns the estimate without samples.
func (w *TypicalLatency) initial() float64 {
	if w.objective <= 0 {
		return float64(initialEstimate)
	}
	return min(float64(initialEstimate), initialShare*float64(w.objective))
}

// Observe records the latency of a reply, at now, from an upstream that reported no queue.
func (w *TypicalLatency) Observe(now, latency time.Duration) {
	value := w.estimateAt(now)
	step := medianStep
	if w.samples < initialSamples {
		w.samples++
		step = initialStep
	}
	if float64(latency) > value {
		value *= 1 + step
	} else {
		value /= 1 + step
	}
	w.estimate, w.sampledAt = value, now
}

// At returns the typical latency at now.
func (w *TypicalLatency) At(now time.Duration) time.Duration { return time.Duration(w.estimateAt(now)) }

func (w *TypicalLatency) estimateAt(now time.Duration) float64 {
	if w.samples == 0 {
		return w.initial()
	}
	excess := math.Log(w.estimate / w.initial())
	if excess <= 0 {
		return w.estimate
	}
	return w.initial() * math.Exp(excess*decay(now-w.sampledAt-estimateHold, estimateHalfLife))
}

// Load is the load that an upstream reported with a reply, in requests.
type Load struct {
	Known                   bool
	Running, Waiting, Slots int
	// Pace is how long work takes on the upstream's machine at the moment, as a multiple of the usual
	// time; 0 if the upstream does not say.
	Pace float64
}

// AtUsualPace returns what a latency would have been at the usual pace of the upstream's machine.
func (l Load) AtUsualPace(latency time.Duration) time.Duration {
	return time.Duration(float64(latency) / l.pace())
}

// pace returns the pace, bounded; 1 if the upstream does not say.
func (l Load) pace() float64 {
	if !l.Known || l.Pace <= 0 {
		return 1
	}
	return min(max(l.Pace, minPace), maxPace)
}

// Queued reports whether requests waited in the queue when the reply was sent.
func (l Load) Queued() bool { return l.Known && l.Waiting > 0 }

// Server estimates the latency of one upstream from what one VM observed. The zero value
// has no observations.
type Server struct {
	logSlowness float64 // logarithm of the ratio of its latency to the typical latency
	slownessAt  time.Duration
	wait        float64 // ns, expected in its queue
	waitAt      time.Duration
	shedShare   float64 // share of requests that it sheds
	shedShareAt time.Duration
	logPace     float64 // logarithm of the pace in the last reply
	paceAt      time.Duration
}

// Replied records a reply at now, after latency. typical is the typical latency of the kind
// of request. The pace that the reply states is taken out of the samples: it is over long before the
// estimates of slowness and wait are.
func (s *Server) Replied(now, latency, typical time.Duration, l Load) {
	s.sampleShed(now, 0)
	s.logPace, s.paceAt = math.Log(l.pace()), now
	latency = l.AtUsualPace(latency)
	if !l.Queued() {
		s.sampleSlowness(now, latency, typical)
	}
	excess := max(0, float64(latency)-float64(typical)*math.Exp(s.logSlownessAt(now)))
	s.wait = s.expectedWait(now) + waitWeight*(excess-s.expectedWait(now))
	s.waitAt = now
}

// sampleSlowness records a sample of the slowness.
func (s *Server) sampleSlowness(now, latency, typical time.Duration) {
	ratio := math.Log(float64(max(latency, 1)) / float64(max(typical, 1)))
	known := s.logSlownessAt(now)
	s.logSlowness = min(max(known+slownessWeight*(ratio-known), math.Log(minSlowness)), math.Log(maxSlowness))
	s.slownessAt = now
}

// Unanswered records that a request was given up at now after waited. The request counts
// only if waited exceeds the expected latency.
func (s *Server) Unanswered(now, waited, typical time.Duration) {
	if waited > s.ExpectedLatency(now, typical) {
		s.sampleSlowness(now, waited*censoredNumerator/censoredDenominator, typical)
	}
}

// Shed records that the upstream shed a request at now.
func (s *Server) Shed(now time.Duration) { s.sampleShed(now, 1) }

func (s *Server) sampleShed(now time.Duration, sample float64) {
	s.shedShare = s.ShedShare(now) + shedWeight*(sample-s.ShedShare(now))
	s.shedShareAt = now
}

// ShedShare returns the share of requests that the upstream is expected to shed.
func (s *Server) ShedShare(now time.Duration) float64 {
	return s.shedShare * decay(now-s.shedShareAt, shedHalfLife)
}

func (s *Server) logSlownessAt(now time.Duration) float64 {
	return s.logSlowness * decay(now-s.slownessAt, slownessHalfLife)
}

func (s *Server) expectedWait(now time.Duration) float64 {
	return s.wait * decay(now-s.waitAt, waitHalfLife)
}

// decay returns the share of a value that is left after age, where half is its half-life.
func decay(age, half time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(half))
}

// ExpectedLatency returns the expected latency of a request sent at now.
func (s *Server) ExpectedLatency(now, typical time.Duration) time.Duration {
	pace := s.logPace * decay(now-s.paceAt, paceHalfLife)
	return time.Duration(float64(typical)*math.Exp(s.logSlownessAt(now)+pace) + s.expectedWait(now))
}

// InFlight describes the requests that one VM has in flight at an upstream.
type InFlight struct {
	Count  int
	Oldest time.Duration // age of the oldest
	Slots  int           // requests that the upstream serves at a time
}

// Cost returns the cost of sending one more request at now: the expected latency, which
// grows with the requests in flight, plus the expected cost of being shed. An overdue
// request in flight suggests that the upstream is paused, so the expected latency is at
// least the age of that request.
func (s *Server) Cost(now, typical time.Duration, f InFlight) time.Duration {
	expect := float64(s.ExpectedLatency(now, typical))
	if f.Count > 0 {
		if late := float64(f.Oldest); late > overdueFactor*expect {
			expect = max(expect, late)
		}
		expect *= 1 + float64(f.Count)/float64(max(f.Slots, 1))
	}
	share := min(s.ShedShare(now), 0.9)
	return time.Duration(expect + share/(1-share)*shedCost*float64(typical))
}
