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

// Path is the HTTP path on which a VM accepts connections from other VMs.
const Path = "/v1/peer"

// Times and bounds for opening a connection.
const (
	dialTimeout  = time.Second
	helloTimeout = 2 * time.Second
	// firstDialTry and nextDialTries bound the tries of one dial. A VM without power loses the first packet
	// of a connection, and the kernel sends the next one only a second later: after a loss of power,
	// VMs that came back before their seeds knew no gatherer for that long.
	firstDialTry  = 200 * time.Millisecond
	nextDialTries = 300 * time.Millisecond
	// redialDelay is how long after a failed dial further ones to the VM fail at once.
	redialDelay = 100 * time.Millisecond
	// maxHandshakes bounds the accepted connections whose hello has not come yet.
	maxHandshakes = 64
	// maxUnlisted bounds the members that the platform does not list, since their identity
	// cannot be checked.
	maxUnlisted = 256
)

var errIdentity = errors.New("peer is not who it says")

// dialer opens connections to other VMs, at most one dial per VM at a time.
type dialer struct {
	client     *http.Client
	handshakes *atomic.Int64

	mu     *sync.Mutex // guards states
	states map[string]*dialState
}

// dialState is the state of dialing one VM.
type dialState struct {
	mu      sync.Mutex // guards the rest
	pending *pendingDial
	ended   time.Duration // when the last dial ended
	failed  bool          // whether the last dial failed
}

// pendingDial is one dial, shared by all calls that wait for it. conn and err are set
// before done is closed.
type pendingDial struct {
	done chan struct{}
	conn *conn
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
	transport := &http.Transport{DialContext: redial(dial), DisableKeepAlives: true, MaxResponseHeaderBytes: maxHelloBytes}
	return dialer{
		client: &http.Client{Transport: transport}, handshakes: &atomic.Int64{},
		mu: &sync.Mutex{}, states: map[string]*dialState{},
	}
}

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// redial returns a dial function that tries again, within dialTimeout, after a try without an answer.
func redial(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		for limit := firstDialTry; ; limit = nextDialTries {
			tryCtx, cancelTry := context.WithTimeout(ctx, limit)
			c, err := dial(tryCtx, network, address)
			unanswered := tryCtx.Err() != nil
			cancelTry()
			if err == nil || !unanswered || ctx.Err() != nil {
				return c, err
			}
		}
	}
}

func (d *dialer) state(vm string) *dialState {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.states[vm]
	if !ok {
		s = &dialState{}
		d.states[vm] = s
	}
	return s
}

// prune drops the state of VMs that are no longer members, once there are more states than
// members.
func (d *dialer) prune(members []roster.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.states) <= len(members) {
		return
	}
	known := make(map[string]bool, len(members))
	for _, m := range members {
		known[m.Name] = true
	}
	for name := range d.states {
		if !known[name] {
			delete(d.states, name)
		}
	}
}

// connect returns an open connection to a VM and dials if there is none.
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
	p, err := n.startDial(m)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", vm, err)
	}
	select {
	case <-p.done:
	case <-ctx.Done():
		return nil, fmt.Errorf("connect to %s: %w", vm, ctx.Err())
	}
	if p.err != nil {
		return nil, fmt.Errorf("connect to %s: %w", vm, p.err)
	}
	return p.conn, nil
}

// startDial starts a dial or returns the pending one. The dial continues even if all
// calls that wait for it give up.
func (n *Node) startDial(m roster.Member) (*pendingDial, error) {
	s := n.dialer.state(m.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending != nil {
		return s.pending, nil
	}
	if s.failed && n.now()-s.ended < redialDelay {
		return nil, ErrUnreachable
	}
	p := &pendingDial{done: make(chan struct{})}
	s.pending = p
	go func() {
		p.conn, p.err = n.dial(n.baseCtx, m)
		s.mu.Lock()
		s.pending, s.failed, s.ended = nil, p.err != nil, n.now()
		s.mu.Unlock()
		close(p.done)
	}()
	return p, nil
}

func (n *Node) dial(ctx context.Context, m roster.Member) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout+helloTimeout)
	defer cancel()
	// The library closes the response's body.
	ws, _, err := websocket.Dial(ctx, "ws://"+m.Address+Path, &websocket.DialOptions{HTTPClient: n.dialer.client}) //nolint:bodyclose
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	h, err := n.exchangeHellos(ctx, ws)
	if err == nil && h.Name != m.Name {
		n.metrics.cut.WithLabelValues(cutIdentity).Inc()
		err = fmt.Errorf("%w: %s", errIdentity, h.Name)
	}
	if err != nil {
		_ = ws.CloseNow()
		return nil, err
	}
	return n.startConn(socket{Conn: ws, lastPing: &atomic.Int64{}}, h, true)
}

// Handler returns the HTTP handler for GET /v1/peer, which accepts connections.
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
	if n.dialer.handshakes.Add(1) > maxHandshakes {
		n.dialer.handshakes.Add(-1)
		n.refuse(w, cutFull, http.StatusServiceUnavailable)
		return
	}
	defer n.dialer.handshakes.Add(-1)
	if err := n.handshake(w, r, ip); err != nil {
		n.log.Debug("peer refused", "ip", ip, "err", err)
	}
}

func (n *Node) refuse(w http.ResponseWriter, reason string, status int) {
	n.metrics.cut.WithLabelValues(reason).Inc()
	http.Error(w, reason, status)
}

// handshake upgrades a request to a WebSocket, exchanges hellos, checks the peer's
// identity and starts serving the connection. A failed exchange of hellos penalizes the IP
// address; a failed check of identity does not.
func (n *Node) handshake(w http.ResponseWriter, r *http.Request, ip string) error {
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
	ctx, cancel := context.WithTimeout(n.baseCtx, helloTimeout)
	defer cancel()
	h, err := n.exchangeHellos(ctx, ws)
	if err != nil {
		n.penalties.add(ip, n.now())
	} else if err = n.checkIdentity(h, ip); err != nil {
		n.metrics.cut.WithLabelValues(cutIdentity).Inc()
	}
	if err != nil {
		_ = ws.CloseNow()
		return err
	}
	_, err = n.startConn(socket{Conn: ws, lastPing: lastPing}, h, false)
	return err
}

// checkIdentity refuses a hello with this VM's name, with a penalized name, or with the
// name of a listed VM but from another IP address than the listed one. It refuses unlisted
// VMs while the roster has maxUnlisted of them.
func (n *Node) checkIdentity(h *gen.Hello, ip string) error {
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
	if n.unlistedCount() >= maxUnlisted {
		return fmt.Errorf("%w: too many VMs that are not listed", errIdentity)
	}
	return nil
}

func sameIP(a, b string) bool {
	x, y := net.ParseIP(a), net.ParseIP(b)
	return x != nil && x.Equal(y)
}

// exchangeHellos sends this VM's hello and returns the peer's.
func (n *Node) exchangeHellos(ctx context.Context, ws *websocket.Conn) (*gen.Hello, error) {
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

// socket is a WebSocket with the time of the last ping received on it.
type socket struct {
	*websocket.Conn
	lastPing *atomic.Int64
}

// startConn adds a connection to the table and serves it in a goroutine. Connections that
// the new one displaces are closed.
func (n *Node) startConn(s socket, h *gen.Hello, dialed bool) (*conn, error) {
	c := newConn(n, s, h, dialed)
	victims, ok := n.table.add(c, n.now())
	for _, v := range victims {
		v.close(cutReplaced)
	}
	if !ok {
		c.close(cutFull)
		return nil, fmt.Errorf("connection with %s: %w", h.Name, errClosed)
	}
	n.recordHello(h)
	gauge := n.metrics.connections.WithLabelValues(c.direction())
	gauge.Inc()
	go func() {
		defer n.table.serving.Done()
		defer gauge.Dec()
		defer n.table.remove(c)
		c.run(n.baseCtx)
	}()
	return c, nil
}

// penalize refuses a peer by name for a while.
func (n *Node) penalize(peer string) { n.penalties.add(peer, n.now()) }

func (n *Node) unlistedCount() int {
	count := 0
	for _, m := range n.Roster() {
		if !m.Listed {
			count++
		}
	}
	return count
}
