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
	// pushDelay is the mean time for which urgent facts are collected into one push, and
	// deferrableDelay that for deferrable facts.
	pushDelay       = 20 * time.Millisecond
	deferrableDelay = 150 * time.Millisecond
	// deferrableFanout is the number of neighbours that a push of deferrable facts goes to.
	deferrableFanout = 3
	// crossZoneChance is the chance that a neighbour in another availability zone is
	// considered for such a push or for a digest. Bytes between zones cost money. If 20 VMs
	// of a zone have three such neighbours each, at most nine pushes of a fact leave the
	// zone on average, and digests repair what these miss.
	crossZoneChance = 0.15
	// pushRate, per second, and pushBurst bound the bytes pushed to all neighbours together.
	pushRate  = rate.Limit(16 << 10)
	pushBurst = 128 << 10
	// maxPushFacts bounds the facts that this VM sends in one message.
	maxPushFacts = 256
	// maxQueuedFacts bounds the facts in one queue; digests repair what is left out.
	maxQueuedFacts = 4096
	// digestInterval is the mean time between two digests.
	digestInterval = time.Second
	// startupDigestInterval is the same for a VM that started less than startupPeriod ago.
	// Such a VM sends the digests of all buckets instead of one hash of them, so that the
	// reply already holds the facts it lacks. VMs that start together must know each other
	// before they divide the connections to the upstreams among themselves. It stops doing so
	// once it has learned nothing for newsPeriod: such replies repeat much of what it knows.
	startupDigestInterval = 200 * time.Millisecond
	startupPeriod         = 5 * time.Second
	newsPeriod            = 600 * time.Millisecond
	// maxRepairBytes bounds the facts sent in reply to one digest or spread.
	maxRepairBytes = 32 << 10
	// neighbourTTL is how long a connection counts as a neighbour's after a digest came in
	// or this side last chose the peer.
	neighbourTTL = time.Minute
)

// gossip holds the facts waiting to be pushed: urgent ones, and deferrable ones, which
// may be pushed later and to fewer neighbours.
type gossip struct {
	urgent     queue
	deferrable queue
	budget     *rate.Limiter
}

func (g *gossip) init() {
	g.urgent.init(pushDelay, roster.MaxNeighbours)
	g.deferrable.init(deferrableDelay, deferrableFanout)
	g.budget = rate.NewLimiter(pushRate, pushBurst)
}

func (g *gossip) queue(key string) *queue {
	if rules.Deferrable(key) {
		return &g.deferrable
	}
	return &g.urgent
}

// queue collects facts that are pushed after the same delay.
type queue struct {
	mu     sync.Mutex // guards facts
	facts  map[rules.ID]queuedFact
	delay  time.Duration
	fanout int
	wake   chan struct{}
}

type queuedFact struct {
	fact rules.Fact
	// knownBy holds the peers that are known to have the fact and are not sent it.
	knownBy []string
}

func (q *queue) init(delay time.Duration, fanout int) {
	q.fanout = fanout
	q.facts = map[rules.ID]queuedFact{}
	q.delay = delay
	q.wake = make(chan struct{}, 1)
}

// add queues a fact. from is the peer that sent it, empty for this VM's own facts. A full
// queue takes only newer versions of facts that it holds.
func (q *queue) add(f rules.Fact, from string) {
	q.mu.Lock()
	if _, has := q.facts[f.ID()]; has || len(q.facts) < maxQueuedFacts {
		q.facts[f.ID()] = queuedFact{f, []string{from}}
	}
	q.mu.Unlock()
	q.signal()
}

func (q *queue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// markKnown records that a peer has a fact that is still queued.
func (q *queue) markKnown(f rules.Fact, peer string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if queued, ok := q.facts[f.ID()]; ok && queued.fact.Version == f.Version && !slices.Contains(queued.knownBy, peer) {
		queued.knownBy = append(queued.knownBy, peer)
		q.facts[f.ID()] = queued
	}
}

// take removes and returns up to maxPushFacts facts and maxBytes bytes, the most urgent
// first.
func (q *queue) take(maxBytes int) []queuedFact {
	q.mu.Lock()
	defer q.mu.Unlock()
	all := make([]rules.Fact, 0, len(q.facts))
	for _, queued := range q.facts {
		all = append(all, queued.fact)
	}
	chosen, _ := rules.Select(all, maxPushFacts, maxBytes)
	out := make([]queuedFact, len(chosen))
	for i, f := range chosen {
		out[i] = q.facts[f.ID()]
		delete(q.facts, f.ID())
	}
	return out
}

func (q *queue) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.facts) == 0
}

// queueOwn queues a fact stated by this VM and ignores those of others.
func (n *Node) queueOwn(f facts.Fact) {
	if f.Origin == n.facts.Origin() {
		n.gossip.queue(f.Key).add(f, "")
	}
}

// learn merges facts received from a peer. It queues those that are new or newer, and
// records for the others that the peer has them.
func (n *Node) learn(from string, m *gen.Facts) {
	for _, f := range fromWire(n.now(), m) {
		if n.facts.Merge([]facts.Fact{f}) > 0 {
			n.learnedAt.Store(int64(n.now()))
			n.gossip.queue(f.Key).add(f, from)
		} else {
			n.gossip.queue(f.Key).markKnown(f, from)
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
		if !pause.Sleep(ctx, q.delay/2+rand.N(q.delay)) {
			return
		}
		n.push(q)
		if !q.empty() {
			q.signal()
		}
	}
}

// push sends queued facts to neighbours that this VM chose, within the budget of bytes.
// A VM that no other chose still receives facts in reply to the digests that it sends. If
// no chosen neighbour is connected, the facts are dropped; digests repair that later.
func (n *Node) push(q *queue) {
	now := n.now()
	targets := slices.DeleteFunc(n.neighbourConns(), func(c *conn) bool { return !c.chosen(now) })
	if len(targets) == 0 {
		q.take(pushBurst)
		return
	}
	if q == &n.gossip.deferrable {
		targets = n.preferOwnZone(targets)
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

// preferOwnZone leaves out most connections to other availability zones, unless there
// are none within the zone.
func (n *Node) preferOwnZone(conns []*conn) []*conn {
	if !slices.ContainsFunc(conns, func(c *conn) bool { return c.zone == n.zone }) {
		return conns
	}
	return slices.DeleteFunc(conns, func(c *conn) bool { return c.zone != n.zone && rand.Float64() >= crossZoneChance })
}

// pushTo sends a peer the facts of a batch that it is not known to have, and returns
// their size in bytes.
func (n *Node) pushTo(c *conn, batch []queuedFact) int {
	var fs []rules.Fact
	size := 0
	for _, queued := range batch {
		if queued.fact.VM() != c.peer && !slices.Contains(queued.knownBy, c.peer) {
			fs = append(fs, queued.fact)
			size += queued.fact.Size()
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

// neighbourConns returns one connection to each neighbour, whichever side chose the
// other; one that this side dialed is preferred.
func (n *Node) neighbourConns() []*conn {
	now := n.now()
	byPeer := map[string]*conn{}
	for _, c := range n.table.all() {
		if old := byPeer[c.peer]; c.isNeighbour(now) && (old == nil || c.dialed && !old.dialed) {
			byPeer[c.peer] = c
		}
	}
	return slices.Collect(maps.Values(byPeer))
}

func (n *Node) digestLoop(ctx context.Context) {
	for {
		interval, starting := digestInterval, n.JustStarted() && n.hasNews()
		if starting {
			interval = startupDigestInterval
		}
		jitter := 0.5 + rand.Float64()
		if !pause.Sleep(ctx, time.Duration(jitter*float64(interval))) {
			return
		}
		n.facts.Sweep()
		conns := n.preferOwnZone(n.neighbourConns())
		if len(conns) == 0 {
			continue
		}
		digests := n.facts.Digest()
		if !starting {
			digests = []uint32{rules.Root(digests)}
		}
		n.sendDigest(conns[rand.IntN(len(conns))], digests)
	}
}

// hasNews reports whether this VM learned a fact, or started, less than newsPeriod ago.
func (n *Node) hasNews() bool {
	return n.now()-max(time.Duration(n.learnedAt.Load()), n.started) < newsPeriod
}

// JustStarted reports whether this VM started less than startupPeriod ago, when most facts
// that it receives are new to it.
func (n *Node) JustStarted() bool { return n.now()-n.started < startupPeriod }

func (n *Node) sendDigest(c *conn, digests []uint32) {
	if err := c.send(&gen.Message{Digest: digestToWire(digests)}); err != nil {
		n.log.Debug("digest not sent", "peer", c.peer, "err", err)
	}
}

// replyToDigest replies to a digest message. If the message holds one hash of all buckets
// and this VM's differs, the reply holds the digests of all buckets. If the message holds
// these digests, the reply holds facts of the buckets that differ. The sender counts as a
// neighbour for neighbourTTL.
func (n *Node) replyToDigest(c *conn, m *gen.Digest) {
	c.neighbourUntil.Store(int64(n.now() + neighbourTTL))
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
	n.sendFacts(c, rules.Repair(missing, maxPushFacts, maxRepairBytes))
}
