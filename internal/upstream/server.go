package upstream

import (
	"sync"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/policy/drain"
	"github.com/sardinespindle/sardinespindle/internal/policy/forecast"
	"github.com/sardinespindle/sardinespindle/internal/policy/limit"
	"github.com/sardinespindle/sardinespindle/internal/policy/replica"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
)

// server is one upstream: its connections and what this VM knows of it.
type server struct {
	address string
	// identity is the name under which the upstream was published; empty for none.
	identity string
	pool     *pool

	mu          sync.Mutex // guards the fields below
	entry       *gen.Upstream
	sameZone    bool
	zone        *zone
	health      replica.State
	limit       limit.Limit
	lease       drain.State
	latencies   histogram
	probe       *probeCall // under way; nil for none
	probedAt    time.Duration
	forecast    forecast.Server
	passedPicks []time.Duration // when passed requests under way were picked
}

// update takes the upstream's entry of a new manifest.
func (s *server) update(u *gen.Upstream, z *zone, sameZone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entry, s.zone, s.sameZone = u, z, sameZone
	s.lease.SetManifest(u.Draining)
}

// verdict says whether new work may be sent at now.
func (s *server) verdict(now time.Duration) drain.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease.Verdict(now)
}

// heard records the statement of a reply on draining; it reports a change.
func (s *server) recordReply(sent, received time.Duration, draining bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease.Reply(sent, received, draining)
}

// offer is what a replica offers to the choice.
type candidate struct {
	refusal error
	suspect bool
	leased  bool
	idle    bool
	cost    float64
}

// offer says whether one more attempt may go to this upstream, and at what cost.
func (s *server) evaluate(now time.Duration, rules rules, hedge bool) candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rules.drain && s.lease.Verdict(now) == drain.Draining {
		return candidate{refusal: ErrDraining}
	}
	if !rules.baseline && !s.limit.Allows(s.health.Outstanding) {
		return candidate{refusal: ErrLimited}
	}
	if s.pool.share.Load() == 0 {
		return candidate{refusal: ErrNoShare}
	}
	if rules.baseline {
		return candidate{}
	}
	suspect := s.health.Suspect() || s.lease.Doubted() || s.zone.suspect()
	if hedge && (suspect || s.health.Shedding(now) || s.health.Queueing(now)) {
		return candidate{refusal: ErrUnfit}
	}
	return candidate{
		suspect: suspect,
		idle:    s.health.Outstanding == 0 && !s.health.Queueing(now),
		leased:  !rules.drain || s.lease.Verdict(now) == drain.Ready,
		cost:    s.health.Cost(now, max(s.entry.Slots, 1), s.sameZone),
	}
}

// take takes a concurrency slot; false where the limit is reached meanwhile.
func (s *server) takeSlot(rules rules) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !rules.baseline && !s.limit.Allows(s.health.Outstanding) {
		return false
	}
	s.health.Outstanding++
	return true
}

// giveBack returns the slot of an attempt that was not made.
func (s *server) returnSlot(t *Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health.Outstanding--
	if t.passed {
		s.removePassed(t.pickedAt)
	}
}

// Classes for learning only.
const (
	// failedConnect: the attempt got no connection.
	failedConnect Class = -1 - iota
	// refused: the upstream is well but does not serve the request, as one that
	// does not hold the shard any more.
	notServed
)

// learn returns the slot and records what became of an attempt: latency counts from
// the first byte, whole from the picking of the replica.
func (s *server) recordResult(now time.Duration, class Class, latency, total, retryAfter time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	inFlight := s.health.Outstanding
	s.health.Outstanding--
	switch class {
	case OK:
		s.zone.answered()
		s.health.Answered(now, latency)
		s.limit.Done(now, latency, inFlight, queueFactor*int(s.pool.share.Load()))
		s.latencies.add(now, total)
	case Shed:
		s.health.Shed(now, retryAfter)
		s.limit.Shed(now)
	case Lost, failedConnect:
		s.zone.failed()
		s.health.Failed(now)
		s.limit.Lost(now)
	case Garbled, Failed:
		s.health.Failed(now)
		s.limit.Lost(now)
	case TimedOut:
		s.recordCensored(now, total)
		s.recordTimedOut(now, latency)
	case Canceled:
		s.recordCensored(now, total)
		s.recordUnanswered(now, latency)
	case NotSent, notServed:
	}
}

// unanswered records an attempt given up after waited. The lock is held.
func (s *server) recordUnanswered(now, waited time.Duration) {
	if s.health.Unanswered(now, waited) {
		s.zone.failed()
	}
}

// queueFactor bounds the limit by the connection share: one request may wait in
// this VM for each one under way.
const queueFactor = 2

// censored counts an attempt given up after waited as a latency, for it would have
// taken longer. One given up early says nothing on the tail. The lock is held.
func (s *server) recordCensored(now, waited time.Duration) {
	if waited > s.latencies.median(now) {
		s.latencies.add(now, waited)
	}
}

// slowFactor is the ratio to the expected latency from which a timeout speaks
// against the replica and not against the deadline.
const slowFactor = 2

// timedOut records an attempt that reached its deadline. The lock is held.
func (s *server) recordTimedOut(now, waited time.Duration) {
	slow := float64(waited) > slowFactor*s.health.Latency(now)
	s.recordUnanswered(now, waited)
	if slow {
		s.health.Failed(now)
		s.limit.Lost(now)
	}
}

// reported records the load that the upstream reported.
func (s *server) recordLoad(now time.Duration, load float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health.Load(now, load)
}
