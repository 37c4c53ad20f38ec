package claims

import (
	"context"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/policy/once"
	"github.com/sardinespindle/sardinespindle/schema/gen/peer"
)

// maxWait bounds how long a lookup waits for an outcome.
const maxWait = time.Minute

// Handle answers a message of another VM, as a guard or as a claimant. It
// returns nil where the message is not about claims or is malformed.
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

func (c *Claims) vote(m *peer.Claim, born time.Time, counts bool) once.Vote {
	claim := once.Claim{
		Key: m.Key, Fingerprint: m.Fingerprint, Claimant: m.Claimant, Born: born,
		Window: time.Duration(m.WindowMs) * time.Millisecond, Generation: m.Generation,
	}
	standing := once.Standing{Generation: c.o.Generation(), Votes: counts && c.Votes()}
	now := c.now()
	s := c.shard(m.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.guard.Claim(now, claim, standing)
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

func (c *Claims) handleLookup(ctx context.Context, m *peer.Lookup) *peer.Message {
	s := c.shard(m.Key)
	s.mu.Lock()
	h := s.live[m.Key]
	s.mu.Unlock()
	if h != nil && h.fingerprint == m.Fingerprint && m.WaitMs > 0 {
		c.await(ctx, h, time.Duration(m.WaitMs)*time.Millisecond)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	outcome, ok := s.guard.Outcome(m.Key, m.Fingerprint)
	return &peer.Message{Found: &peer.Found{Known: ok, Outcome: outcome}}
}

// await waits until a hold of this VM is done, for a bounded time.
func (c *Claims) await(ctx context.Context, h *Hold, wait time.Duration) {
	if c.waiting.Add(1) > lookupLimit {
		c.waiting.Add(-1)
		return
	}
	defer c.waiting.Add(-1)
	t := time.NewTimer(min(wait, maxWait))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-h.done:
	}
}
