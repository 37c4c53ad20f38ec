package upstream

import (
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	dialBackoff = time.Second
	maxWaiters  = 1024
)

// Errors of pool.get. No byte has been sent when one is returned.
var (
	errPoolFull = errors.New("upstream: too many attempts wait for a connection")
	errConnect  = errors.New("upstream: no connection")
)

var errSwitched = errors.New("upstream: reply switches to another protocol")

// conn is one HTTP/1.1 connection. Unlike the pool of http.Transport, a ClientConn
// never replays a request on another connection.
type conn struct {
	*http.ClientConn
	sock      *sock
	idleSince time.Duration
	carried   bool // a request was sent on it
	// refused holds hashes of the ids of the requests that were refused on this connection.
	refused []uint64
}

// maxRefusedIDs bounds the ids that a connection keeps; one that has as many is not used again. At 64, an
// upstream that refuses all requests gets one new connection for 64 refusals.
const maxRefusedIDs = 64

var idSeed = maphash.MakeSeed()

// recordRefusal records that a request was refused on this connection, and reports whether the connection
// can carry another one. A refusal may come a second time, and would then be taken for the reply to a request
// with the same id.
func (c *conn) recordRefusal(id string) bool {
	c.refused = append(c.refused, maphash.String(idSeed, id))
	return len(c.refused) < maxRefusedIDs
}

// hasRefused reports whether a request with the id was refused on this connection.
func (c *conn) hasRefused(id string) bool {
	return len(c.refused) > 0 && slices.Contains(c.refused, maphash.String(idSeed, id))
}

// roundTrip is RoundTrip, but fails if the upstream switches to another protocol: the body of such a reply ends
// with its connection, not with the context.
func (c *conn) roundTrip(req *http.Request) (*http.Response, error) {
	resp, err := c.RoundTrip(req)
	if err != nil || resp.StatusCode != http.StatusSwitchingProtocols {
		return resp, err
	}
	_ = resp.Body.Close() // the connection is not used again
	return nil, errSwitched
}

// drop closes the connection. The error of Close is ignored because the connection
// is not used again.
func (c *conn) drop() { _ = c.Close() }

// waiter is a queued request for a connection; conn or err is set before ready is closed.
type waiter struct {
	ready chan struct{}
	conn  *conn
	err   error
}

// pool holds the connections to one upstream, at most this VM's share of the
// upstream's connection limit. Its lock is never held while a connection is used or
// closed.
type pool struct {
	address   string
	transport *http.Transport
	now       func() time.Duration
	path      *pathState
	onDial    func(error)

	share          atomic.Int64 // equal to maxOpen, read without the lock
	saturatedUntil atomic.Int64 // a time.Duration on the clock of now

	mu                  sync.Mutex // guards the fields below
	maxOpen             int
	open                int // connections open or being dialed
	closing             int // open connections that the pool is about to close
	dialing             int
	idle                []*conn
	socks               map[*sock]bool // of the open connections
	waiters             []*waiter
	peakDemand          int // most connections in demand within peakWindow
	peakAt              time.Duration
	used                bool // a request has needed a connection
	usedAt              time.Duration
	dialed              bool // a connection was opened before
	dialFailedAt        time.Duration
	dialFailed          bool
	consecutiveRefusals int
}

// get returns an idle connection, or waits for one to be dialed or put back.
func (p *pool) get(ctx context.Context) (*conn, error) {
	w := &waiter{ready: make(chan struct{})}
	c, err := p.takeOrWait(w)
	if c != nil || err != nil {
		return c, err
	}
	select {
	case <-w.ready:
		return w.conn, w.err
	case <-ctx.Done():
		p.cancelWait(w)
		return nil, fmt.Errorf("wait for a connection: %w", ctx.Err())
	}
}

// getFor is get for an attempt. It closes idle connections on which a request of the same id was refused.
func (p *pool) getFor(ctx context.Context, a *Attempt) (*conn, error) {
	for {
		c, err := p.get(ctx)
		if err != nil || a.Kind != PassThrough || !c.hasRefused(a.PassThrough.ID) {
			return c, err
		}
		c.drop()
	}
}

// takeOrWait returns an idle connection, or queues w and returns nil.
func (p *pool) takeOrWait(w *waiter) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.maxOpen <= 0 {
		return nil, ErrNoShare
	}
	p.used, p.usedAt = true, p.now()
	for len(p.idle) > 0 {
		// The one used last: the upstream may have closed one that was idle for long.
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if !c.sock.isClosed() {
			p.recordDemand(p.open - p.dialing - len(p.idle))
			return c, nil
		}
	}
	if len(p.waiters) >= maxWaiters {
		return nil, errPoolFull
	}
	p.waiters = append(p.waiters, w)
	p.recordDemand(p.open - p.dialing + len(p.waiters))
	if p.open < p.maxOpen && p.dialing < len(p.waiters) {
		p.startDial()
	}
	return nil, nil
}

// cancelWait removes w from the queue. If w was already given a connection, it puts the
// connection back.
func (p *pool) cancelWait(w *waiter) {
	p.mu.Lock()
	for i, x := range p.waiters {
		if x == w {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			p.mu.Unlock()
			return
		}
	}
	p.mu.Unlock()
	<-w.ready
	if w.conn != nil {
		p.put(w.conn)
	}
}

// put returns a connection to the pool. It closes one that exceeds the share or cannot
// carry another request.
func (p *pool) put(c *conn) {
	if c.Available() == 0 {
		c.drop()
		return
	}
	if !p.reuse(c) {
		c.drop()
	}
}

// reuse gives a connection to a waiter or makes it idle. It reports false if the
// connection is closed or exceeds the share.
func (p *pool) reuse(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.sock.isClosed() {
		return false
	}
	if p.open-p.closing > p.maxOpen {
		p.markClosing(c)
		return false
	}
	if len(p.waiters) > 0 {
		p.deliver(c, nil)
		return true
	}
	c.idleSince = p.now()
	p.idle = append(p.idle, c)
	return true
}

// markClosing marks a connection that the pool is about to close. The lock is held.
func (p *pool) markClosing(c *conn) {
	c.sock.closing = true
	p.closing++
}

// deliver passes a connection or an error to the first waiter. The lock is held.
func (p *pool) deliver(c *conn, err error) {
	w := p.waiters[0]
	p.waiters = p.waiters[1:]
	w.conn, w.err = c, err
	close(w.ready)
}

// startDial dials in the background. The lock is held.
func (p *pool) startDial() {
	p.dialed = true
	p.open++
	p.dialing++
	go p.dial()
}

// dial opens one connection and puts it into the pool. An error fails the first waiter.
func (p *pool) dial() {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	var s *sock
	ctx = context.WithValue(ctx, sockKey{}, &s)
	p.path.asked()
	cc, err := p.transport.NewClientConn(ctx, "http", p.address)
	p.path.dialed(p.address, err)
	p.onDial(err)
	p.mu.Lock()
	p.dialing--
	p.dialFailed = err != nil
	if err != nil {
		p.dialFailedAt = p.now()
		p.open--
		if len(p.waiters) > 0 {
			p.deliver(nil, fmt.Errorf("%w to %s: %w", errConnect, p.address, err))
		}
		p.mu.Unlock()
		return
	}
	if p.socks == nil {
		p.socks = map[*sock]bool{}
	}
	p.socks[s] = true
	p.mu.Unlock()
	if !p.watchClose(s) {
		p.connClosed(s)
	}
	p.put(&conn{ClientConn: cc, sock: s})
}

// watchClose registers connClosed to run when s is closed. It reports false if s is
// closed already.
func (p *pool) watchClose(s *sock) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onClose = func() { p.connClosed(s) }
	return !s.closed
}

// connClosed removes a closed connection from the pool, records whether the upstream
// refused it, and dials another one if more requests wait than dials are under way.
func (p *pool) connClosed(s *sock) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordRefusal(s)
	delete(p.socks, s)
	p.open--
	if s.closing {
		s.closing = false
		p.closing--
	}
	live := p.idle[:0]
	for _, c := range p.idle {
		if !c.sock.isClosed() {
			live = append(live, c)
		}
	}
	clear(p.idle[len(live):])
	p.idle = live
	if len(p.waiters) > p.dialing && p.open < p.maxOpen {
		p.startDial()
	}
}

// setMaxOpen changes the share. Excess idle connections are closed at once, others
// when they are put back. A share of 0 fails all waiters.
func (p *pool) setMaxOpen(maxOpen int) {
	p.mu.Lock()
	p.maxOpen = maxOpen
	p.share.Store(int64(maxOpen))
	var excess []*conn
	for p.open-p.closing > maxOpen && len(p.idle) > 0 {
		p.markClosing(p.idle[0])
		excess = append(excess, p.idle[0])
		p.idle = p.idle[1:]
	}
	p.mu.Unlock()
	for _, c := range excess {
		c.drop()
	}
	if maxOpen <= 0 {
		p.failWaiters(ErrNoShare)
	}
}

// failWaiters ends all waits for a connection.
func (p *pool) failWaiters(err error) {
	p.mu.Lock()
	failed := p.waiters
	p.waiters = nil
	p.mu.Unlock()
	for _, w := range failed {
		w.err = err
		close(w.ready)
	}
}

// resetAll resets all connections, in use or not.
func (p *pool) resetAll() {
	p.mu.Lock()
	socks := slices.Collect(maps.Keys(p.socks))
	p.mu.Unlock()
	for _, s := range socks {
		s.reset()
	}
}

// clearFailures forgets that dials failed and that the upstream refused connections.
func (p *pool) clearFailures() {
	p.clearSaturation()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialFailed = false
}

// size returns the number of connections open or being dialed.
func (p *pool) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}
