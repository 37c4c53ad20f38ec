package upstream

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/policy/poison"
)

// liveness is what is found of an upstream after a connection to it was lost.
type liveness int

const (
	livenessUnknown liveness = iota
	refuses                  // it refuses a connection: its process has ended
	accepts                  // it accepts one, or another one is still open
)

const (
	// livenessTimeout bounds the dial that checks whether an upstream's process has ended.
	livenessTimeout = 100 * time.Millisecond
	// endNoticeTime is how long it takes until this VM has noticed the end of each connection to an upstream that ended.
	endNoticeTime = 4 * time.Millisecond
)

// judgeLost finds out what became of an upstream to which a connection was lost while an attempt ran, and tells the
// attempt's watcher. While another connection seems open, that takes until its end would have been noticed; the result
// of the attempt does not wait for it.
func (c *Client) judgeLost(ctx context.Context, s *server, a *Attempt, r *Result) {
	if !s.pool.hasIdle() {
		r.Crashed = c.tellLost(ctx, s, a)
		return
	}
	later := *a
	time.AfterFunc(endNoticeTime, func() { c.tellLost(context.WithoutCancel(ctx), s, &later) })
}

// tellLost finds out whether the upstream has ended, tells the attempt's watcher and returns whether it has.
func (c *Client) tellLost(ctx context.Context, s *server, a *Attempt) (ended bool) {
	fate := poison.Unknown
	switch s.pool.checkLiveness(ctx) {
	case accepts:
		fate = poison.Lives
	case refuses:
		if ended = c.reachesOther(ctx, s); ended {
			fate = poison.Ended
		}
		c.logRefused(s, a, ended)
	case livenessUnknown:
	}
	s.tellFate(a, fate, c.opts.Now())
	return ended
}

// checkLiveness finds out whether the upstream's process has ended, after a connection was lost. A connection that it
// accepts goes to the pool.
func (p *pool) checkLiveness(ctx context.Context) liveness {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), livenessTimeout)
	defer cancel()
	w := &waiter{ready: make(chan struct{})}
	c, err := p.takeOrWait(w)
	if err != nil {
		return livenessUnknown
	}
	if c != nil {
		p.put(c)
		return accepts
	}
	select {
	case <-w.ready:
	case <-ctx.Done():
		p.cancelWait(w)
		return livenessUnknown
	}
	if w.conn != nil {
		p.put(w.conn)
		return accepts
	}
	if errors.Is(w.err, syscall.ECONNREFUSED) {
		return refuses
	}
	return livenessUnknown
}

// hasIdle reports whether the pool holds an idle connection.
func (p *pool) hasIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0
}
