package upstream

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/policy/backoff"
)

// WaitError is the error of a pick where each remaining upstream has asked for a pause, or gets all
// the requests that it takes.
type WaitError struct {
	// Left is how long it takes until the first of them may be sent a request.
	Left time.Duration
	// AtLimit is set if that one takes no more requests a second, and not if it wants a pause.
	AtLimit bool
}

func (e *WaitError) Error() string {
	left := e.Left.Round(time.Millisecond)
	if e.AtLimit {
		return fmt.Sprintf("upstream: every replica gets the requests a second that it takes, the next in %v", left)
	}
	return fmt.Sprintf("upstream: every replica wants a pause, for %v more", left)
}

// WaitLeft returns how long it takes until an upstream may be asked again, if err is a WaitError; 0
// otherwise.
func WaitLeft(err error) time.Duration {
	var wait *WaitError
	if errors.As(err, &wait) {
		return wait.Left
	}
	return 0
}

// WaitReason returns the reason of a WaitError for metrics and details; empty for other errors.
func WaitReason(err error) string {
	var wait *WaitError
	switch {
	case !errors.As(err, &wait):
		return ""
	case wait.AtLimit:
		return "at_limit"
	default:
		return "resting"
	}
}

// refusal returns why the upstream gets no pass-through request at now, whatever its rate; nil if
// it may get one. The lock is held.
func (s *server) refusal(now time.Duration) error {
	switch verdict, left := s.backoff.Verdict(now); verdict {
	case backoff.Leaving:
		return ErrDraining
	case backoff.Resting:
		return &WaitError{Left: left}
	default:
		return nil
	}
}

// refuses is refusal without the lock held.
func (s *server) refuses(now time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusal(now)
}

// recordReplyHead records what the head of a reply to a pass-through request says of its upstream.
// Another upstream at the address speaks for itself only, and a reply to another request may be old.
// Attempts that wait for a connection end at once if they may not be sent any more.
func (c *Client) recordReplyHead(s *server, a *Attempt, resp *http.Response, sentAt time.Duration) {
	now := c.opts.Now()
	c.path.replied(now)
	if resp.StatusCode == http.StatusMisdirectedRequest {
		s.tellGone(now)
		return
	}
	s.recordReplied(now)
	if c.checkPassThroughEcho(a, resp) != nil {
		return
	}
	if c.opts.Headers.Leaving != "" && resp.Header.Get(c.opts.Headers.Leaving) == "1" {
		c.recordLeaving(s, "itself")
	}
	c.recordLimit(s, resp.Header, sentAt)
	c.recordWarmup(s, resp.Header, sentAt)
	if pause := parseRetryAfter(resp); resp.StatusCode == http.StatusServiceUnavailable && pause > 0 {
		c.recordRest(s, pause)
	}
}

// recordLeaving records that an upstream leaves; source says who told.
func (c *Client) recordLeaving(s *server, source string) {
	s.mu.Lock()
	changed := s.backoff.Leave()
	s.mu.Unlock()
	if !changed {
		return
	}
	c.metrics.backoffs.WithLabelValues("leaving").Inc()
	if c.opts.Log != nil {
		c.opts.Log.Info("upstream leaves", "address", s.address, "identity", s.identity, "source", source)
	}
	s.pool.failWaiters(ErrDraining)
	if source == "itself" {
		c.opts.OnLeaving(s.incarnation())
	}
}

// recordRest records that an upstream wants a pause.
func (c *Client) recordRest(s *server, pause time.Duration) {
	s.mu.Lock()
	begins := s.backoff.Rest(c.opts.Now(), pause)
	s.mu.Unlock()
	if !begins {
		return
	}
	c.metrics.backoffs.WithLabelValues("rest").Inc()
	if c.opts.Log != nil {
		c.opts.Log.Info("upstream wants a pause", "address", s.address, "identity", s.identity, "pause_ms", pause.Milliseconds())
	}
	s.pool.failWaiters(&WaitError{Left: pause})
}

// RecordPeerLeaving records that another VM got a reply of an upstream that leaves. It does nothing
// for another incarnation than the one published.
func (c *Client) RecordPeerLeaving(i Incarnation) {
	if s := c.find(i); s != nil {
		c.recordLeaving(s, "peer")
	}
}
