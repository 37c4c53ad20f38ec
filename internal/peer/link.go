package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"github.com/sardinespindle/sardinespindle/internal/policy/roster"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/peer"
)

// Path is where a VM accepts the connections of others.
const Path = "/v1/peer"

// Times and bounds of setting up a connection.
const (
	dialTimeout  = time.Second
	helloTimeout = 2 * time.Second
	// redialAfter is how long a failed dial is taken for the next one's result.
	redialAfter = 100 * time.Millisecond
	// maxGreeting bounds the connections that have not said hello yet.
	maxGreeting = 64
	// maxUnlisted bounds the members that the platform does not list.
	maxUnlisted = 256
)

var errIdentity = errors.New("peer is not who it says")

// dialer opens connections, one at a time to each VM.
type dialer struct {
	client   *http.Client
	greeting *atomic.Int64

	mu    *sync.Mutex // guards links
	links map[string]*link
}

// link is the state of dialing one VM.
type link struct {
	mu     sync.Mutex // guards the rest
	dial   *attempt
	failed time.Duration
	tried  bool
}

// attempt is one dial under way, shared by all who wait for it.
type attempt struct {
	done chan struct{}
	c    *conn
	err  error
}

func newDialer(o Options) dialer {
	dial := o.Dial
	if dial == nil {
		d := &net.Dialer{Timeout: dialTimeout}
		if ip := net.ParseIP(o.ListenIP); ip != nil {
			d.LocalAddr = &net.TCPAddr{IP: ip}
		}
		dial = d.DialContext
	}
	transport := &http.Transport{DialContext: dial, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHelloBytes}
	return dialer{
		client: &http.Client{Transport: transport}, greeting: &atomic.Int64{},
		mu: &sync.Mutex{}, links: map[string]*link{},
	}
}

func (d *dialer) link(vm string) *link {
	d.mu.Lock()
	defer d.mu.Unlock()
	l, ok := d.links[vm]
	if !ok {
		l = &link{}
		d.links[vm] = l
	}
	return l
}

// prune forgets the VMs that are no members any more.
func (d *dialer) prune(members []roster.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.links) <= len(members) {
		return
	}
	known := make(map[string]bool, len(members))
	for _, m := range members {
		known[m.Name] = true
	}
	for name := range d.links {
		if !known[name] {
			delete(d.links, name)
		}
	}
}

// connect returns an open connection to a VM, dialing where there is none.
func (n *Node) connect(ctx context.Context, vm string) (*conn, error) {
	if c := n.table.get(vm); c != nil {
		return c, nil
	}
	if n.penalties.refused(vm, n.now()) {
		return nil, fmt.Errorf("connect to %s: %w: refused for a while", vm, ErrUnreachable)
	}
	m, ok := n.member(vm)
	if !ok || m.Address == "" {
		return nil, fmt.Errorf("connect to %s: %w", vm, ErrUnknownVM)
	}
	a, err := n.attempt(m)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", vm, err)
	}
	select {
	case <-a.done:
	case <-ctx.Done():
		return nil, fmt.Errorf("connect to %s: %w", vm, ctx.Err())
	}
	if a.err != nil {
		return nil, fmt.Errorf("connect to %s: %w", vm, a.err)
	}
	return a.c, nil
}

// attempt starts a dial or joins the one under way. The dial goes on although those
// who wait for it give up.
func (n *Node) attempt(m roster.Member) (*attempt, error) {
	l := n.dialer.link(m.Name)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dial != nil {
		return l.dial, nil
	}
	if l.tried && n.now()-l.failed < redialAfter {
		return nil, ErrUnreachable
	}
	a := &attempt{done: make(chan struct{})}
	l.dial = a
	go func() {
		a.c, a.err = n.dial(n.base, m)
		l.mu.Lock()
		l.dial, l.tried, l.failed = nil, a.err != nil, n.now()
		l.mu.Unlock()
		close(a.done)
	}()
	return a, nil
}

func (n *Node) dial(ctx context.Context, m roster.Member) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout+helloTimeout)
	defer cancel()
	// The library reads the response's body itself.
	ws, _, err := websocket.Dial(ctx, "ws://"+m.Address+Path, &websocket.DialOptions{HTTPClient: n.dialer.client}) //nolint:bodyclose
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	h, err := n.greet(ctx, ws)
	if err == nil && h.Name != m.Name {
		n.metrics.cut.WithLabelValues(cutIdentity).Inc()
		err = fmt.Errorf("%w: %s", errIdentity, h.Name)
	}
	if err != nil {
		_ = ws.CloseNow()
		return nil, err
	}
	return n.start(socket{Conn: ws, lastPing: &atomic.Int64{}}, h, true)
}

// Handler returns the handler of GET /v1/peer.
func (n *Node) Handler() http.Handler { return http.HandlerFunc(n.acceptConn) }

func (n *Node) acceptConn(w http.ResponseWriter, r *http.Request) {
	ip, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		http.Error(w, "bad remote address", http.StatusBadRequest)
		return
	}
	if !n.accept(ip) {
		n.refuse(w, cutFilter, http.StatusForbidden)
		return
	}
	if n.penalties.refused(ip, n.now()) {
		n.refuse(w, cutPenalty, http.StatusTooManyRequests)
		return
	}
	if n.dialer.greeting.Add(1) > maxGreeting {
		n.dialer.greeting.Add(-1)
		n.refuse(w, cutFull, http.StatusServiceUnavailable)
		return
	}
	defer n.dialer.greeting.Add(-1)
	if err := n.welcome(w, r, ip); err != nil {
		n.log.Debug("peer refused", "ip", ip, "err", err)
	}
}

func (n *Node) refuse(w http.ResponseWriter, reason string, status int) {
	n.metrics.cut.WithLabelValues(reason).Inc()
	http.Error(w, reason, status)
}

// welcome upgrades a request and checks who sent it.
func (n *Node) welcome(w http.ResponseWriter, r *http.Request, ip string) error {
	lastPing := &atomic.Int64{}
	lastPing.Store(int64(n.now()))
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{
		OnPingReceived: func(context.Context, []byte) bool {
			lastPing.Store(int64(n.now()))
			return true
		},
	})
	if err != nil {
		return fmt.Errorf("upgrade: %w", err)
	}
	ctx, cancel := context.WithTimeout(n.base, helloTimeout)
	defer cancel()
	h, err := n.greet(ctx, ws)
	if err != nil {
		n.penalties.add(ip, n.now())
	} else if err = n.vet(h, ip); err != nil {
		n.metrics.cut.WithLabelValues(cutIdentity).Inc()
	}
	if err != nil {
		_ = ws.CloseNow()
		return err
	}
	_, err = n.start(socket{Conn: ws, lastPing: lastPing}, h, false)
	return err
}

// vet checks a hello against the roster: a listed VM comes from its listed IP
// number, and one that is not listed yet finds only so much room.
func (n *Node) vet(h *gen.Hello, ip string) error {
	if h.Name == n.name {
		return fmt.Errorf("%w: it has this VM's name", errIdentity)
	}
	if n.penalties.refused(h.Name, n.now()) {
		return fmt.Errorf("%w: refused for a while", errIdentity)
	}
	m, ok := n.member(h.Name)
	if ok && m.Listed {
		listed, _, err := net.SplitHostPort(m.Address)
		if err != nil || !sameIP(listed, ip) {
			return fmt.Errorf("%w: %s is listed at %s, not %s", errIdentity, h.Name, m.Address, ip)
		}
		return nil
	}
	if n.unlisted() >= maxUnlisted {
		return fmt.Errorf("%w: too many VMs that are not listed", errIdentity)
	}
	return nil
}

func sameIP(a, b string) bool {
	x, y := net.ParseIP(a), net.ParseIP(b)
	return x != nil && x.Equal(y)
}

// greet exchanges hellos.
func (n *Node) greet(ctx context.Context, ws *websocket.Conn) (*gen.Hello, error) {
	b, err := encode(n.hello())
	if err != nil {
		return nil, err
	}
	if err := ws.Write(ctx, websocket.MessageBinary, b); err != nil {
		return nil, fmt.Errorf("send hello: %w", err)
	}
	ws.SetReadLimit(maxHelloBytes)
	_, b, err = ws.Read(ctx)
	if err != nil {
		n.metrics.cut.WithLabelValues(cutHello).Inc()
		return nil, fmt.Errorf("read hello: %w", err)
	}
	m, err := decode(b)
	if err == nil && m.Hello == nil {
		err = errNoHello
	}
	if err != nil {
		n.metrics.cut.WithLabelValues(cutGarbage).Inc()
		return nil, err
	}
	ws.SetReadLimit(maxMessageBytes)
	return m.Hello, nil
}

// socket is a WebSocket and when the last ping came in on it.
type socket struct {
	*websocket.Conn
	lastPing *atomic.Int64
}

// start takes a connection into the table and serves it.
func (n *Node) start(s socket, h *gen.Hello, dialed bool) (*conn, error) {
	c := newConn(n, s, h, dialed)
	victims, ok := n.table.add(c, n.now())
	for _, v := range victims {
		v.close(cutReplaced)
	}
	if !ok {
		c.close(cutFull)
		return nil, fmt.Errorf("connection with %s: %w", h.Name, errClosed)
	}
	n.heard(h)
	gauge := n.metrics.connections.WithLabelValues(c.direction())
	gauge.Inc()
	go func() {
		defer n.table.serving.Done()
		defer gauge.Dec()
		defer n.table.remove(c)
		c.run(n.base)
	}()
	return c, nil
}

// penalize refuses a peer for a while.
func (n *Node) penalize(peer string) { n.penalties.add(peer, n.now()) }

func (n *Node) unlisted() int {
	count := 0
	for _, m := range n.Roster() {
		if !m.Listed {
			count++
		}
	}
	return count
}
