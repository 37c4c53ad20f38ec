package peer

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/sardinespindle/sardinespindle/internal/facts"
	"github.com/sardinespindle/sardinespindle/internal/pause"
	rules "github.com/sardinespindle/sardinespindle/internal/policy/facts"
	"github.com/sardinespindle/sardinespindle/internal/policy/roster"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/peer"
)

// Times and bounds of the exchange of facts.
const (
	// pushDelay is the mean time in which facts are gathered into one message, and
	// calmDelay that of calm facts.
	pushDelay = 20 * time.Millisecond
	calmDelay = 150 * time.Millisecond
	// calmFanout is the number of neighbours that one push of calm facts goes to.
	calmFanout = 3
	// calmAcross is the chance that such a push also goes to a neighbour of another
	// availability zone. Bytes between zones are paid for; of 20 VMs of a zone with three
	// such neighbours each nine pass a fact on, and digests repair the rest.
	calmAcross = 0.15
	// pushRate and pushBurst bound the bytes pushed to all neighbours together.
	pushRate  = rate.Limit(16 << 10)
	pushBurst = 128 << 10
	// pushFacts bounds the facts of one push.
	pushFacts = 256
	// maxWaiting bounds the facts waiting to be pushed; the digests repair the rest.
	maxWaiting = 4096
	// digestInterval is the mean time between two digests.
	digestInterval = time.Second
	// newcomerDigests is the same for a VM that started less than newcomerFor ago. It sends
	// the sums of all buckets, so that it is told at once what it lacks: a fleet that starts
	// at once has to know itself before it may share connections out.
	newcomerDigests = 200 * time.Millisecond
	newcomerFor     = 5 * time.Second
	// repairBytes bounds what one digest is answered with.
	repairBytes = 32 << 10
	// gossipLife is how long a connection counts as a neighbour's after a digest.
	gossipLife = time.Minute
)

// gossip holds the facts waiting to be pushed, in two queues: those that hurry and
// those that their origin restates.
type gossip struct {
	urgent queue
	calm   queue
	budget *rate.Limiter
}

func (g *gossip) init() {
	g.urgent.init(pushDelay, roster.MaxNeighbours)
	g.calm.init(calmDelay, calmFanout)
	g.budget = rate.NewLimiter(pushRate, pushBurst)
}

func (g *gossip) queue(key string) *queue {
	if rules.Calm(key) {
		return &g.calm
	}
	return &g.urgent
}

// queue holds facts for one delay.
type queue struct {
	mu      sync.Mutex // guards waiting
	waiting map[rules.ID]waiting
	delay   time.Duration
	fanout  int
	wake    chan struct{}
}

type waiting struct {
	fact rules.Fact
	// known holds the peers that the fact was heard from.
	known []string
}

func (q *queue) init(delay time.Duration, fanout int) {
	q.fanout = fanout
	q.waiting = map[rules.ID]waiting{}
	q.delay = delay
	q.wake = make(chan struct{}, 1)
}

// add queues a fact heard from a peer; from is empty for this VM's own.
func (q *queue) add(f rules.Fact, from string) {
	q.mu.Lock()
	if _, has := q.waiting[f.ID()]; has || len(q.waiting) < maxWaiting {
		q.waiting[f.ID()] = waiting{f, []string{from}}
	}
	q.mu.Unlock()
	q.rouse()
}

func (q *queue) rouse() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// heardAgain notes that a peer knows a fact that still waits to be pushed.
func (q *queue) heardAgain(f rules.Fact, from string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w, ok := q.waiting[f.ID()]; ok && w.fact.Version == f.Version && !slices.Contains(w.known, from) {
		w.known = append(w.known, from)
		q.waiting[f.ID()] = w
	}
}

// take removes up to a number of bytes of facts, the most urgent first.
func (q *queue) take(maxBytes int) []waiting {
	q.mu.Lock()
	defer q.mu.Unlock()
	all := make([]rules.Fact, 0, len(q.waiting))
	for _, w := range q.waiting {
		all = append(all, w.fact)
	}
	chosen, _ := rules.Select(all, pushFacts, maxBytes)
	out := make([]waiting, len(chosen))
	for i, f := range chosen {
		out[i] = q.waiting[f.ID()]
		delete(q.waiting, f.ID())
	}
	return out
}

func (q *queue) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting) == 0
}

// own queues a fact stated by this VM.
func (n *Node) own(f facts.Fact) {
	if f.Origin == n.facts.Origin() {
		n.gossip.queue(f.Key).add(f, "")
	}
}

// learn merges facts heard from a peer and passes the news on.
func (n *Node) learn(from string, m *gen.Facts) {
	for _, f := range fromWire(n.now(), m) {
		if n.facts.Merge([]facts.Fact{f}) > 0 {
			n.gossip.queue(f.Key).add(f, from)
		} else {
			n.gossip.queue(f.Key).heardAgain(f, from)
		}
	}
}

func (n *Node) pushLoop(ctx context.Context, q *queue) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
		}
		if !pause.For(ctx, q.delay/2+rand.N(q.delay)) {
			return
		}
		n.push(q)
		if !q.empty() {
			q.rouse()
		}
	}
}

// push sends waiting facts to the neighbours that this VM chose, within the budget
// of bytes. A VM that nobody chose hears by the digests it sends.
func (n *Node) push(q *queue) {
	now := n.now()
	targets := slices.DeleteFunc(n.gossipConns(), func(c *conn) bool { return !c.chosen(now) })
	if len(targets) == 0 {
		q.take(pushBurst)
		return
	}
	if q == &n.gossip.calm {
		targets = n.near(targets)
	}
	if len(targets) > q.fanout {
		rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
		targets = targets[:q.fanout]
	}
	wall := time.Now()
	share := int(n.gossip.budget.TokensAt(wall)) / len(targets)
	batch := q.take(share)
	size := 0
	for _, c := range targets {
		size += n.pushTo(c, batch)
	}
	n.gossip.budget.ReserveN(wall, min(size, pushBurst))
}

// near leaves most connections to other availability zones out, unless there are no
// others.
func (n *Node) near(conns []*conn) []*conn {
	if !slices.ContainsFunc(conns, func(c *conn) bool { return c.zone == n.zone }) {
		return conns
	}
	return slices.DeleteFunc(conns, func(c *conn) bool { return c.zone != n.zone && rand.Float64() >= calmAcross })
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
		interval, newcomer := digestInterval, n.Newcomer()
		if newcomer {
			interval = newcomerDigests
		}
		jitter := 0.5 + rand.Float64()
		if !pause.For(ctx, time.Duration(jitter*float64(interval))) {
			return
		}
		n.facts.Sweep()
		conns := n.near(n.gossipConns())
		if len(conns) == 0 {
			continue
		}
		sums := n.facts.Digest()
		if !newcomer {
			sums = []uint32{rules.Root(sums)}
		}
		n.sendDigest(conns[rand.IntN(len(conns))], sums)
	}
}

// Newcomer reports whether this VM started so lately that most of what it hears is news.
func (n *Node) Newcomer() bool { return n.now()-n.started < newcomerFor }

func (n *Node) sendDigest(c *conn, sums []uint32) {
	if err := c.send(&gen.Message{Digest: digestToWire(sums)}); err != nil {
		n.log.Debug("digest not sent", "peer", c.peer, "err", err)
	}
}

// repair answers a digest: one of a single sum, where it differs, with a digest of
// all buckets, and such a one with the facts of the buckets that differ. The sender
// is a neighbour from now on.
func (n *Node) repair(c *conn, m *gen.Digest) {
	c.gossipUntil.Store(int64(n.now() + gossipLife))
	if !c.digests.Allow() {
		n.metrics.dropped.WithLabelValues("digest").Inc()
		return
	}
	theirs := digestFromWire(m)
	if len(theirs) == 1 {
		if mine := n.facts.Digest(); rules.Root(mine) != theirs[0] {
			n.sendDigest(c, mine)
		}
		return
	}
	missing := n.facts.Missing(theirs)
	rand.Shuffle(len(missing), func(i, j int) { missing[i], missing[j] = missing[j], missing[i] })
	chosen, _ := rules.Select(missing, pushFacts, repairBytes)
	n.sendFacts(c, chosen)
}
