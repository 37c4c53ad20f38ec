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
	o    Options
	used atomic.Int64 // bytes held, as counted by clientlimit
	// closing is the part of used that connections hold which are being closed.
	closing atomic.Int64
	open    atomic.Int64 // connections
	log     refusalLog

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
		g.closeOne(nil, reasonConnections, needConn)
	}
	for g.isShort(clientlimit.ConnCost) && g.closeOne(nil, reasonMemory, needConn) {
		continue
	}
	if g.open.Load() >= limit+limit/closingShare || g.isShort(clientlimit.ConnCost) {
		g.log.refused(refusal{reasonNotAccepted, needConn, clientlimit.Fresh, nc}, g)
		return nil
	}
	c := &Conn{Conn: nc, gate: g}
	c.since.Store(int64(now()))
	g.used.Add(clientlimit.ConnCost)
	g.open.Add(1)
	g.mu.Lock()
	g.conns[c] = struct{}{}
	g.mu.Unlock()
	return c
}

// isShort reports whether n more bytes have no room even once the connections that are being closed are
// gone.
func (g *Gate) isShort(n int64) bool {
	return g.used.Load()-g.closing.Load()+n > g.o.Capacity.Memory
}

// remove no longer counts a connection. It may still be served for a moment.
func (g *Gate) remove(c *Conn) {
	c.removed.Store(true)
	g.mu.Lock()
	delete(g.conns, c)
	g.mu.Unlock()
	g.open.Add(-1)
	g.closing.Add(-c.closing.Swap(0))
	g.release(c.held.Swap(0) + clientlimit.ConnCost)
}

// release gives bytes back, and wakes the requests that wait for room.
func (g *Gate) release(n int64) {
	if n == 0 {
		return
	}
	before := g.used.Add(-n) + n
	if before+wakeMargin < g.o.Capacity.Memory {
		return // far from spent: nothing waits
	}
	g.mu.Lock()
	close(g.released)
	g.released = make(chan struct{})
	g.mu.Unlock()
}

// wakeMargin is more than what a request asks for at once, apart from an answer.
const wakeMargin = 64 << 10

// Times of a request that waits for room: all, and between two tries if nothing is released.
const (
	takeTimeout  = 500 * time.Millisecond
	takeInterval = 20 * time.Millisecond
)

// take counts n more bytes for a connection, for what they are needed. If there is no room, it closes others and waits for a
// moment. It reports false if there is none within the timeout.
func (g *Gate) take(c *Conn, n int64, what need, timeout time.Duration) bool {
	if n == 0 || g.tryTake(c, n) {
		return true
	}
	if n > g.o.Capacity.Memory {
		return false
	}
	for end := now() + timeout; now() < end && !c.isClosing(); {
		g.mu.Lock()
		released := g.released
		g.mu.Unlock()
		if g.tryTake(c, n) {
			return true
		}
		if g.isShort(n) && g.closeOne(c, reasonMemory, what) {
			continue
		}
		t := time.NewTimer(takeInterval)
		select {
		case <-released:
		case <-t.C:
		}
		t.Stop()
	}
	return g.tryTake(c, n)
}

func (g *Gate) tryTake(c *Conn, n int64) bool {
	if g.used.Add(n) > g.o.Capacity.Memory {
		g.used.Add(-n)
		return false
	}
	c.addHeld(n)
	return true
}

// closeOne closes the connection that is the first to make room, except one. It reports false if there is
// none.
func (g *Gate) closeOne(except *Conn, reason string, what need) bool {
	for {
		at := now()
		var victim *Conn
		var state clientlimit.Conn
		g.mu.Lock()
		for c := range g.conns {
			if s := c.state(); c != except && clientlimit.MayClose(s, at) && (victim == nil || clientlimit.CloseBefore(s, state, at)) {
				victim, state = c, s
			}
		}
		g.mu.Unlock()
		if victim == nil {
			return false
		}
		if victim.closeFrom(state.Phase) {
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
		var stalled []*Conn
		g.mu.Lock()
		for c := range g.conns {
			if clientlimit.Stalled(c.state(), at) {
				stalled = append(stalled, c)
			}
		}
		g.mu.Unlock()
		for _, c := range stalled {
			if c.closeFrom(clientlimit.Running) {
				g.log.refused(refusal{reasonStalled, needNone, clientlimit.Running, c}, g)
			}
		}
	}
}
