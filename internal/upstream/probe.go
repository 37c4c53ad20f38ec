package upstream

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/sardinespindle/sardinespindle/internal/policy/connbudget"
	"github.com/sardinespindle/sardinespindle/internal/policy/drain"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
)

const (
	// drainVerdict is the verdict that ends upkeep of connections.
	drainVerdict = drain.Draining
	// readyVerdict is the verdict that lets an attempt go.
	readyVerdict = drain.Ready

	probeTimeout = time.Second
	// ownInterval is the interval of the probes of the VM that probes for all.
	designatedProbeInterval = time.Second
	// markedInterval is the interval at which each VM asks again an upstream that
	// it holds for draining, should a peer's report have been lost.
	fallbackProbeInterval = 5 * time.Second
)

// probeCall is a probe under way; err is set before done is closed.
type probeCall struct {
	done chan struct{}
	err  error
}

// ensureLease waits for a probe where the lease has expired.
func (c *Client) ensureLease(ctx context.Context, s *server) error {
	if !c.rules.drain {
		return nil
	}
	switch s.verdict(c.opts.Now()) {
	case drain.Ready:
		return nil
	case drain.Draining:
		return ErrDraining
	case drain.Expired:
	}
	call := c.startProbe(s)
	select {
	case <-call.done:
	case <-ctx.Done():
		return fmt.Errorf("probe %s: %w", s.address, ctx.Err())
	}
	if call.err != nil {
		return fmt.Errorf("probe %s: %w", s.address, call.err)
	}
	return nil
}

// startProbe starts a probe, or joins the one under way.
func (c *Client) startProbe(s *server) *probeCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.probe != nil {
		return s.probe
	}
	call := &probeCall{done: make(chan struct{})}
	s.probe = call
	s.probedAt = c.opts.Now()
	path := probePath(s.entry)
	go func() {
		call.err = c.sendProbe(s, path)
		s.finishProbe(c.opts.Now(), call.err)
		close(call.done)
	}()
	return call
}

// probed ends a probe and records what it says of the replica.
func (s *server) finishProbe(now time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probe = nil
	switch {
	case err == nil || errors.Is(err, ErrDraining):
		s.zone.answered()
		s.health.Probed(now)
	case errors.Is(err, errNoFreeConn) || errors.Is(err, ErrNoShare):
	default:
		s.zone.failed()
		s.health.Failed(now)
	}
}

// probePath returns the request path of an upstream's workload.
func probePath(u *gen.Upstream) string {
	if len(u.Shards) > 0 {
		return "/search/" + string(u.Workload)
	}
	return "/request/" + string(u.Workload)
}

var (
	// errProbe refuses a reply to a probe that proves nothing.
	errProbeStatus = errors.New("reply to a probe proves nothing")
	// errBusy ends a probe for which no connection became free.
	errNoFreeConn = errors.New("no connection became free")
)

// sendProbe asks the upstream on the path of real requests whether it drains.
func (c *Client) sendProbe(s *server, path string) error {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	err := c.tryProbe(ctx, s, path)
	result := "ok"
	switch {
	case errors.Is(err, ErrDraining):
		result = "draining"
	case err != nil:
		result = "failed"
	}
	c.metrics.probes.WithLabelValues(result).Inc()
	return err
}

// tryProbe makes one probe.
func (c *Client) tryProbe(ctx context.Context, s *server, path string) error {
	id := uuid.NewString()
	cn, err := s.pool.get(ctx)
	if err != nil && ctx.Err() != nil {
		return fmt.Errorf("%w: %w", errNoFreeConn, err)
	}
	if err != nil {
		return err
	}
	req := newRequest(ctx, http.MethodOptions, s.address, path, nil)
	req.Header[headerRequestID] = []string{id}
	cn.sock.startAttempt(func() error { return nil })
	resp, err := cn.RoundTrip(req)
	if err != nil {
		cn.sock.endAttempt()
		cn.drop()
		return err
	}
	_, err = readBody(resp, maxProbeBody)
	received := c.opts.Now()
	_, _, sent := cn.sock.endAttempt()
	if err != nil {
		cn.drop()
		return err
	}
	if echo := resp.Header.Get(headerRequestID); c.rules.echo && echo != "" && echo != id {
		cn.drop()
		return errOtherAttempt
	}
	s.pool.put(cn)
	draining := isDraining(resp)
	if !draining && resp.StatusCode/100 != 2 {
		return fmt.Errorf("%w: status %d", errProbeStatus, resp.StatusCode)
	}
	c.recordDrainState(s, sent, received, draining)
	if draining {
		return ErrDraining
	}
	return nil
}

// witness records an upstream's own statement and tells peers of a change.
func (c *Client) recordDrainState(s *server, sent, received time.Duration, draining bool) {
	if !s.recordReply(sent, received, draining) {
		return
	}
	age := time.Duration(0)
	if !draining {
		age = max(c.opts.Now()-sent, 0)
	}
	c.logDrainChange(s.address, draining, "itself")
	c.opts.Report(Evidence{Address: s.address, Draining: draining, Age: age})
}

// Learn takes evidence from a peer.
func (c *Client) Learn(e Evidence) {
	s := c.current.Load().servers[e.Address]
	if s == nil {
		return
	}
	s.mu.Lock()
	changed := s.lease.Report(c.opts.Now(), e.Age, e.Draining)
	s.mu.Unlock()
	if changed {
		c.logDrainChange(e.Address, e.Draining, "peer")
	}
}

// logChange logs that an upstream began or ended to drain.
func (c *Client) logDrainChange(address string, draining bool, source string) {
	if c.opts.Log != nil {
		c.opts.Log.Info("upstream draining changed", "address", address, "draining", draining, "source", source)
	}
}

// probeDue reports whether this VM should probe the upstream now, unasked: one
// that failed here, or one that is held for draining, which one VM asks often for
// all and the others seldom, should that VM's report be lost. An upstream without
// traffic is not probed: the first request to it asks.
func (c *Client) probeDue(s *server, now time.Duration, members []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.probe != nil || s.pool.share.Load() == 0 {
		return false
	}
	since := now - s.probedAt
	switch {
	case s.health.ProbeDue(now), s.zone.probeDue(now):
		return true
	case !c.rules.drain:
		return false
	case !s.lease.Marked() && !s.lease.Doubted():
		return false
	case since >= fallbackProbeInterval+rand.N(fallbackProbeInterval):
		return true
	}
	return since >= designatedProbeInterval && connbudget.First(s.address, members) == c.opts.VM
}

// probeInBackground starts a probe unless too many are under way.
func (c *Client) probeInBackground(ctx context.Context, s *server) {
	select {
	case c.probeSlots <- struct{}{}:
	default:
		return
	}
	call := c.startProbe(s)
	go func() {
		defer func() { <-c.probeSlots }()
		select {
		case <-call.done:
		case <-ctx.Done():
		}
	}()
}
