package peer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"golang.org/x/time/rate"

	"github.com/sardinespindle/sardinespindle/internal/guard"
	"github.com/sardinespindle/sardinespindle/internal/policy/delegate"
	"github.com/sardinespindle/sardinespindle/internal/readlimit"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/peer"
)

// Bounds and times of one connection.
const (
	maxQueuedMessages  = 256
	maxQueuedBytes     = 4 << 20
	maxPendingCalls    = 1024
	maxRunningHandlers = 64
	writeTimeout       = 2 * time.Second
	// The side that dialed sends pings; the other side closes the connection if they cease.
	pingInterval     = time.Second
	pingTimeout      = 1500 * time.Millisecond
	pingSilenceLimit = 3 * time.Second
	// digestRate and spreadRate bound the digests and spreads per second that this VM replies
	// to on one connection.
	digestRate  = rate.Limit(4)
	digestBurst = 4
	spreadRate  = rate.Limit(100)
	spreadBurst = 200
)

// Reasons for ending or refusing a connection: the labels of spindle_peer_cut_total.
const (
	cutOverflow = "queue_overflow"
	cutGarbage  = "garbage"
	cutFlood    = "flood"
	cutNoRoom   = "no_room" // what others send leaves no room for a message
	cutWrite    = "write"
	cutRead     = "read"
	cutPing     = "ping"
	cutIdle     = "idle"
	cutStop     = "stop"
	cutIdentity = "identity"
	cutHello    = "hello"
	cutFull     = "full"
	cutReplaced = "replaced"
	cutPenalty  = "penalty"
	cutFilter   = "filter"
	cutSuspend  = "suspended"
)

var errClosed = errors.New("connection closed")

// conn is one connection to a peer. The side that dialed numbers its requests with odd
// ids, the other with even ones, so a message whose id has this side's parity is a reply
// or a notice.
type conn struct {
	node        *Node
	ws          *websocket.Conn
	peer        string
	zone        string // the peer's
	incarnation string // the peer's
	dialed      bool
	opened      time.Duration

	out          chan []byte
	outBytes     atomic.Int64
	handlerSlots chan struct{}
	messages     *rate.Limiter
	bytes        *rate.Limiter
	gossipBytes  *rate.Limiter
	digests      *rate.Limiter
	spreads      *rate.Limiter
	done         chan struct{}
	closeOnce    sync.Once

	// Times on the node's clock. lastPing is set only on the accepting side.
	lastUse        atomic.Int64
	lastRead       atomic.Int64 // when a message or the reply to a ping last arrived
	lastPing       *atomic.Int64
	neighbourUntil atomic.Int64
	chosenUntil    atomic.Int64

	mu       sync.Mutex // guards the fields below
	arrivals delegate.Arrivals
	nextID   int
	pending  map[int]*call
	running  map[int]runningRequest // requests of the peer, by id
}

func newConn(n *Node, s socket, h *gen.Hello, dialed bool) *conn {
	c := &conn{
		node: n, ws: s.Conn, lastPing: s.lastPing, peer: h.Name, zone: h.Zone, incarnation: h.Incarnation, dialed: dialed, opened: n.now(),
		out:          make(chan []byte, maxQueuedMessages),
		handlerSlots: make(chan struct{}, maxRunningHandlers),
		messages:     n.limits.Messages.limiter(),
		bytes:        n.limits.Bytes.limiter(),
		gossipBytes:  n.limits.Gossip.limiter(),
		digests:      rate.NewLimiter(digestRate, digestBurst),
		spreads:      rate.NewLimiter(spreadRate, spreadBurst),
		done:         make(chan struct{}),
		pending:      map[int]*call{},
		running:      map[int]runningRequest{},
		nextID:       2,
	}
	if dialed {
		c.nextID = 1
	}
	c.arrivals.Delay(time.Duration(h.SentUs)*time.Microsecond, n.now())
	c.markUsed()
	return c
}

func (c *conn) direction() string {
	if c.dialed {
		return "out"
	}
	return "in"
}

func (c *conn) markUsed() { c.lastUse.Store(int64(c.node.now())) }

func (c *conn) idleFor(now time.Duration) time.Duration { return now - time.Duration(c.lastUse.Load()) }

// isNeighbour reports whether a digest came in, or this side chose the peer, within
// neighbourTTL.
func (c *conn) isNeighbour(now time.Duration) bool {
	return time.Duration(c.neighbourUntil.Load()) > now
}

// chosen reports whether this side chose the peer as a neighbour.
func (c *conn) chosen(now time.Duration) bool { return time.Duration(c.chosenUntil.Load()) > now }

// run reads, writes and pings until the connection or ctx ends.
func (c *conn) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { c.writeLoop(ctx) })
	wg.Go(func() { c.pingLoop(ctx) })
	c.readLoop(ctx)
	cancel()
	wg.Wait()
}

// close ends the connection and counts the reason; further calls do nothing.
func (c *conn) close(reason string) {
	c.closeOnce.Do(func() {
		c.node.metrics.cut.WithLabelValues(reason).Inc()
		close(c.done)
		_ = c.ws.CloseNow()
	})
}

func (c *conn) ended() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// send queues a message, or closes the connection if the queue is full, since the peer
// does not read fast enough.
func (c *conn) send(m *gen.Message) error {
	b, err := encode(m)
	if err != nil {
		return err
	}
	if c.ended() {
		return errClosed
	}
	if c.outBytes.Add(int64(len(b))) > maxQueuedBytes {
		c.close(cutOverflow)
		return fmt.Errorf("send to %s: queue of bytes full: %w", c.peer, errClosed)
	}
	select {
	case c.out <- b:
		c.node.metrics.messages.WithLabelValues("out", kind(m)).Inc()
		return nil
	default:
		c.close(cutOverflow)
		return fmt.Errorf("send to %s: queue full: %w", c.peer, errClosed)
	}
}

func (c *conn) writeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			c.close(cutStop)
			return
		case <-c.done:
			return
		case b := <-c.out:
			if !c.write(ctx, b) {
				return
			}
		}
	}
}

func (c *conn) write(ctx context.Context, b []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := c.ws.Write(ctx, websocket.MessageBinary, b)
	c.outBytes.Add(-int64(len(b)))
	if err != nil {
		c.close(cutWrite)
		return false
	}
	c.node.metrics.bytes.WithLabelValues("out").Add(float64(len(b)))
	return true
}

func (c *conn) pingLoop(ctx context.Context) {
	t := time.NewTicker(pingInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.done:
			return
		case <-t.C:
		}
		if reason := c.heartbeat(ctx); reason != "" {
			c.close(reason)
			return
		}
	}
}

// heartbeat sends a ping or, on the accepting side, checks when the last one came. It
// returns the reason to end the connection, or "".
func (c *conn) heartbeat(ctx context.Context) string {
	if !c.dialed {
		if c.node.now()-time.Duration(c.lastPing.Load()) > pingSilenceLimit {
			return cutPing
		}
		return ""
	}
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	if err := c.ws.Ping(ctx); err != nil {
		return cutPing
	}
	c.lastRead.Store(int64(c.node.now()))
	return ""
}

func (c *conn) readLoop(ctx context.Context) {
	for {
		m, reason := c.read(ctx)
		if reason != "" {
			c.close(reason)
			blamed := reason == cutGarbage || reason == cutFlood
			if blamed {
				c.node.penalize(c.peer)
			}
			if blamed || reason == cutNoRoom {
				c.node.log.Warn("peer cut off", "peer", c.peer, "reason", reason)
			}
			return
		}
		c.dispatchGuarded(ctx, m)
	}
}

// readMessage reads the bytes of the next message.
func (c *conn) readMessage(ctx context.Context) (websocket.MessageType, []byte, error) {
	typ, r, err := c.ws.Reader(ctx)
	if err != nil {
		return 0, nil, err
	}
	b, err := c.node.reads.ReadAll(r, maxMessageBytes, -1)
	return typ, b, err
}

// read returns the next message, or the reason to end the connection.
func (c *conn) read(ctx context.Context) (*gen.Message, string) {
	typ, b, err := c.readMessage(ctx)
	switch {
	case errors.Is(err, websocket.ErrMessageTooBig) && websocket.CloseStatus(err) == -1, errors.Is(err, readlimit.ErrTooLarge):
		return nil, cutGarbage
	case errors.Is(err, readlimit.ErrNoMemory):
		return nil, cutNoRoom
	case err != nil:
		return nil, cutRead
	}
	if c.node.paused() || c.ended() {
		return nil, cutSuspend
	}
	c.node.metrics.bytes.WithLabelValues("in").Add(float64(len(b)))
	c.lastRead.Store(int64(c.node.now()))
	now := time.Now()
	if !c.messages.AllowN(now, 1) || !c.bytes.AllowN(now, len(b)) {
		return nil, cutFlood
	}
	m, err := decode(b)
	if err != nil || typ != websocket.MessageBinary || m.Hello != nil {
		return nil, cutGarbage
	}
	if (m.Facts != nil || m.Digest != nil) && !c.gossipBytes.AllowN(now, len(b)) {
		return nil, cutFlood
	}
	c.node.metrics.messages.WithLabelValues("in", kind(m)).Inc()
	return m, ""
}

// dispatchGuarded is dispatch, but a panic drops the message.
func (c *conn) dispatchGuarded(ctx context.Context, m *gen.Message) {
	defer guard.Catch(func(err error) { c.logPanic(m, err) })
	c.dispatch(ctx, m)
}

// dispatch handles one message. Facts without an id are gossip; a request with facts is a
// spread.
func (c *conn) dispatch(ctx context.Context, m *gen.Message) {
	switch {
	case m.Id != 0 && c.ownsID(m.Id):
		c.deliverReply(m)
	case m.Accepted != nil:
		c.node.metrics.dropped.WithLabelValues("late_reply").Inc()
	case m.Cancel != nil:
		c.runningRequest(m.Cancel.Request).cancel()
	case m.Finish != nil:
		c.runningRequest(m.Finish.Request).finish()
	case m.Confirmed != nil:
		c.runningRequest(m.Confirmed.Request).confirm(m.Confirmed.Sequence)
	case m.Digest != nil:
		c.node.replyToDigest(c, m.Digest)
	case m.Facts != nil && m.Id == 0:
		c.node.learn(c.peer, m.Facts)
	case m.Facts != nil && !c.spreads.Allow():
		c.node.metrics.dropped.WithLabelValues("spread").Inc()
	default:
		c.handle(ctx, m)
	}
}
