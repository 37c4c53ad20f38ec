package claims

import (
	"context"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/policy/once"
	"github.com/sardinespindle/sardinespindle/schema/gen/peer"
)

// maxLookupWait bounds how long a lookup of another VM waits for an outcome.
const maxLookupWait = time.Minute

// Handle returns the reply to another VM's message; nil if the message is not about claims
// or is malformed.
func (c *Claims) Handle(ctx context.Context, _ string, m *peer.Message) *peer.Message {
	var reply *peer.Message
	switch {
	case m.Claim != nil:
		reply = c.handleClaim(m.Claim)
	case m.Release != nil:
		reply = c.handleRelease(m.Release)
	case m.Record != nil:
		reply = c.handleRecord(m.Record)
	case m.Join != nil:
		reply = c.handleJoin(m.Join)
	case m.Lookup != nil:
		reply = c.handleLookup(ctx, m.Lookup)
	}
	if reply != nil {
		reply.Id = m.Id
	}
	return reply
}

// handleClaim votes on a claim. A granted vote names the VMs that may vote on the key.
func (c *Claims) handleClaim(m *peer.Claim) *peer.Message {
	born, err := once.Birth(m.Key)
	if err != nil || born.UnixMilli() != int64(m.BornMs) || m.WindowMs <= 0 || m.Claimant == "" || m.Fingerprint == "" {
		return nil
	}
	members, ok := c.members(born)
	v := c.vote(m, born, ok)
	if v.Verdict != once.Granted {
		members = nil
	}
	c.metrics.votes.WithLabelValues(string(v.Verdict)).Inc()
	return &peer.Message{Vote: &peer.Vote{
		Verdict: peer.VoteVerdict(v.Verdict), Holder: v.Holder, Outcome: v.Outcome, Members: members,
	}}
}

// vote votes on a claim on a key born at the given time. The vote is not granted unless
// this VM knows all VMs that may vote on the key (knowsVoters).
func (c *Claims) vote(m *peer.Claim, born time.Time, knowsVoters bool) once.Vote {
	claim := once.Claim{
		Key: m.Key, Fingerprint: m.Fingerprint, Claimant: m.Claimant, Born: born,
		Window: time.Duration(m.WindowMs) * time.Millisecond, Generation: m.Generation,
	}
	state := once.GuardState{Generation: c.o.Generation(), Votes: knowsVoters && c.Votes()}
	now := c.now()
	s := c.shard(m.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.guard.Claim(now, claim, state)
}

func (c *Claims) handleRelease(m *peer.Release) *peer.Message {
	born, err := once.Birth(m.Key)
	if err != nil || m.Claimant == "" {
		return nil
	}
	now := c.now()
	s := c.shard(m.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.guard.Release(now, m.Key, m.Claimant, born)
	return &peer.Message{Found: &peer.Found{Known: true}}
}

func (c *Claims) handleRecord(m *peer.Record) *peer.Message {
	born, err := once.Birth(m.Key)
	if err != nil || m.Claimant == "" || m.Fingerprint == "" || len(m.Outcome) > once.MaxOutcome {
		return nil
	}
	now := c.now()
	s := c.shard(m.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	ok := s.guard.Record(now, m.Key, m.Claimant, m.Fingerprint, m.Outcome, born)
	return &peer.Message{Found: &peer.Found{Known: ok}}
}

// handleLookup returns the outcome of a key. While this VM runs the key's request, it
// waits for the outcome.
func (c *Claims) handleLookup(ctx context.Context, m *peer.Lookup) *peer.Message {
	s := c.shard(m.Key)
	s.mu.Lock()
	h := s.holds[m.Key]
	s.mu.Unlock()
	if h != nil && h.fingerprint == m.Fingerprint && m.WaitMs > 0 {
		c.awaitHold(ctx, h, time.Duration(m.WaitMs)*time.Millisecond)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	outcome, ok := s.guard.Outcome(m.Key, m.Fingerprint)
	return &peer.Message{Found: &peer.Found{Known: ok, Outcome: outcome}}
}

// awaitHold waits until a hold of this VM ends, at most for the given time. It returns at
// once if too many lookups are waiting.
func (c *Claims) awaitHold(ctx context.Context, h *Hold, wait time.Duration) {
	if c.waitingLookups.Add(1) > maxWaitingLookups {
		c.waitingLookups.Add(-1)
		return
	}
	defer c.waitingLookups.Add(-1)
	t := time.NewTimer(min(wait, maxLookupWait))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-h.done:
	}
}
