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
	// drainVerdict is the verdict at which connections are no longer kept warm.
	drainVerdict = drain.Draining
	// readyVerdict is the verdict at which an attempt may be sent.
	readyVerdict = drain.Ready

	probeTimeout = time.Second
	// designatedProbeInterval is the interval at which one VM probes a draining upstream
	// on behalf of all.
	designatedProbeInterval = time.Second
	// fallbackProbeInterval is the shortest interval at which every VM probes an upstream
	// that it considers draining, in case the designated VM's report was lost.
	fallbackProbeInterval = 5 * time.Second
)

// probeCall is a probe that several attempts may wait for; err is set before done is closed.
type probeCall struct {
	done chan struct{}
	err  error
}

// ensureLease returns nil if the lease holds. If the lease has expired, it probes the
// upstream and returns the result.
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

// startProbe starts a probe, or returns the one under way.
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

// finishProbe ends a probe and records its result. A probe that got no connection, because
// none became free, too many attempts wait for one, or this VM has no share, says nothing
// about the replica. A failed dial counts as a failure.
func (s *server) finishProbe(now time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probe = nil
	switch {
	case err == nil || errors.Is(err, ErrDraining):
		s.zone.replied()
		s.health.Probed(now)
	case errors.Is(err, errNoFreeConn) || errors.Is(err, ErrNoShare) || errors.Is(err, errPoolFull):
	default:
		s.zone.failed()
		s.health.Failed(now)
	}
}

// probePath returns the path on which an upstream serves its workload.
func probePath(u *gen.Upstream) string {
	if len(u.Shards) > 0 {
		return "/search/" + string(u.Workload)
	}
	return "/request/" + string(u.Workload)
}

var (
	// errProbeStatus: the status of the reply is not 2xx, so it is no evidence that the
	// upstream accepts work.
	errProbeStatus = errors.New("reply to a probe proves nothing")
	// errNoFreeConn: no connection became free before the probe timed out.
	errNoFreeConn = errors.New("no connection became free")
)

// sendProbe makes one probe, within probeTimeout, and counts its result.
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

// tryProbe asks the upstream whether it drains, with an OPTIONS request on the path of
// real requests. It returns ErrDraining if so.
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
	resp, err := cn.roundTrip(req)
	if err != nil {
		cn.sock.endAttempt()
		cn.drop()
		return err
	}
	_, err = c.readBody(resp, maxProbeBody)
	received := c.opts.Now()
	_, _, sent := cn.sock.endAttempt()
	if err != nil {
		cn.drop()
		return err
	}
	if c.rules.echo && resp.Header.Get(headerRequestID) != id {
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

// recordDrainState records whether the upstream's own reply says that it drains, and
// reports a change to peers. A reply without the draining mark is as old as its
// request, since it may have been delayed.
func (c *Client) recordDrainState(s *server, sent, received time.Duration, draining bool) {
	if !s.recordReply(sent, received, draining) {
		return
	}
	age := time.Duration(0)
	if !draining {
		age = max(c.opts.Now()-sent, 0)
	}
	c.logDrainChange(s.address, draining, "itself")
	c.opts.OnDrainChange(DrainEvidence{Address: s.address, Draining: draining, Age: age})
}

// RecordPeerEvidence records a peer's evidence unless the manifest lacks the upstream.
func (c *Client) RecordPeerEvidence(e DrainEvidence) {
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

// logDrainChange logs that an upstream started or stopped draining.
func (c *Client) logDrainChange(address string, draining bool, source string) {
	if c.opts.Log != nil {
		c.opts.Log.Info("upstream draining changed", "address", address, "draining", draining, "source", source)
	}
}

// probeDue reports whether this VM should probe the upstream now, without a request
// that needs it. Each VM probes the upstreams that failed for it, and one upstream of a
// suspect zone at a time. An upstream that drains by its own or a peer's report is probed
// often by one designated VM, which reports to the others. All VMs probe it seldom, in
// case that report is lost. Any other upstream is probed only by a request that finds no
// lease.
func (c *Client) probeDue(s *server, now time.Duration, members []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.probe != nil || s.pool.share.Load() == 0 {
		return false
	}
	elapsed := now - s.probedAt
	switch {
	case s.health.ProbeDue(now), s.zone.probeDue(now):
		return true
	case !c.rules.drain:
		return false
	case !s.lease.SelfReported() && !s.lease.PeerReported():
		return false
	case elapsed >= fallbackProbeInterval+rand.N(fallbackProbeInterval):
		return true
	}
	return elapsed >= designatedProbeInterval && connbudget.Highest(s.address, members) == c.opts.VM
}

// probeInBackground starts a probe unless maxProbes are under way.
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
