// Package peer connects a VM to the other VMs by WebSocket and CBOR: it keeps
// connections to its neighbours and on demand to any VM, exchanges facts, and
// carries requests and replies. The table of connections, the roster and the facts
// waiting to be pushed each have a lock of their own; no two are held together.
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
	gen "github.com/sardinespindle/sardinespindle/schema/gen/peer"
	"github.com/sardinespindle/sardinespindle/schema/gen/platform"
)

// Errors of calls to other VMs.
var (
	// ErrUnknownVM: the roster holds no VM of that name, or no address of it.
	ErrUnknownVM = errors.New("unknown VM")
	// ErrUnreachable: the VM could not be connected to a moment ago.
	ErrUnreachable = errors.New("VM unreachable")
	// ErrNotSent: the request did not reach the VM, or the VM did not run it.
	ErrNotSent = errors.New("request not sent")
	// ErrSilent: the VM stopped to say that it runs the request, or never did.
	ErrSilent = errors.New("VM silent")
)

// Options configure a Node.
type Options struct {
	Name        string
	Zone        string
	Incarnation string
	// Started is the reading of Now when the process started.
	Started time.Duration
	// ListenIP is the IP number that connections are dialed from; empty for any.
	ListenIP string
	// Generation returns the generation and digest of the manifest in force.
	Generation func() (int, string)
	Log        *log.Logger
	Registerer prometheus.Registerer
	// Now reads a clock that runs through a suspended process; clock.Boot if nil.
	Now func() time.Duration
	// Dial opens outgoing connections; a dialer from ListenIP if nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Accept says whether a connection from a remote IP number may come in; nil for
	// any.
	Accept func(remoteIP string) bool
	// Limits bound what one peer may send; DefaultLimits if nil.
	Limits *Limits
}

// Handler answers a request of another VM, or returns nil where the message is not
// its own.
type Handler func(ctx context.Context, from string, m *gen.Message) *gen.Message

// Node is this VM among the others.
type Node struct {
	limits     Limits
	name       string
	zone       string
	inc        string
	started    time.Duration
	generation func() (int, string)
	now        func() time.Duration
	accept     func(string) bool
	log        *log.Logger
	metrics    *metrics
	facts      *facts.Store
	dialer     dialer

	base   context.Context
	cancel context.CancelFunc

	table     table
	penalties penalties
	gossip    gossip

	rosterMu sync.Mutex
	roster   *roster.Roster

	// tick is when the clock of this process was last seen to run.
	tick    atomic.Int64
	running atomic.Bool

	handlersMu sync.RWMutex
	handlers   []Handler
	onSpread   []func(facts.Fact)

	relayMu  sync.Mutex
	shortage time.Duration
	relay    bool
	restate  time.Duration
}

// New returns a Node that accepts connections through Handler and opens its own
// once Run runs.
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
	if o.Limits == nil {
		o.Limits = &DefaultLimits
	}
	n := &Node{
		limits: *o.Limits,
		name:   o.Name, zone: o.Zone, inc: o.Incarnation, started: o.Started,
		generation: o.Generation, now: o.Now, accept: o.Accept, log: o.Log,
		metrics: newMetrics(o.Registerer),
		facts: facts.New(facts.Options{
			Name: o.Name, Incarnation: o.Incarnation, Now: o.Now, Registerer: o.Registerer,
		}),
		dialer: newDialer(o),
		roster: roster.New(),
	}
	n.tick.Store(int64(n.now()))
	n.base, n.cancel = context.WithCancel(context.Background())
	n.table.init()
	n.penalties.init()
	n.gossip.init()
	n.facts.Watch("", n.own)
	n.facts.Watch("vm/", n.leaves)
	return n
}

// Facts returns the facts that this VM knows.
func (n *Node) Facts() *facts.Store { return n.facts }

// Handle registers a handler of requests. A message goes to the handlers in turn
// until one returns a reply.
func (n *Node) Handle(h Handler) {
	n.handlersMu.Lock()
	defer n.handlersMu.Unlock()
	n.handlers = append(n.handlers, h)
}

// OnSpread registers a function that is called with each fact that another VM
// spreads, after it is merged and before it is acknowledged.
func (n *Node) OnSpread(fn func(facts.Fact)) {
	n.handlersMu.Lock()
	defer n.handlersMu.Unlock()
	n.onSpread = append(n.onSpread, fn)
}

// SetVMs takes the platform's list. An empty list is not believed: this VM at least
// is running.
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
	n.roster.List(n.now(), listed)
}

// SetMembers takes a list of VMs that were found without the platform, with their zones
// by name; address tells where a VM listens for peers.
func (n *Node) SetMembers(zones map[string]string, address func(name string) string) {
	listed := make([]roster.Listed, 0, len(zones))
	for name, zone := range zones {
		listed = append(listed, roster.Listed{Name: name, Zone: zone, Address: address(name)})
	}
	n.rosterMu.Lock()
	defer n.rosterMu.Unlock()
	n.roster.List(n.now(), listed)
}

// Name returns this VM's name.
func (n *Node) Name() string { return n.name }

// Roster returns every member of the fleet by name, this VM and those lately
// removed included.
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
		Name: n.name, Zone: n.zone, Incarnation: n.inc,
		Uptime: now - n.started, Generation: generation,
	}
}

func (n *Node) hello() *gen.Message {
	generation, digest := n.generation()
	return &gen.Message{Hello: &gen.Hello{
		Name: n.name, Zone: n.zone, Incarnation: n.inc,
		Generation: generation, HeadDigest: digest,
		UptimeMs: int((n.now() - n.started).Milliseconds()),
	}}
}

// leaves takes a VM's word that it leaves; nobody else's word counts.
func (n *Node) leaves(f facts.Fact) {
	name, inc := f.VM(), f.Origin[len(f.VM()):]
	if f.Key != "vm/"+name || f.Value != "leaving" || inc == "" {
		return
	}
	n.rosterMu.Lock()
	defer n.rosterMu.Unlock()
	n.roster.Leaves(name, inc[1:], f.Expires)
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

func (n *Node) heard(h *gen.Hello) {
	n.rosterMu.Lock()
	defer n.rosterMu.Unlock()
	n.roster.Hello(n.now(), roster.Hello{
		Name: h.Name, Zone: h.Zone, Incarnation: h.Incarnation,
		Uptime: time.Duration(h.UptimeMs) * time.Millisecond, Generation: h.Generation,
	})
}

// serve answers one request.
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

// Call sends a request to a VM and returns its reply. A call to this VM itself is
// answered by its own handlers.
func (n *Node) Call(ctx context.Context, vm string, m *gen.Message) (*gen.Message, error) {
	return n.call(ctx, vm, m, false)
}

// Delegate hands a caller's request to a VM and waits for as long as that VM says that it
// runs it. It fails with ErrNotSent where the VM cannot have it, with ErrSilent where the
// VM is not heard of.
func (n *Node) Delegate(ctx context.Context, vm string, d *gen.Delegate) (*gen.Message, error) {
	return n.call(ctx, vm, &gen.Message{Delegate: d}, true)
}

func (n *Node) call(ctx context.Context, vm string, m *gen.Message, watched bool) (*gen.Message, error) {
	if vm == n.name {
		if reply := n.serve(ctx, n.name, m); reply != nil {
			return reply, nil
		}
		return nil, ErrUnknownVM
	}
	c, err := n.connectFor(ctx, vm, watched)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return c.call(ctx, m, watched)
}

// connectFor is connect; for a watched call it waits no longer than for a first notice.
func (n *Node) connectFor(ctx context.Context, vm string, watched bool) (*conn, error) {
	if watched {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, acceptTicks*watchInterval)
		defer cancel()
	}
	return n.connect(ctx, vm)
}

// Run keeps the neighbours connected and exchanges facts until ctx ends, then
// closes every connection.
func (n *Node) Run(ctx context.Context) {
	var wg sync.WaitGroup
	n.tick.Store(int64(n.now()))
	n.running.Store(true)
	wg.Go(func() { n.watchClock(ctx) })
	wg.Go(func() { n.keepNeighbours(ctx) })
	wg.Go(func() { n.pushLoop(ctx, &n.gossip.urgent) })
	wg.Go(func() { n.pushLoop(ctx, &n.gossip.calm) })
	wg.Go(func() { n.digestLoop(ctx) })
	<-ctx.Done()
	wg.Wait()
	n.Close()
}

// Close ends every connection and refuses new ones.
func (n *Node) Close() {
	n.cancel()
	for _, c := range n.table.shut() {
		c.close(cutStop)
	}
	n.table.serving.Wait()
}
