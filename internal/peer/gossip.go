package peer

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/sardinespindle/sardinespindle/internal/facts"
	rules "github.com/sardinespindle/sardinespindle/internal/policy/facts"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/peer"
)

// Times and bounds of the exchange of facts.
const (
	// pushDelay is the mean time in which facts are gathered into one message.
	pushDelay = 20 * time.Millisecond
	// pushRate and pushBurst bound the bytes pushed to all neighbours together.
	pushRate  = rate.Limit(16 << 10)
	pushBurst = 128 << 10
	// pushFacts bounds the facts of one push.
	pushFacts = 256
	// maxWaiting bounds the facts waiting to be pushed; the digests repair the rest.
	maxWaiting = 4096
	// digestInterval is the mean time between two digests.
	digestInterval = time.Second
	// repairBytes bounds what one digest is answered with.
	repairBytes = 32 << 10
	// maxSpreading bounds the calls that one spread has under way.
	maxSpreading = 128
	// gossipLife is how long a connection counts as a neighbour's after a digest.
	gossipLife = time.Minute
)

// gossip holds the facts waiting to be pushed.
type gossip struct {
	mu      sync.Mutex
	waiting map[rules.ID]waiting
	wake    chan struct{}
	budget  *rate.Limiter
}

type waiting struct {
	fact rules.Fact
	// known holds the peers that the fact was heard from.
	known []string
}

func (g *gossip) init() {
	g.waiting = map[rules.ID]waiting{}
	g.wake = make(chan struct{}, 1)
	g.budget = rate.NewLimiter(pushRate, pushBurst)
}

// add queues a fact heard from a peer; from is empty for this VM's own.
func (g *gossip) add(f rules.Fact, from string) {
	g.mu.Lock()
	if _, has := g.waiting[f.ID()]; has || len(g.waiting) < maxWaiting {
		g.waiting[f.ID()] = waiting{f, []string{from}}
	}
	g.mu.Unlock()
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// heardAgain notes that a peer knows a fact that still waits to be pushed.
func (g *gossip) heardAgain(f rules.Fact, from string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w, ok := g.waiting[f.ID()]; ok && w.fact.Version == f.Version {
		w.known = append(w.known, from)
		g.waiting[f.ID()] = w
	}
}

// take removes up to a number of bytes of facts, the most urgent first.
func (g *gossip) take(maxBytes int) []waiting {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make([]rules.Fact, 0, len(g.waiting))
	for _, w := range g.waiting {
		all = append(all, w.fact)
	}
	chosen, _ := rules.Select(all, pushFacts, maxBytes)
	out := make([]waiting, len(chosen))
	for i, f := range chosen {
		out[i] = g.waiting[f.ID()]
		delete(g.waiting, f.ID())
	}
	return out
}

func (g *gossip) empty() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.waiting) == 0
}

// own queues a fact stated by this VM.
func (n *Node) own(f facts.Fact) {
	if f.Origin == n.facts.Origin() {
		n.gossip.add(f, "")
	}
}

// learn merges facts heard from a peer and passes the news on.
func (n *Node) learn(from string, m *gen.Facts) {
	for _, f := range fromWire(n.now(), m) {
		if n.facts.Merge([]facts.Fact{f}) > 0 {
			n.gossip.add(f, from)
		} else {
			n.gossip.heardAgain(f, from)
		}
	}
}

func (n *Node) pushLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.gossip.wake:
		}
		if !sleep(ctx, pushDelay/2+rand.N(pushDelay)) {
			return
		}
		n.push()
		if !n.gossip.empty() {
			n.wakePush()
		}
	}
}

func (n *Node) wakePush() {
	select {
	case n.gossip.wake <- struct{}{}:
	default:
	}
}

// push sends waiting facts to the neighbours that this VM chose, within the budget
// of bytes. A VM that nobody chose hears by the digests it sends.
func (n *Node) push() {
	now := n.now()
	targets := slices.DeleteFunc(n.gossipConns(), func(c *conn) bool { return !c.chosen(now) })
	if len(targets) == 0 {
		n.gossip.take(pushBurst)
		return
	}
	wall := time.Now()
	share := int(n.gossip.budget.TokensAt(wall)) / len(targets)
	batch := n.gossip.take(share)
	size := 0
	for _, c := range targets {
		size += n.pushTo(c, batch)
	}
	n.gossip.budget.ReserveN(wall, min(size, pushBurst))
}

func (n *Node) pushTo(c *conn, batch []waiting) int {
	var fs []rules.Fact
	size := 0
	for _, w := range batch {
		if w.fact.VM() != c.peer && !slices.Contains(w.known, c.peer) {
			fs = append(fs, w.fact)
			size += w.fact.Size()
		}
	}
	n.sendFacts(c, fs)
	return size
}

func (n *Node) sendFacts(c *conn, fs []rules.Fact) {
	if len(fs) == 0 {
		return
	}
	if err := c.send(&gen.Message{Facts: toWire(n.now(), fs)}); err != nil {
		n.log.Debug("facts not sent", "peer", c.peer, "err", err)
	}
}

// gossipConns returns one connection to each neighbour of either side.
func (n *Node) gossipConns() []*conn {
	now := n.now()
	byPeer := map[string]*conn{}
	for _, c := range n.table.all() {
		if old := byPeer[c.peer]; c.gossips(now) && (old == nil || c.dialed && !old.dialed) {
			byPeer[c.peer] = c
		}
	}
	return slices.Collect(maps.Values(byPeer))
}

func (n *Node) digestLoop(ctx context.Context) {
	for {
		jitter := 0.5 + rand.Float64()
		if !sleep(ctx, time.Duration(jitter*float64(digestInterval))) {
			return
		}
		n.facts.Sweep()
		if conns := n.gossipConns(); len(conns) > 0 {
			n.sendDigest(conns[rand.IntN(len(conns))])
		}
	}
}

func (n *Node) sendDigest(c *conn) {
	if err := c.send(&gen.Message{Digest: digestToWire(n.facts.Digest())}); err != nil {
		n.log.Debug("digest not sent", "peer", c.peer, "err", err)
	}
}

// repair answers a digest with the facts of the buckets that differ. The sender
// is a neighbour from now on.
func (n *Node) repair(c *conn, m *gen.Digest) {
	c.gossipUntil.Store(int64(n.now() + gossipLife))
	if !c.digests.Allow() {
		n.metrics.dropped.WithLabelValues("digest").Inc()
		return
	}
	missing := n.facts.Missing(digestFromWire(m))
	rand.Shuffle(len(missing), func(i, j int) { missing[i], missing[j] = missing[j], missing[i] })
	chosen, _ := rules.Select(missing, pushFacts, repairBytes)
	n.sendFacts(c, chosen)
}

// Spread states a fact directly to every member of the fleet and returns how many
// acknowledged it, this VM not counted, before ctx ended.
func (n *Node) Spread(ctx context.Context, f facts.Fact) int {
	var peers []string
	for _, m := range n.Roster() {
		if m.Name != n.name {
			peers = append(peers, m.Name)
		}
	}
	return n.SpreadTo(ctx, f, peers)
}

// SpreadTo states a fact directly to some VMs and returns how many acknowledged it
// before ctx ended. What they know under the same prefix is merged on the way.
func (n *Node) SpreadTo(ctx context.Context, f facts.Fact, peers []string) int {
	m := &gen.Message{Facts: toWire(n.now(), []rules.Fact{f})}
	acks := make(chan bool, len(peers))
	slots := make(chan struct{}, maxSpreading)
	for _, vm := range peers {
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			r, err := n.Call(ctx, vm, m)
			if err != nil || r.Facts == nil {
				acks <- false
				return
			}
			n.learn(vm, r.Facts)
			acks <- true
		}()
	}
	count := 0
	for range peers {
		if <-acks {
			count++
		}
	}
	return count
}

// acknowledge merges a spread fact and answers with what is known under its prefix.
func (n *Node) acknowledge(from string, m *gen.Facts) *gen.Message {
	n.learn(from, m)
	n.handlersMu.RLock()
	hooks := n.onSpread
	n.handlersMu.RUnlock()
	var known []rules.Fact
	for _, f := range fromWire(n.now(), m) {
		for _, hook := range hooks {
			hook(f)
		}
		if i := strings.LastIndexByte(f.Key, '/'); i > 0 {
			known = append(known, n.facts.List(f.Key[:i+1])...)
		}
	}
	chosen, _ := rules.Select(known, pushFacts, repairBytes)
	return &gen.Message{Facts: toWire(n.now(), chosen)}
}
