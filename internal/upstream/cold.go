package upstream

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/policy/ratelimit"
	"github.com/sardinespindle/sardinespindle/internal/policy/warmup"
	"github.com/sardinespindle/sardinespindle/internal/readlimit"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
)

// ColdOptions bound the requests to upstreams that are cold.
type ColdOptions struct {
	// A cold upstream that tolerates n requests a second gets at most n x Overage + Slack in any second.
	Overage, Slack float64
	// Senders returns the VMs that may send to a cold upstream, this one included if it may; nil if they
	// are not known, and then this VM sends none. The default is Options.Senders.
	Senders func(u *gen.Upstream) []string
	// OnCold is called when a reply says that an upstream is cold, unless this VM knows so from its entry,
	// another reply or another VM, for the VM to tell the others.
	OnCold func(i Incarnation, left time.Duration)
}

// coldState is what a server holds about its warm-up. The server's lock guards it.
type coldState struct {
	published warmup.Upstream
	evidence  warmup.State
	cold      bool // as applied to the server's rate
	logDue    bool // cold changed since the last log line
}

// SetWarmups sets what is published about cold upstreams by address, for the next Apply and those after it.
func (c *Client) SetWarmups(w map[string]warmup.Upstream) {
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	c.warmups = w
}

// updateWarmup takes what is published about an upstream. before is its state until now: that of the
// incarnation before if this one is new to this VM, nil for none. It reports whether the upstream has a
// bound. applyMu is held.
func (c *Client) updateWarmup(s, before *server) bool {
	w := c.warmups[s.address]
	bounded := w.PerSecond > 0
	if !bounded && !s.bounded.Load() {
		return false
	}
	sent := before.sent()
	s.mu.Lock()
	s.rate.Count(bounded)
	if s != before {
		s.rate.CountSent(sent)
	}
	if bounded && w.Published != s.cold.published.Published {
		s.cold.evidence.Published(w.Published, s != before, w.For)
	}
	s.cold.published = w
	s.applyCold(c.opts.Now())
	s.mu.Unlock()
	s.bounded.Store(bounded)
	c.refreshCold(s)
	return bounded
}

// sent returns the requests counted for an upstream; none if it is nil.
func (s *server) sent() ratelimit.Sent {
	if s == nil {
		return ratelimit.Sent{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rate.Sent()
}

// applyCold applies the evidence as of now to the rate. While this VM's share of a cold upstream is not
// computed, see refreshCold, it sends nothing. The lock is held.
func (s *server) applyCold(now time.Duration) {
	cold := s.cold.published.PerSecond > 0 && s.cold.evidence.Cold(now)
	if cold != s.cold.cold {
		s.cold.cold, s.cold.logDue = cold, true
		s.rate.SetCold(cold, 0)
	}
}

// refreshCold computes this VM's share of an upstream that is cold, and logs a change.
func (c *Client) refreshCold(s *server) {
	now := c.opts.Now()
	s.mu.Lock()
	s.applyCold(now)
	entry, perSecond, cold, changed := s.entry, s.cold.published.PerSecond, s.cold.cold, s.cold.logDue
	s.cold.logDue = false
	until, source := s.cold.evidence.Until(now)
	s.mu.Unlock()
	share := 0
	if cold {
		share = ratelimit.ColdShare(c.coldBound(perSecond), s.address, c.opts.VM, c.opts.Cold.Senders(entry))
		s.mu.Lock()
		s.rate.SetCold(s.cold.cold, share)
		s.mu.Unlock()
	}
	if !changed || c.opts.Log == nil {
		return
	}
	message := "upstream is warm"
	if cold {
		message = "upstream is cold"
	}
	c.opts.Log.Info(message, "address", s.address, "identity", s.identity, "source", string(source),
		"per_second", perSecond, "share", share, "until_ms", max(until-now, 0).Milliseconds())
}

func (c *Client) coldBound(perSecond float64) ratelimit.Bound {
	return ratelimit.Bound{PerSecond: perSecond, Overage: c.opts.Cold.Overage, Slack: c.opts.Cold.Slack}
}

// refreshAllCold refreshes the upstreams that may be cold and counts those that are.
func (c *Client) refreshAllCold() {
	t := c.current.Load()
	n := 0
	for _, s := range t.bounded {
		c.refreshCold(s)
		s.mu.Lock()
		if s.cold.cold {
			n++
		}
		s.mu.Unlock()
	}
	c.metrics.cold.Set(float64(n))
}

// recordWarmup records what the reply to a request that was sent at sentAt says about the upstream's
// warm-up. A reply that the upstream did not make is ignored.
func (c *Client) recordWarmup(s *server, h http.Header, sentAt time.Duration) {
	if !s.bounded.Load() || h.Get(c.opts.Headers.Signature) == "" && h.Get(c.opts.Headers.NotRun) == "" {
		return
	}
	left, stated := parseWarmup(h.Get(c.opts.Headers.Warmup))
	now := c.opts.Now()
	s.mu.Lock()
	_, source := s.cold.evidence.Until(now)
	told := s.cold.evidence.Cold(now) && source != warmup.Failure && source != warmup.New
	s.cold.evidence.Replied(sentAt, now, left, stated, s.cold.published.For)
	s.applyCold(now)
	changed := s.cold.logDue
	s.mu.Unlock()
	if changed {
		c.refreshCold(s)
	}
	if left > 0 && !told {
		c.opts.Cold.OnCold(s.incarnation(), left)
	}
}

// parseWarmup returns the time that a reply states, in milliseconds; false if it states none.
func parseWarmup(value string) (left time.Duration, stated bool) {
	ms, err := strconv.ParseFloat(value, 64)
	if err != nil || !(ms >= 0) {
		return 0, false
	}
	return time.Duration(min(ms*float64(time.Millisecond), float64(warmup.MaxLeft))), true
}

// RecordPeerCold records that another VM got a reply, age ago, which said that an upstream is cold for left.
// It does nothing for another incarnation than the one published.
func (c *Client) RecordPeerCold(i Incarnation, left, age time.Duration) {
	s := c.find(i)
	if s == nil || !s.bounded.Load() {
		return
	}
	now := c.opts.Now()
	s.mu.Lock()
	s.cold.evidence.Announced(now-age, left)
	s.applyCold(now)
	s.mu.Unlock()
	c.refreshCold(s)
}

// errCut marks a reply that ended early.
var errCut = errors.New("upstream: reply was cut")

// failedCold records that a request or a connection failed, unless the upstream has no bound. The lock is
// held.
func (s *server) failedCold(now time.Duration) {
	if s.cold.published.PerSecond > 0 {
		s.cold.evidence.Failed(now, s.cold.published.For)
		s.applyCold(now)
	}
}

// recordCut records that a reply ended early, and computes this VM's share if the upstream counts as cold
// by the result of an attempt.
func (c *Client) recordCut(s *server, r *Result, now time.Duration) {
	if !s.bounded.Load() {
		return
	}
	s.mu.Lock()
	if isCut(r.Err) {
		s.failedCold(now)
	}
	changed := s.cold.logDue
	s.mu.Unlock()
	if changed {
		c.refreshCold(s)
	}
}

// isCut reports whether a reply ended early by the upstream's doing.
func isCut(err error) bool {
	return errors.Is(err, errCut) && !errors.Is(err, readlimit.ErrTooLarge) && !errors.Is(err, readlimit.ErrNoMemory)
}

// recordDial records that a connection was opened, or failed to.
func (c *Client) recordDial(s *server, err error) {
	c.countDial(err)
	if !s.bounded.Load() {
		return
	}
	now := c.opts.Now()
	s.mu.Lock()
	if err != nil {
		s.failedCold(now)
	} else {
		s.cold.evidence.Returned(now, s.cold.published.For)
		s.applyCold(now)
	}
	s.mu.Unlock()
	c.refreshCold(s)
}

// writeCold returns an error if the upstream is cold and gets all that it takes from this VM. Otherwise
// the request counts as sent now.
func (c *Client) writeCold(s *server, a *Attempt) error {
	if !s.bounded.Load() {
		return nil
	}
	now := c.opts.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.rate.Write(a.takenAt, now) {
		return fmt.Errorf("%w: %w", errBeforeWrite, &WaitError{Left: s.rate.Wait(now), AtLimit: true})
	}
	a.takenAt = now
	return nil
}

// returnCold returns a request that was counted and not sent.
func (s *server) returnCold(takenAt time.Duration) {
	if !s.bounded.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rate.Uncount(takenAt)
}

// coldHolders returns the VMs that may send to an upstream that is cold; nil if it is not.
func (c *Client) coldHolders(s *server) []string {
	if !s.bounded.Load() {
		return nil
	}
	s.mu.Lock()
	cold, entry, perSecond := s.cold.cold, s.entry, s.cold.published.PerSecond
	s.mu.Unlock()
	if !cold {
		return nil
	}
	return slices.Clone(ratelimit.ColdHolders(c.coldBound(perSecond), s.address, c.opts.Cold.Senders(entry)))
}
