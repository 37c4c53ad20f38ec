package upstream

import (
	"context"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/policy/poison"
)

// maxUnanswered bounds the attempts without a reply that are remembered of an upstream: those that ran when it ended
// and some sent until this VM noticed.
const maxUnanswered = 16

// tellFate tells the watcher of an attempt the fate of its upstream. If it is unknown, the watcher is also told should
// the upstream turn out to have ended.
func (s *server) tellFate(a *Attempt, f poison.Fate, now time.Duration) {
	if a.watched == nil {
		return
	}
	a.watched.Sent(f, now)
	if f != poison.Unknown {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.unanswered) < maxUnanswered {
		s.unanswered = append(s.unanswered, a.watched)
	}
}

// tellGone tells the watchers of the attempts without a reply that the upstream has ended.
func (s *server) tellGone(now time.Duration) {
	s.mu.Lock()
	unanswered := s.unanswered
	s.unanswered = nil
	s.mu.Unlock()
	for _, w := range unanswered {
		w.Gone(now)
	}
}

// hasUnanswered reports whether there are attempts without a reply.
func (s *server) hasUnanswered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.unanswered) > 0
}

// judgeRemoved finds out whether an upstream that is not published any more has ended, and tells those whose attempts
// it has not replied to. An upstream may also leave the catalog though it runs on, as while it drains. replaced says that
// another one is published at its address.
func (c *Client) judgeRemoved(s *server, replaced bool) {
	if !s.hasUnanswered() {
		return
	}
	go func() {
		ctx := context.Background()
		if replaced || !c.connectsToAny(ctx, []string{s.address}) && c.reachesOther(ctx, s) {
			s.tellGone(c.opts.Now())
		}
	}()
}
