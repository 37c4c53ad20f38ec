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

	mu        sync.Mutex // guards the fields below
	entry     *gen.Upstream
	sameZone  bool
	zone      *zone
	speed     replica.State
	limit     limit.Limit
	lease     drain.State
	latencies histogram
	probe     *probeCall // under way; nil for none
	probedAt  time.Duration
	forecast  forecast.Server
	flying    []time.Duration // when passed requests under way were picked
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
func (s *server) heard(sent, received time.Duration, draining bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease.Reply(sent, received, draining)
}

// offer is what a replica offers to the choice.
type offer struct {
	refusal error
	suspect bool
	leased  bool
	idle    bool
	cost    float64
}

// offer says whether one more attempt may go to this upstream, and at what cost.
func (s *server) offer(now time.Duration, rules rules, hedge bool) offer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rules.drain && s.lease.Verdict(now) == drain.Draining {
		return offer{refusal: ErrDraining}
	}
	if !rules.baseline && !s.limit.Allows(s.speed.Outstanding) {
		return offer{refusal: ErrLimited}
	}
	if s.pool.share.Load() == 0 {
		return offer{refusal: ErrNoShare}
	}
	if rules.baseline {
		return offer{}
	}
	suspect := s.speed.Suspect() || s.lease.Doubted() || s.zone.suspect()
	if hedge && (suspect || s.speed.Shedding(now) || s.speed.Queueing(now)) {
		return offer{refusal: ErrUnfit}
	}
	return offer{
		suspect: suspect,
		idle:    s.speed.Outstanding == 0 && !s.speed.Queueing(now),
		leased:  !rules.drain || s.lease.Verdict(now) == drain.Ready,
		cost:    s.speed.Cost(now, max(s.entry.Slots, 1), s.sameZone),
	}
}

// take takes a concurrency slot; false where the limit is reached meanwhile.
func (s *server) take(rules rules) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !rules.baseline && !s.limit.Allows(s.speed.Outstanding) {
		return false
	}
	s.speed.Outstanding++
	return true
}

// giveBack returns the slot of an attempt that was not made.
func (s *server) giveBack(t *Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.speed.Outstanding--
	if t.passed {
		s.land(t.pickedAt)
	}
}

// Classes for learning only.
const (
	// failedConnect: the attempt got no connection.
	failedConnect Class = -1 - iota
	// refused: the upstream is well but does not serve the request, as one that
	// does not hold the shard any more.
	refused
)

// learn returns the slot and records what became of an attempt: latency counts from
// the first byte, whole from the picking of the replica.
func (s *server) learn(now time.Duration, class Class, latency, whole, retryAfter time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	inFlight := s.speed.Outstanding
	s.speed.Outstanding--
	switch class {
	case OK:
		s.zone.answered()
		s.speed.Answered(now, latency)
		s.limit.Done(now, latency, inFlight, queueFactor*int(s.pool.share.Load()))
		s.latencies.add(now, whole)
	case Shed:
		s.speed.Shed(now, retryAfter)
		s.limit.Shed(now)
	case Lost, failedConnect:
		s.zone.failed()
		s.speed.Failed(now)
		s.limit.Lost(now)
	case Garbled, Failed:
		s.speed.Failed(now)
		s.limit.Lost(now)
	case TimedOut:
		s.censored(now, whole)
		s.timedOut(now, latency)
	case Canceled:
		s.censored(now, whole)
		s.unanswered(now, latency)
	case NotSent, refused:
	}
}

// unanswered records an attempt given up after waited. The lock is held.
func (s *server) unanswered(now, waited time.Duration) {
	if s.speed.Unanswered(now, waited) {
		s.zone.failed()
	}
}

// queueFactor bounds the limit by the connection share: one request may wait in
// this VM for each one under way.
const queueFactor = 2

// censored counts an attempt given up after waited as a latency, for it would have
// taken longer. One given up early says nothing on the tail. The lock is held.
func (s *server) censored(now, waited time.Duration) {
	if waited > s.latencies.median(now) {
		s.latencies.add(now, waited)
	}
}

// slowFactor is the ratio to the expected latency from which a timeout speaks
// against the replica and not against the deadline.
const slowFactor = 2

// timedOut records an attempt that reached its deadline. The lock is held.
func (s *server) timedOut(now, waited time.Duration) {
	slow := float64(waited) > slowFactor*s.speed.Latency(now)
	s.unanswered(now, waited)
	if slow {
		s.speed.Failed(now)
		s.limit.Lost(now)
	}
}

// reported records the load that the upstream reported.
func (s *server) reported(now time.Duration, load float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.speed.Load(now, load)
}
