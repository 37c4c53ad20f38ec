// Package forecast predicts how long one upstream takes for a request, from the few
// replies that one VM sees of it. It tells a slow upstream from one with a queue by the
// load that replies report, and takes requests that are not answered yet as evidence.
// The package is pure; its types are guarded by their owner.
package forecast

import (
	"math"
	"time"
)

const (
	// workStep is the relative step by which the usual time of a kind of request follows
	// a sample; half of the samples move it up and half down, so it rests at the median.
	workStep = 0.03
	// firstSamples is the number of samples that move it faster.
	firstSamples = 30
	firstStep    = 0.2
	// unknownWork is assumed of a kind without samples; the first ones move on from it, so
	// that one odd reply does not set the usual time.
	unknownWork = 25 * time.Millisecond
	// workKeeps is how long the usual time holds without samples; a longer one than
	// unknownWork then halves its logarithm in each workForgets. A VM that refuses all
	// requests for their usual time gets no samples that would correct it.
	workKeeps   = 2 * time.Second
	workForgets = 2 * time.Second
	// slowWeight is the weight of a sample of an upstream's slowness.
	slowWeight = 0.3
	// slowForgets is the time in which the belief in slowness halves without samples.
	slowForgets = 4 * time.Second
	// leastSlow and mostSlow bound the slowness.
	leastSlow, mostSlow = 0.5, 40
	// waitWeight is the weight of a sample of the wait in an upstream's queue.
	waitWeight = 0.5
	// waitForgets is the time in which the wait halves without samples: queues drain.
	waitForgets = 250 * time.Millisecond
	// refusalWeight is the weight of one reply in the share of refused requests.
	refusalWeight = 0.25
	// refusalForgets is the time in which that share halves without replies.
	refusalForgets = 5 * time.Second
	// refusalCost is what a refused attempt costs besides its own time, in usual times:
	// another attempt has to be paid for.
	refusalCost = 1.2
	// censoredTimes / censoredOf is the ratio of the time expected of a request that was given up to
	// the time it had taken by then.
	censoredTimes, censoredOf = 3, 2
	// overdue is how much longer than expected an unanswered request has to take to count.
	overdue = 1.5
)

// Work is the usual time of one kind of request at an upstream that has no queue. The
// zero value has no samples.
type Work struct {
	value   float64 // ns
	samples int
	at      time.Duration // of the last sample
}

// Observe takes in the latency of a reply, at now, of an upstream that reported no queue.
func (w *Work) Observe(now, latency time.Duration) {
	value := w.believed(now)
	step := workStep
	if w.samples < firstSamples {
		w.samples++
		step = firstStep
	}
	if float64(latency) > value {
		value *= 1 + step
	} else {
		value /= 1 + step
	}
	w.value, w.at = value, now
}

// Usual returns the usual time at now.
func (w *Work) Usual(now time.Duration) time.Duration { return time.Duration(w.believed(now)) }

func (w *Work) believed(now time.Duration) float64 {
	if w.samples == 0 {
		return float64(unknownWork)
	}
	excess := math.Log(w.value / float64(unknownWork))
	if excess <= 0 {
		return w.value
	}
	return float64(unknownWork) * math.Exp(excess*halvings(now-w.at-workKeeps, workForgets))
}

// Load is what an upstream reported with a reply.
type Load struct {
	Known                   bool
	Running, Waiting, Slots int
}

// Queued reports whether requests waited when the reply was sent.
func (l Load) Queued() bool { return l.Known && l.Waiting > 0 }

// Server is what one VM knows of one upstream. The zero value knows nothing.
type Server struct {
	logSlow float64 // logarithm of the ratio of its times to the usual ones
	slowAt  time.Duration
	wait    float64 // ns, expected before it begins a request
	waitAt  time.Duration
	refuses float64 // share of requests refused
	refusAt time.Duration
}

// Replied takes in a reply at now, after latency, to a request that usually takes usual.
func (s *Server) Replied(now, latency, usual time.Duration, l Load) {
	s.refused(now, 0)
	if !l.Queued() {
		s.slowed(now, latency, usual)
	}
	excess := max(0, float64(latency)-float64(usual)*math.Exp(s.slowness(now)))
	s.wait = s.waiting(now) + waitWeight*(excess-s.waiting(now))
	s.waitAt = now
}

// slowed takes in a sample of the slowness.
func (s *Server) slowed(now, latency, usual time.Duration) {
	ratio := math.Log(float64(max(latency, 1)) / float64(max(usual, 1)))
	known := s.slowness(now)
	s.logSlow = min(max(known+slowWeight*(ratio-known), math.Log(leastSlow)), math.Log(mostSlow))
	s.slowAt = now
}

// Unanswered takes in that a request was given up at now after waited.
func (s *Server) Unanswered(now, waited, usual time.Duration) {
	if waited > s.Expect(now, usual) {
		s.slowed(now, waited*censoredTimes/censoredOf, usual)
	}
}

// Refused takes in that the upstream refused a request at now.
func (s *Server) Refused(now time.Duration) { s.refused(now, 1) }

func (s *Server) refused(now time.Duration, sample float64) {
	s.refuses = s.RefusedShare(now) + refusalWeight*(sample-s.RefusedShare(now))
	s.refusAt = now
}

// RefusedShare returns the share of requests that the upstream is expected to refuse.
func (s *Server) RefusedShare(now time.Duration) float64 {
	return s.refuses * halvings(now-s.refusAt, refusalForgets)
}

func (s *Server) slowness(now time.Duration) float64 {
	return s.logSlow * halvings(now-s.slowAt, slowForgets)
}

func (s *Server) waiting(now time.Duration) float64 {
	return s.wait * halvings(now-s.waitAt, waitForgets)
}

// halvings is the part that is left after age.
func halvings(age, half time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(half))
}

// Expect returns the time to a reply to a request sent at now.
func (s *Server) Expect(now, usual time.Duration) time.Duration {
	return time.Duration(float64(usual)*math.Exp(s.slowness(now)) + s.waiting(now))
}

// Flight is what one VM has under way at an upstream.
type Flight struct {
	// Count of unanswered requests, and the age of the oldest.
	Count  int
	Oldest time.Duration
	Slots  int
}

// Cost returns how costly it is to send one more request at now: the time expected,
// which requests under way lengthen, with the risk of a refusal. A request that is
// overdue shows that the upstream has stopped for now.
func (s *Server) Cost(now, usual time.Duration, f Flight) time.Duration {
	expect := float64(s.Expect(now, usual))
	if f.Count > 0 {
		if late := float64(f.Oldest); late > overdue*expect {
			expect = max(expect, late)
		}
		expect *= 1 + float64(f.Count)/float64(max(f.Slots, 1))
	}
	share := min(s.RefusedShare(now), 0.9)
	return time.Duration(expect + share/(1-share)*refusalCost*float64(usual))
}
