// Package peer connects this VM to the others by CBOR messages over WebSocket. It keeps
// connections to neighbours, opens others on demand, exchanges facts by gossip and carries
// requests. A Node is safe for concurrent use; its handlers and hooks must be too. The
// connection table, the roster and each queue of facts have a lock of their own, and no
// two of these are held together.
package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sardinespindle/sardinespindle/internal/clock"
	"github.com/sardinespindle/sardinespindle/internal/facts"
	"github.com/sardinespindle/sardinespindle/internal/policy/roster"
	"github.com/sardinespindle/sardinespindle/internal/readlimit"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/peer"
	"github.com/sardinespindle/sardinespindle/schema/gen/platform"
)

// Errors of calls to other VMs. Their texts can reach a caller in the detail of an outcome.
var (
	// ErrUnknownVM: the roster has no VM of that name or no address for it, or no handler
	// replied to a call to this VM itself.
	ErrUnknownVM = errors.New("unknown VM")
	// ErrUnreachable: a dial to the VM failed a moment ago, or the VM is refused for a while.
	ErrUnreachable = errors.New("VM unreachable")
	// ErrNotSent: the request did not reach the VM, or the VM did not run it.
	ErrNotSent = errors.New("request not sent")
	// ErrSilent: the VM sent no notice, or no further one, that it runs the request.
	ErrSilent = errors.New("VM silent")

	errNoDelegate = errors.New("the VM's build may not be delegated requests")
)

// Options configures a Node.
type Options struct {
	Name        string
	Zone        string
	Incarnation string
	// Started is when the process started, on the clock of Now.
	Started time.Duration
	// ListenIP is the IP address that connections are dialed from; empty for any.
	ListenIP string
	// Generation returns the generation and digest of the manifest in force.
	Generation func() (int, string)
	Log        *log.Logger
	Registerer prometheus.Registerer
	// Now reads a clock that keeps running while the process is paused; clock.Boot if nil.
	Now func() time.Duration
	// Dial opens outgoing connections; a dialer from ListenIP if nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// NoRelays says that no VM relays the platform's manifest to its zone. The default is that
	// the VMs of a zone choose relays among themselves.
	NoRelays bool
	// OnUnreachable is called when a neighbour cannot be reached although other VMs can;
	// may be nil.
	OnUnreachable func(vm string)
	// MayDelegate reports whether the process with an incarnation may be delegated requests; nil for all.
	MayDelegate func(incarnation string) bool
	// Accept reports whether a connection from a remote IP address is accepted; nil for
	// all.
	Accept func(remoteIP string) bool
	// Limits bounds what a peer may send on one connection; DefaultLimits if nil.
	Limits *Limits
}

// Handler returns the reply to a request, or nil if the message is not for this handler.
// from is the name of the VM that sent the request.
type Handler func(ctx context.Context, from string, m *gen.Message) *gen.Message

// Node is this VM's end of the connections to all other VMs.
type Node struct {
	limits      Limits
	reads       *readlimit.Budget
	name        string
	zone        string
	incarnation string
	started     time.Duration
	generation  func() (int, string)
	now         func() time.Duration
	accept      func(string) bool
	unreachable func(string)
	mayDelegate func(string) bool
	noRelays    bool
	log         *log.Logger
	metrics     *metrics
	facts       *facts.Store
	dialer      dialer

	baseCtx context.Context
	cancel  context.CancelFunc

	table     table
	penalties penalties
	gossip    gossip

	rosterMu sync.Mutex
	roster   *roster.Roster

	// lastTick is when watchClock last checked the clock, running whether watchClock runs. A
	// long time since lastTick means that the process was paused.
	lastTick atomic.Int64
	running  atomic.Bool
	// learnedAt is when a fact of another VM was last new to this one.
	learnedAt atomic.Int64

	handlersMu  sync.RWMutex
	handlers    []Handler
	spreadHooks []func(facts.Fact)

	relayMu       sync.Mutex
	missingSince  time.Duration
	relay         bool
	nextRelayFact time.Duration
}

// New returns a Node that accepts connections through Handler. It opens connections to
// neighbours once Run runs.
func New(o Options) *Node {
	if o.Now == nil {
		o.Now = clock.Boot
	}
	if o.Log == nil {
		o.Log = log.Default()
	}
	if o.Generation == nil {
		o.Generation = func() (int, string) { return 0, "" }
	}
	if o.Accept == nil {
		o.Accept = func(string) bool { return true }
	}
	if o.OnUnreachable == nil {
		o.OnUnreachable = func(string) {}
	}
	if o.MayDelegate == nil {
		o.MayDelegate = func(string) bool { return true }
	}
	if o.Limits == nil {
		o.Limits = &DefaultLimits
	}
	n := &Node{
		limits: *o.Limits, reads: readlimit.New(readBytes),
		name: o.Name, zone: o.Zone, incarnation: o.Incarnation, started: o.Started,
		generation: o.Generation, now: o.Now, accept: o.Accept, unreachable: o.OnUnreachable, mayDelegate: o.MayDelegate, noRelays: o.NoRelays, log: o.Log,
		metrics: newMetrics(o.Registerer),
		facts: facts.New(facts.Options{
			Name: o.Name, Incarnation: o.Incarnation, Now: o.Now, Registerer: o.Registerer,
		}),
		dialer: newDialer(o),
		roster: roster.New(),
	}
	n.lastTick.Store(int64(n.now()))
	n.baseCtx, n.cancel = context.WithCancel(context.Background())
	n.table.init()
	n.penalties.init()
	n.gossip.init()
	n.facts.Watch("", n.queueOwn)
	n.facts.Watch("vm/", n.recordLeaving)
	return n
}

// Facts returns the store of the facts that this VM knows.
func (n *Node) Facts() *facts.Store { return n.facts }

// Handle registers a handler of requests. Handlers are tried in the order of
// registration until one returns a reply.
func (n *Node) Handle(h Handler) {
	n.handlersMu.Lock()
	defer n.handlersMu.Unlock()
	n.handlers = append(n.handlers, h)
}

// OnSpread registers a function that is called with each fact that another VM sends by
// Spread or SpreadTo, after the fact is merged and before it is acknowledged.
func (n *Node) OnSpread(fn func(facts.Fact)) {
	n.handlersMu.Lock()
	defer n.handlersMu.Unlock()
	n.spreadHooks = append(n.spreadHooks, fn)
}

// SetVMs updates the roster with the platform's list of VMs. An empty list must be wrong,
// since this VM is running, and is ignored.
func (n *Node) SetVMs(vms []platform.VM) {
	if len(vms) == 0 {
		n.metrics.dropped.WithLabelValues("empty_list").Inc()
		return
	}
	listed := make([]roster.Listed, len(vms))
	for i, vm := range vms {
		listed[i] = roster.Listed{
			Name: vm.Name, Zone: vm.Zone, Address: vm.PeerAddress,
			Leaving: vm.State == platform.VMStateLeaving,
		}
	}
	n.rosterMu.Lock()
	defer n.rosterMu.Unlock()
	n.roster.SetListed(n.now(), listed)
}

// SetMembers updates the roster with VMs that were found without the platform. zones
// holds their zones by name; address returns where a VM listens for peers.
func (n *Node) SetMembers(zones map[string]string, address func(name string) string) {
	listed := make([]roster.Listed, 0, len(zones))
	for name, zone := range zones {
		listed = append(listed, roster.Listed{Name: name, Zone: zone, Address: address(name)})
	}
	n.rosterMu.Lock()
	defer n.rosterMu.Unlock()
	n.roster.SetListed(n.now(), listed)
}

// Name returns this VM's name.
func (n *Node) Name() string { return n.name }

// Incarnation returns the id of this process.
func (n *Node) Incarnation() string { return n.incarnation }

// Roster returns every member of the fleet in the order of their names, including this VM
// and those removed lately.
func (n *Node) Roster() []roster.Member {
	now := n.now()
	n.rosterMu.Lock()
	defer n.rosterMu.Unlock()
	n.roster.Hello(now, n.self(now))
	return n.roster.Members(now)
}

func (n *Node) self(now time.Duration) roster.Hello {
	generation, _ := n.generation()
	return roster.Hello{
		Name: n.name, Zone: n.zone, Incarnation: n.incarnation,
		Uptime: now - n.started, Generation: generation,
	}
}

func (n *Node) hello() *gen.Message {
	generation, digest := n.generation()
	return &gen.Message{Hello: &gen.Hello{
		Name: n.name, Zone: n.zone, Incarnation: n.incarnation,
		Generation: generation, HeadDigest: digest,
		UptimeMs: int((n.now() - n.started).Milliseconds()), SentUs: int(n.now().Microseconds()),
	}}
}

// recordLeaving records that a VM leaves, if the fact says so and was stated by that VM
// itself.
func (n *Node) recordLeaving(f facts.Fact) {
	name, inc := f.VM(), f.Origin[len(f.VM()):]
	if f.Key != "vm/"+name || f.Value != "leaving" || inc == "" {
		return
	}
	n.rosterMu.Lock()
	defer n.rosterMu.Unlock()
	n.roster.SetLeaving(name, inc[1:], f.Expires)
}

func (n *Node) member(name string) (roster.Member, bool) {
	n.rosterMu.Lock()
	defer n.rosterMu.Unlock()
	return n.roster.Get(n.now(), name)
}

func (n *Node) memberCount() int {
	n.rosterMu.Lock()
	defer n.rosterMu.Unlock()
	return n.roster.Len()
}

func (n *Node) recordHello(h *gen.Hello) {
	n.rosterMu.Lock()
	defer n.rosterMu.Unlock()
	n.roster.Hello(n.now(), roster.Hello{
		Name: h.Name, Zone: h.Zone, Incarnation: h.Incarnation,
		Uptime: time.Duration(h.UptimeMs) * time.Millisecond, Generation: h.Generation,
	})
}

// serve returns the reply to one request, or nil if no handler replies.
func (n *Node) serve(ctx context.Context, from string, m *gen.Message) *gen.Message {
	if m.Facts != nil {
		return n.acknowledge(from, m.Facts)
	}
	n.handlersMu.RLock()
	handlers := n.handlers
	n.handlersMu.RUnlock()
	for _, h := range handlers {
		if reply := h(ctx, from, m); reply != nil {
			return reply
		}
	}
	return nil
}

// Call sends a request to a VM and returns its reply. A call to this VM itself goes
// directly to its own handlers.
func (n *Node) Call(ctx context.Context, vm string, m *gen.Message) (*gen.Message, error) {
	return n.call(ctx, vm, m, nil)
}

// Delegate has another VM run a caller's request and waits for the reply as long as
// notices come that the request runs. It fails with ErrNotSent if the VM did not get the
// request or does not run it, and with ErrSilent if a notice is overdue.
func (n *Node) Delegate(ctx context.Context, vm string, d *gen.Delegate, w Watch) (*gen.Message, error) {
	d.SentUs = int(n.now().Microseconds())
	return n.call(ctx, vm, &gen.Message{Delegate: d}, &w)
}

// Watch is what the sender of a delegated request does while it runs.
type Watch struct {
	// OnNotice is called with each notice; may be nil. confirm confirms what the notice announces;
	// it may be called later and from any goroutine.
	OnNotice func(a *gen.Accepted, confirm func())
	// Finish is closed to have the VM reply with what it has; may be nil.
	Finish <-chan struct{}
}

// call sends a request and returns its reply. A call with a Watch is watched.
func (n *Node) call(ctx context.Context, vm string, m *gen.Message, w *Watch) (*gen.Message, error) {
	if vm == n.name {
		if reply := n.serve(ctx, n.name, m); reply != nil {
			return reply, nil
		}
		return nil, ErrUnknownVM
	}
	c, err := n.connectFor(ctx, vm, w != nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if m.Delegate != nil && !n.mayDelegate(c.incarnation) {
		return nil, fmt.Errorf("%w: %w: incarnation %s", ErrNotSent, errNoDelegate, c.incarnation)
	}
	return c.call(ctx, m, w)
}

// connectFor is like connect, but limits the wait of a watched call to the time allowed for
// the first notice.
func (n *Node) connectFor(ctx context.Context, vm string, watched bool) (*conn, error) {
	if watched {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, firstNoticeTicks*watchTick)
		defer cancel()
	}
	return n.connect(ctx, vm)
}

// Run maintains the connections to neighbours and exchanges facts until ctx ends, then
// closes the node.
func (n *Node) Run(ctx context.Context) {
	var wg sync.WaitGroup
	n.lastTick.Store(int64(n.now()))
	n.running.Store(true)
	wg.Go(func() { n.watchClock(ctx) })
	wg.Go(func() { n.keepNeighbours(ctx) })
	wg.Go(func() { n.pushLoop(ctx, &n.gossip.urgent) })
	wg.Go(func() { n.pushLoop(ctx, &n.gossip.deferrable) })
	wg.Go(func() { n.digestLoop(ctx) })
	<-ctx.Done()
	wg.Wait()
	n.Close()
}

// Close closes every connection, refuses new ones and waits until none is served.
func (n *Node) Close() {
	n.cancel()
	for _, c := range n.table.close() {
		c.close(cutStop)
	}
	n.table.serving.Wait()
}
