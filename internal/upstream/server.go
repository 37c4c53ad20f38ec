package upstream

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sardinespindle/sardinespindle/internal/policy/backoff"
	"github.com/sardinespindle/sardinespindle/internal/policy/drain"
	"github.com/sardinespindle/sardinespindle/internal/policy/forecast"
	"github.com/sardinespindle/sardinespindle/internal/policy/limit"
	"github.com/sardinespindle/sardinespindle/internal/policy/ratelimit"
	"github.com/sardinespindle/sardinespindle/internal/policy/replica"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
)

// server is one upstream: its connections and this VM's estimates of its state.
type server struct {
	address  string
	identity string // the name under which the upstream was published; empty for none
	started  int    // when its process started, as published; 0 if not known
	pool     *pool
	// published is the upstream in the manifest; Client.applyMu guards it.
	published *gen.Upstream
	removed   atomic.Bool // the upstream is no longer in the manifest
	// openGauge counts open connections; nil until one was open. Client.applyMu guards it.
	openGauge prometheus.Gauge
	bounded   atomic.Bool // cold.published has a bound

	mu               sync.Mutex // guards the fields below
	entry            *gen.Upstream
	sameZone         bool
	zone             *zone
	health           replica.State
	limit            limit.Limit
	lease            drain.State
	backoff          backoff.State
	rate             ratelimit.State
	rateSent         recentSends
	cold             coldState
	announcingRate   bool // OnLimit was called, and TakeLimitToAnnounce was not
	latencies        histogram
	probe            *probeCall // nil if none is under way
	probedAt         time.Duration
	repliedAt        time.Duration    // to any request
	askedAt          time.Duration    // of the first request sent since then; 0 for none
	unanswered       []WatchedAttempt // attempts that have ended without a reply since repliedAt, the latest
	forecast         forecast.Server
	passThroughPicks []time.Duration // pick times of the pass-through requests under way
}

// update takes the upstream's entry from a new manifest.
func (s *server) update(u *gen.Upstream, z *zone, sameZone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entry, s.zone, s.sameZone = u, z, sameZone
	s.lease.SetManifest(u.Draining)
}

// isNear reports whether the upstream is in this VM's availability zone.
func (s *server) isNear() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sameZone
}

// verdict returns whether new work may be sent at now.
func (s *server) verdict(now time.Duration) drain.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease.Verdict(now)
}

// recordReply records whether a reply said that the upstream drains. It reports whether
// that changed.
func (s *server) recordReply(sent, received time.Duration, draining bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease.Reply(sent, received, draining)
}

// forgetFailures resets the estimates of the upstream's state to those of one that was there when
// the VM started.
func (s *server) forgetFailures(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	outstanding := s.health.Outstanding
	s.health = replica.New(now, true)
	s.health.Outstanding = outstanding
	s.limit = limit.New(s.entry.Slots)
	s.forecast = forecast.Server{}
}

// Address returns the upstream's address.
func (s *server) Address() string { return s.address }

// RepliedAt returns when the upstream last replied; 0 if it has not.
func (s *server) RepliedAt() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.repliedAt
}

// AskedAt returns when the first request was sent that the upstream has not replied to since; 0 for none.
func (s *server) AskedAt() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.askedAt
}

// recordAsked records that a request is sent to the upstream.
func (s *server) recordAsked(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.askedAt == 0 {
		s.askedAt = now
	}
}

// recordReplied records that the upstream replied.
func (s *server) recordReplied(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.repliedAt, s.askedAt, s.unanswered = now, 0, nil
}

// candidate is a replica considered by a pick. If err is set, the replica may not be
// picked.
type candidate struct {
	err     error
	suspect bool
	leased  bool
	idle    bool
	cost    float64
}

// evaluate returns whether one more attempt may go to this upstream, and at what cost.
func (s *server) evaluate(now time.Duration, rules rules, hedge bool) candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rules.drain && s.lease.Verdict(now) == drain.Draining {
		return candidate{err: ErrDraining}
	}
	if !rules.baseline && !s.limit.Allows(s.health.Outstanding) {
		return candidate{err: ErrLimited}
	}
	if s.pool.share.Load() == 0 {
		return candidate{err: ErrNoShare}
	}
	if rules.baseline {
		return candidate{}
	}
	suspect := s.health.Suspect() || s.lease.PeerReported() || s.zone.suspect()
	if hedge && (suspect || s.health.Shedding(now) || s.health.Queueing(now)) {
		return candidate{err: ErrNoHedgeTarget}
	}
	return candidate{
		suspect: suspect,
		idle:    s.health.Outstanding == 0 && !s.health.Queueing(now),
		leased:  !rules.drain || s.lease.Verdict(now) == drain.Ready,
		cost:    s.health.Cost(now, max(s.entry.Slots, 1), s.sameZone),
	}
}

// takeSlot takes a concurrency slot; false if the limit was reached since the pick.
func (s *server) takeSlot(rules rules) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !rules.baseline && !s.limit.Allows(s.health.Outstanding) {
		return false
	}
	s.health.Outstanding++
	return true
}

// releaseSlot releases the slot of an attempt that was not made.
func (s *server) releaseSlot(t *Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health.Outstanding--
	if t.passThrough {
		s.removePassThrough(t.pickedAt)
	}
	if t.rateTaken {
		s.rate.Return()
	}
	s.rate.Uncount(t.pickedAt)
}

// Classes that only recordResult uses.
const (
	// failedConnect: a connection could not be opened.
	failedConnect Class = -1 - iota
	// notServed: the upstream replied with a client error. It is healthy but may, for
	// example, no longer hold the shard.
	notServed
	// notRead: this VM had no room for the reply, which says nothing of the upstream.
	notRead
)

// recordResult releases the slot and records the result of an attempt. latency runs from
// the first byte, total from picking the replica.
func (s *server) recordResult(now time.Duration, class Class, latency, total, retryAfter time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	inFlight := s.health.Outstanding
	s.health.Outstanding--
	switch class {
	case OK:
		s.zone.replied()
		s.health.Replied(now, latency)
		s.limit.Done(now, latency, inFlight, queueFactor*int(s.pool.share.Load()))
		s.latencies.add(now, total)
	case Shed:
		s.health.Shed(now, retryAfter)
		s.limit.Shed(now)
	case Lost, failedConnect:
		s.failedCold(now)
		s.zone.failed()
		s.health.Failed(now)
		s.limit.Failed(now)
	case InvalidReply, Failed:
		s.health.Failed(now)
		s.limit.Failed(now)
	case TimedOut:
		s.recordCensored(now, total)
		s.recordTimedOut(now, latency)
	case Canceled:
		s.recordCensored(now, total)
		s.recordUnanswered(now, latency)
	case NotSent, notServed, notRead:
	}
}

// recordUnanswered records an attempt that was abandoned without a reply; waited is the
// time since its first byte. The lock is held.
func (s *server) recordUnanswered(now, waited time.Duration) {
	if s.health.GivenUp(now, waited) {
		s.zone.failed()
	}
}

// queueFactor bounds the concurrency limit, in multiples of the connection share: one
// request may wait in this VM for each one under way.
const queueFactor = 2

// recordCensored records the time waited by an abandoned attempt as a lower bound of its
// latency. Without it, cancelling slow attempts would shorten the hedge delay. An
// attempt abandoned before the median says nothing about the tail and is ignored. The
// lock is held.
func (s *server) recordCensored(now, waited time.Duration) {
	if waited > s.latencies.median(now) {
		s.latencies.add(now, waited)
	}
}

// slowFactor is the multiple of the expected latency beyond which a timeout is
// attributed to the replica and not to a short deadline.
const slowFactor = 2

// recordTimedOut records an attempt that exceeded its deadline. The lock is held.
func (s *server) recordTimedOut(now, waited time.Duration) {
	slow := float64(waited) > slowFactor*s.health.Latency(now)
	s.recordUnanswered(now, waited)
	if slow {
		s.failedCold(now)
		s.health.Failed(now)
		s.limit.Failed(now)
	}
}

// recordLoad records the load that the upstream reported.
func (s *server) recordLoad(now time.Duration, load float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health.Load(now, load)
}
