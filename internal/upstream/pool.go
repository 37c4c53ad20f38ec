package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	dialTimeout       = time.Second
	dialBackoff       = time.Second
	keepAliveIdle     = 10 * time.Second
	keepAliveInterval = 5 * time.Second
	keepAliveCount    = 3
	userTimeout       = 15 * time.Second
	maxReplyHeader    = 16 << 10
	connBuffer        = 4 << 10
	maxWaiters        = 1024
	warmConnections   = 2
	maxIdleTime       = 5 * time.Minute
	peakWindow        = 30 * time.Second
)

// Errors of taking a connection. After each no byte has been sent.
var (
	errPoolFull = errors.New("upstream: too many attempts wait for a connection")
	errConnect  = errors.New("upstream: no connection")
)

// conn is one HTTP/1.1 connection: net/http speaks on it and never replays a
// request on another one, as http.Transport's own pool would.
type conn struct {
	*http.ClientConn
	sock      *sock
	idleSince time.Duration
}

// drop closes the connection. What its close has to say is of no use: the
// connection is not used again.
func (c *conn) drop() { _ = c.Close() }

// sockKey carries, in the context of a dial, the place where the socket is put.
type sockKey struct{}

// newTransport returns the transport that makes connections. It has no proxy, no
// compression and no pool of its own.
func newTransport(now func() time.Duration) *http.Transport {
	d := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: setUserTimeout,
	}
	return &http.Transport{
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxReplyHeader,
		ReadBufferSize:         connBuffer,
		WriteBufferSize:        connBuffer,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			nc, err := d.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			s := &sock{Conn: nc, now: now, openedAt: now(), onClose: func() {}}
			if p, ok := ctx.Value(sockKey{}).(**sock); ok {
				*p = s
			}
			return s, nil
		},
	}
}

// setUserTimeout bounds how long written bytes may stay unacknowledged, so that a
// connection to a host that has gone does not hold its place for minutes.
func setUserTimeout(_, _ string, rc syscall.RawConn) error {
	var serr error
	err := rc.Control(func(fd uintptr) {
		serr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, serr)
}

// waiter waits for a connection.
type waiter struct {
	ready chan struct{}
	conn  *conn
	err   error
}

// pool holds the connections to one upstream, at most this VM's share. Its lock is
// never held while a connection is used or closed.
type pool struct {
	address   string
	transport *http.Transport
	now       func() time.Duration
	onDial    func(error)

	share          atomic.Int64 // equal to most, read without the lock
	saturatedUntil atomic.Int64 // on the clock of now

	mu                  sync.Mutex // guards the fields below
	maxOpen             int
	open                int // connections open or being dialed
	closing             int // connections among them about to be closed
	dialing             int
	idle                []*conn
	waiters             []*waiter
	peakDemand          int // most connections in use of late
	peakAt              time.Duration
	dialFailedAt        time.Duration
	dialFailed          bool
	consecutiveRefusals int // connections turned away in a row
}

// get takes a connection: an idle one, or the first that is dialed or given back.
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

// takeOrWait returns an idle connection, or puts w in the queue.
func (p *pool) takeOrWait(w *waiter) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.maxOpen <= 0 {
		return nil, ErrNoShare
	}
	for len(p.idle) > 0 {
		// The one idle for longest: in turn, all stay within the upstream's idle time.
		c := p.idle[0]
		p.idle = p.idle[1:]
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

// used records how many connections are wanted. The lock is held.
func (p *pool) recordDemand(n int) {
	now := p.now()
	if n >= p.peakDemand || now-p.peakAt > peakWindow {
		p.peakDemand, p.peakAt = min(n, p.maxOpen), now
	}
}

// replace dials in place of a connection that was dropped while its upstream was
// well, so that the next request does not wait for one.
func (p *pool) replaceDropped() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open < min(max(p.peakDemand, warmConnections), p.maxOpen) && !p.saturated(p.now()) {
		p.startDial()
	}
}

// downLook bounds how long a connection is tried to learn whether an upstream has ended.
const refusalCheckTimeout = 100 * time.Millisecond

// refuses reports whether the upstream refuses a new connection. One that it accepts goes
// to the pool, where the share has room for it.
func (p *pool) refusesConnections(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), refusalCheckTimeout)
	defer cancel()
	w := &waiter{ready: make(chan struct{})}
	c, err := p.takeOrWait(w)
	if err != nil {
		return false
	}
	if c != nil {
		p.put(c) // another connection lives on
		return false
	}
	select {
	case <-w.ready:
	case <-ctx.Done():
		p.cancelWait(w)
		return false
	}
	if w.conn != nil {
		p.put(w.conn)
		return false
	}
	return errors.Is(w.err, syscall.ECONNREFUSED)
}

// leave takes w out of the queue; a connection that it already got goes back.
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

// put gives a connection back. One above the share, or of no more use, is closed.
func (p *pool) put(c *conn) {
	if c.Available() == 0 {
		c.drop()
		return
	}
	if !p.reuse(c) {
		c.drop()
	}
}

// keep passes a connection to a waiter or to the idle ones; false where it is over
// the share.
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

// part marks a connection that is about to be closed. The lock is held.
func (p *pool) markClosing(c *conn) {
	c.sock.closing = true
	p.closing++
}

// serve hands a connection or an error to the first waiter. The lock is held.
func (p *pool) deliver(c *conn, err error) {
	w := p.waiters[0]
	p.waiters = p.waiters[1:]
	w.conn, w.err = c, err
	close(w.ready)
}

// startDial dials in the background. The lock is held.
func (p *pool) startDial() {
	p.open++
	p.dialing++
	go p.dial()
}

// dial makes one connection and hands it over.
func (p *pool) dial() {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	var s *sock
	ctx = context.WithValue(ctx, sockKey{}, &s)
	cc, err := p.transport.NewClientConn(ctx, "http", p.address)
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
	p.mu.Unlock()
	if !p.watchClose(s) {
		p.connClosed(s)
	}
	p.put(&conn{ClientConn: cc, sock: s})
}

// watch makes the pool hear of the connection's end; false where it has ended.
func (p *pool) watchClose(s *sock) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onClose = func() { p.connClosed(s) }
	return !s.closed
}

// gone counts a connection that has ended, and replaces it where one is needed.
func (p *pool) connClosed(s *sock) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordRefusal(s)
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

// setMost changes the share. Idle connections above it are closed at once, others
// when they are given back.
func (p *pool) setMaxOpen(maxOpen int) {
	p.mu.Lock()
	p.maxOpen = maxOpen
	p.share.Store(int64(maxOpen))
	var extra []*conn
	for p.open-p.closing > maxOpen && len(p.idle) > 0 {
		p.markClosing(p.idle[0])
		extra = append(extra, p.idle[0])
		p.idle = p.idle[1:]
	}
	var refused []*waiter
	if maxOpen <= 0 {
		refused, p.waiters = p.waiters, nil
	}
	p.mu.Unlock()
	for _, c := range extra {
		c.drop()
	}
	for _, w := range refused {
		w.err = ErrNoShare
		close(w.ready)
	}
}

// warm dials up to as many connections as were in use of late, so that a request
// does not wait for one, and closes those idle for long.
func (p *pool) warm() {
	p.mu.Lock()
	now := p.now()
	if (!p.dialFailed || now-p.dialFailedAt > dialBackoff) && !p.saturated(now) {
		want := min(max(p.peakDemand, warmConnections), p.maxOpen)
		for p.open < want {
			p.startDial()
		}
	}
	var expired []*conn
	for len(p.idle) > 0 && p.open-p.closing > warmConnections && now-p.idle[0].idleSince > maxIdleTime {
		p.markClosing(p.idle[0])
		expired = append(expired, p.idle[0])
		p.idle = p.idle[1:]
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.drop()
	}
}

// size returns how many connections are open or being dialed.
func (p *pool) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}
