package upstream

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/policy/reach"
)

const (
	// reachInterval is the time between two looks at whether a check is due.
	reachInterval = 100 * time.Millisecond
	// A check tries to connect to one upstream, and to all of checkSample after checkHeadStart. It
	// fails if none accepts a connection within checkTimeout.
	checkSample    = 4
	checkHeadStart = 100 * time.Millisecond
	checkTimeout   = 300 * time.Millisecond
)

// pathState is what this VM knows of its path to all upstreams.
type pathState struct {
	now      func() time.Duration
	stranded atomic.Bool   // equal to that of state, read without the lock
	doubt    chan struct{} // holds an element if a check may be due at once
	// repliedAt is when an upstream last replied, on the clock of now.
	repliedAt atomic.Int64

	mu    sync.Mutex // guards state
	state reach.State
}

// isStranded reports whether this VM reaches no upstream.
func (p *pathState) isStranded() bool { return p.stranded.Load() }

// asked records that a request is sent or a connection dialed.
func (p *pathState) asked() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.Asked(p.now())
}

// replied records that an upstream replied at now.
func (p *pathState) replied(now time.Duration) {
	p.repliedAt.Store(int64(now))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.Replied()
}

// dialed records the result of a dial.
func (p *pathState) dialed(address string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		p.state.Connected()
		return
	}
	p.state.ConnectFailed(p.now(), address)
	if p.state.Doubtful() {
		select {
		case p.doubt <- struct{}{}:
		default:
		}
	}
}

// WarnUnreached records that another VM has lost its path to the upstreams: this VM checks its own, unless
// an upstream replies soon.
func (c *Client) WarnUnreached(vm string) {
	c.path.mu.Lock()
	defer c.path.mu.Unlock()
	c.path.state.Warned(c.path.now(), vm)
}

func (p *pathState) startCheck() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.StartCheck(p.now())
}

// watchReach checks whether this VM reaches upstreams, whenever that is in doubt, until ctx ends.
func (c *Client) watchReach(ctx context.Context) {
	tick := time.NewTicker(reachInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-c.path.doubt:
		}
		if c.path.startCheck() {
			go c.checkReach(ctx)
		}
	}
}

// checkReach connects to some upstreams and records whether any accepts the connection.
func (c *Client) checkReach(ctx context.Context) {
	sample := c.reachSample()
	if len(sample) == 0 {
		c.path.mu.Lock()
		defer c.path.mu.Unlock()
		c.path.state.NotChecked()
		return
	}
	connected := c.connectsToAny(ctx, sample)
	if ctx.Err() != nil {
		connected = true // this VM stops
	}
	c.metrics.reachChecks.WithLabelValues(checkResult(connected)).Inc()
	c.path.mu.Lock()
	silent, warnedBy := c.path.state.Silent(c.path.now()), c.path.state.WarnedBy()
	changed := c.path.state.Checked(c.path.now(), connected)
	if changed {
		c.path.stranded.Store(!connected)
	}
	c.path.mu.Unlock()
	if !changed {
		return
	}
	if c.opts.Log != nil {
		c.opts.Log.Warn("path to upstreams changed", "reached", connected, "silent", silent, "warned_by", warnedBy, "tried", sample)
	}
	if connected {
		c.metrics.reached.Set(1)
		c.forgetFailures()
	} else {
		c.metrics.reached.Set(0)
		c.endWaits(silent)
	}
	c.opts.OnReach(connected)
}

// endWaits ends the attempts that wait for a connection. With abort, nothing arrives on the open
// connections either: they are reset, which ends the attempts on them, so that no byte that the
// network holds up arrives later.
func (c *Client) endWaits(abort bool) {
	for _, s := range c.current.Load().servers {
		s.pool.failWaiters(ErrUnreachable)
		if abort {
			s.pool.resetAll()
		}
	}
}

// forgetFailures forgets how upstreams seemed to fail while this VM reached none.
func (c *Client) forgetFailures() {
	t := c.current.Load()
	now := c.opts.Now()
	for _, z := range t.zones {
		z.reset()
	}
	for _, s := range t.servers {
		s.forgetFailures(now)
		s.pool.clearFailures()
	}
}

// reachesOther reports whether another upstream than s accepts a connection now, or there is none.
// Otherwise a refused connection is no evidence about s.
func (c *Client) reachesOther(ctx context.Context, s *server) bool {
	sample := c.reachSample(s.address)
	return len(sample) == 0 || c.connectsToAny(context.WithoutCancel(ctx), sample)
}

// Hears reports whether this process has run since then, and an upstream has replied since or, of upstreams beside
// those in except, one accepts a connection now.
func (c *Client) Hears(ctx context.Context, since time.Duration, except []string) bool {
	if c.stalledSince(since) {
		return false
	}
	if time.Duration(c.path.repliedAt.Load()) > since {
		return true
	}
	sample := c.reachSample(except...)
	return len(sample) > 0 && c.connectsToAny(context.WithoutCancel(ctx), sample)
}

// maxTickDelay is how late a tick of maintenance may be in a process that runs.
const maxTickDelay = 500 * time.Millisecond

// recordTick records that maintenance runs now.
func (c *Client) recordTick(now time.Duration) {
	if before := time.Duration(c.tickedAt.Swap(int64(now))); before > 0 && now-before > maintenanceInterval+maxTickDelay {
		c.resumedAt.Store(int64(now))
	}
}

// stalledSince reports whether the process has not run for a while since then.
func (c *Client) stalledSince(since time.Duration) bool {
	ticked := time.Duration(c.tickedAt.Load())
	return time.Duration(c.resumedAt.Load()) > since || ticked > 0 && c.opts.Now()-ticked > maintenanceInterval+maxTickDelay
}

func checkResult(connected bool) string {
	if connected {
		return "connected"
	}
	return "failed"
}

// reachSample returns the addresses of upstreams to check, without those in except, first those that replied last.
func (c *Client) reachSample(except ...string) []string {
	var all []reach.Candidate
	for address, s := range c.current.Load().servers {
		if slices.Contains(except, address) {
			continue
		}
		s.mu.Lock()
		all = append(all, reach.Candidate{Address: address, Zone: string(s.entry.Zone), RepliedAt: s.repliedAt})
		s.mu.Unlock()
	}
	return reach.Sample(checkSample, c.opts.VM, all)
}

// connectsToAny reports whether any of the addresses accepts a connection within checkTimeout.
func (c *Client) connectsToAny(ctx context.Context, addresses []string) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	results := make(chan bool, len(addresses))
	dial := func(address string) {
		nc, err := c.dialer.dial(ctx, address)
		if err == nil {
			_ = nc.Close() // it carried nothing
		}
		results <- err == nil
	}
	go dial(addresses[0])
	headStart := time.NewTimer(checkHeadStart)
	defer headStart.Stop()
	for started, ended := 1, 0; ended < len(addresses); {
		var connected bool
		select {
		case <-headStart.C:
		case connected = <-results:
			ended++
		}
		if connected {
			return true
		}
		for ; started < len(addresses); started++ {
			go dial(addresses[started])
		}
	}
	return false
}
