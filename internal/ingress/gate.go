// Package ingress bounds what the clients of a listener make the process hold: connections, the parts of
// requests that have arrived, requests that wait, and answers that are not read. It counts the bytes and
// lines that reach an http.Server before it parses them. When the capacity is spent, it closes idle and
// incomplete connections, and refuses requests that have not run. Its types are safe for concurrent use.
package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/sardinespindle/sardinespindle/internal/policy/clientlimit"
)

// ErrNoRoom is the error of reads from a connection whose request is refused to bound what clients hold.
var ErrNoRoom = errors.New("clients hold too much")

var started = time.Now()

// now returns the time since the process started. Unlike clock.Boot it takes no system call, and is read
// several times a request.
func now() time.Duration { return time.Since(started) }

// Options configure a Gate.
type Options struct {
	// Listener names the listener in logs and metrics.
	Listener string
	Capacity clientlimit.Capacity
	// HeadLimit returns the greatest size of a request's head in bytes; 0 for no limit.
	HeadLimit func() int
	Metrics   *Metrics
	Log       *log.Logger
}

// Gate bounds the connections of one listener.
type Gate struct {
	o Options
	// requests are connections and what arrives on them. answers are those that are expected, those that
	// are not sent yet, and the replies that are read for them. They share no room.
	requests, answers part
	open              atomic.Int64 // connections
	waiting           atomic.Int64 // for room for answers
	log               refusalLog

	mu       sync.Mutex // guards the fields below
	conns    map[*Conn]struct{}
	released chan struct{} // closed when a waiting request may try again
}

// New returns a Gate.
func New(o Options) *Gate {
	if o.HeadLimit == nil {
		o.HeadLimit = func() int { return 0 }
	}
	g := &Gate{o: o, conns: map[*Conn]struct{}{}, released: make(chan struct{})}
	g.requests.capacity, g.answers.capacity = o.Capacity.Memory, o.Capacity.Answers
	g.log.init(o)
	o.Metrics.watch(g)
	return g
}

// Protect makes a server count what its connections hold. It is called once, before the server serves
// on Listen(l).
func (g *Gate) Protect(s *http.Server) {
	s.Handler = g.handler(s.Handler)
	state, connContext := s.ConnState, s.ConnContext
	s.ConnState = func(nc net.Conn, to http.ConnState) {
		if c, ok := nc.(*Conn); ok {
			c.onState(to)
		}
		if state != nil {
			state(nc, to)
		}
	}
	s.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, nc)
		}
		if c, ok := nc.(*Conn); ok {
			ctx = context.WithValue(ctx, connKey{}, c)
		}
		return ctx
	}
}

// Listen returns a listener whose connections are bounded.
func (g *Gate) Listen(l net.Listener) net.Listener {
	gated := &listener{Listener: l, gate: g, closed: make(chan struct{})}
	go g.sweep(gated.closed)
	return gated
}

type listener struct {
	net.Listener
	gate   *Gate
	once   sync.Once
	closed chan struct{}
}

// Accept returns the next connection that there is room for.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.gate.admit(nc); c != nil {
			return c, nil
		}
		_ = nc.Close()
	}
}

// Close closes the listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// closingShare is the inverse of the share of a listener's connections that may be open beyond its number
// while earlier ones are being closed.
const closingShare = 8

// admit returns a connection that is counted, or nil if there is no room for it.
func (g *Gate) admit(nc net.Conn) *Conn {
	limit := int64(g.o.Capacity.Connections)
	if g.open.Load() >= limit {
		g.closeOne(nil, reasonConnections, needConn, clientlimit.MayClose)
	}
	for g.requests.isShort(clientlimit.ConnCost, 0) && g.closeOne(nil, reasonMemory, needConn, clientlimit.MayClose) {
		continue
	}
	if g.open.Load() >= limit+limit/closingShare || g.requests.isShort(clientlimit.ConnCost, 0) {
		g.log.refused(refusal{reasonNotAccepted, needConn, clientlimit.Fresh, nc}, g)
		return nil
	}
	c := &Conn{Conn: nc, gate: g}
	c.since.Store(int64(now()))
	g.requests.used.Add(clientlimit.ConnCost)
	g.open.Add(1)
	g.mu.Lock()
	g.conns[c] = struct{}{}
	g.mu.Unlock()
	return c
}

// remove no longer counts a connection. It may still be served for a moment.
func (g *Gate) remove(c *Conn) {
	c.removed.Store(true)
	g.mu.Lock()
	delete(g.conns, c)
	g.mu.Unlock()
	g.open.Add(-1)
	g.requests.closing.Add(-c.closing.Swap(0))
	c.endAnswer()
	g.release(c.held.Swap(0) + clientlimit.ConnCost)
}

// release gives bytes back, and wakes the requests that wait for room.
func (g *Gate) release(n int64) {
	if n == 0 {
		return
	}
	before := g.requests.used.Add(-n) + n
	if before+wakeMargin < g.requests.capacity {
		return // far from spent: nothing waits
	}
	g.wake()
}

// wake wakes the requests that wait for room.
func (g *Gate) wake() {
	g.mu.Lock()
	close(g.released)
	g.released = make(chan struct{})
	g.mu.Unlock()
}

// nextRelease returns a channel that is closed when room is given back.
func (g *Gate) nextRelease() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.released
}

// wait waits until a channel is closed, for takeInterval or until end at most. It reports false if done is
// closed.
func wait(released, done <-chan struct{}, end time.Duration) bool {
	t := time.NewTimer(min(takeInterval, end-now()))
	defer t.Stop()
	select {
	case <-released:
	case <-t.C:
	case <-done:
		return false
	}
	return true
}

// wakeMargin is more than what a request asks for at once.
const wakeMargin = 64 << 10

// Times of a request that waits for room: all, and between two tries if nothing is released.
const (
	takeTimeout  = 500 * time.Millisecond
	takeInterval = 20 * time.Millisecond
)

// take counts n more bytes of what arrives on a connection. If there is no room, it closes others and waits for a
// moment. It reports false if there is none within the timeout.
func (g *Gate) take(c *Conn, n int64, what need, timeout time.Duration) bool {
	if n == 0 || g.tryTake(c, n) {
		return true
	}
	if n > g.requests.capacity {
		return false
	}
	for end := now() + timeout; now() < end && !c.isClosing(); {
		released := g.nextRelease()
		if g.tryTake(c, n) {
			return true
		}
		if g.requests.isShort(n, 0) && g.closeOne(c, reasonMemory, what, clientlimit.MayClose) {
			continue
		}
		wait(released, nil, end)
	}
	return g.tryTake(c, n)
}

func (g *Gate) tryTake(c *Conn, n int64) bool {
	if !g.requests.try(n, 0) {
		return false
	}
	c.addHeld(n)
	return true
}

// closeOne closes the connection that is the first to make room, except one, of those that may be closed. It
// reports false if there is none.
func (g *Gate) closeOne(except *Conn, reason string, what need, may func(clientlimit.Conn, time.Duration) bool) bool {
	for {
		at := now()
		var victim *Conn
		var state clientlimit.Conn
		g.mu.Lock()
		for c := range g.conns {
			if s := c.state(); c != except && may(s, at) && (victim == nil || clientlimit.CloseBefore(s, state, at)) {
				victim, state = c, s
			}
		}
		g.mu.Unlock()
		if victim == nil {
			return false
		}
		if victim.closeFrom(state) {
			g.log.refused(refusal{reason, what, state.Phase, victim}, g)
			return true
		}
	}
}

// sweepInterval is the time between two looks for answers that make no progress.
const sweepInterval = time.Second

// sweep closes connections on which an answer makes no progress, until the listener is closed.
func (g *Gate) sweep(closed <-chan struct{}) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-closed:
			return
		case <-t.C:
		}
		at := now()
		stalled := map[*Conn]clientlimit.Conn{}
		g.mu.Lock()
		for c := range g.conns {
			if s := c.state(); clientlimit.Stalled(s, at) {
				stalled[c] = s
			}
		}
		g.mu.Unlock()
		for c, s := range stalled {
			if c.closeFrom(s) {
				g.log.refused(refusal{reasonStalled, needNone, clientlimit.Running, c}, g)
			}
		}
	}
}
