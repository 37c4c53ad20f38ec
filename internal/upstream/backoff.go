package upstream

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/policy/backoff"
)

// RestError is the error of a pick where each remaining upstream has asked this VM for a pause.
type RestError struct {
	// Left is how long the first of these pauses still lasts.
	Left time.Duration
}

func (e *RestError) Error() string {
	return fmt.Sprintf("upstream: every replica wants a pause, for %v more", e.Left.Round(time.Millisecond))
}

// RestLeft returns how long it takes until an upstream may be asked again, if err says that all of
// them want a pause; 0 otherwise.
func RestLeft(err error) time.Duration {
	var rest *RestError
	if errors.As(err, &rest) {
		return rest.Left
	}
	return 0
}

// refusal returns why the upstream gets no pass-through request at now; nil if it may get one. The
// lock is held.
func (s *server) refusal(now time.Duration) error {
	switch verdict, left := s.backoff.Verdict(now); verdict {
	case backoff.Leaving:
		return ErrDraining
	case backoff.Resting:
		return &RestError{Left: left}
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
// Another upstream at the address speaks for itself only. Attempts that wait for a connection end
// at once if they may not be sent any more.
func (c *Client) recordReplyHead(s *server, resp *http.Response) {
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	if c.opts.Headers.Leaving != "" && resp.Header.Get(c.opts.Headers.Leaving) == "1" {
		c.recordLeaving(s, "itself")
	}
	c.recordNamedLimit(s, resp.Header)
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
		c.opts.OnLeaving(Incarnation{Address: s.address, Identity: s.identity, StartedMs: s.started})
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
	s.pool.failWaiters(&RestError{Left: pause})
}

// RecordPeerLeaving records that another VM got a reply of an upstream that leaves. It does nothing
// for another incarnation than the one published.
func (c *Client) RecordPeerLeaving(i Incarnation) {
	s := c.current.Load().servers[i.Address]
	if s != nil && s.identity == i.Identity && s.started == i.StartedMs {
		c.recordLeaving(s, "peer")
	}
}
