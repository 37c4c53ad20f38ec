package upstream

import (
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/policy/replica"
)

// Errors of Pick and PickPassThrough, besides WaitError; Do returns some of them with class NotSent.
// Nothing was sent when one is returned. If the upstreams' reasons differ, ErrLimited takes
// precedence, then WaitError; without them, any one is returned.
var (
	// ErrNoReplica: the manifest has no other upstream for the shard.
	ErrNoReplica = errors.New("upstream: no replica")
	// ErrDraining: the remaining upstreams are draining or say that they leave.
	ErrDraining = errors.New("upstream: every replica is draining")
	// ErrNoShare: this VM may open no connection to the remaining upstreams.
	ErrNoShare = errors.New("upstream: no connection share")
	// ErrNoHedgeTarget: the remaining upstreams are suspect, shed or queue requests, so that no
	// hedge may go there.
	ErrNoHedgeTarget = errors.New("upstream: no replica fit for a hedge")
	// ErrUnreachable: this VM reaches no upstream, of any workload.
	ErrUnreachable = errors.New("upstream: no upstream can be reached from this VM")
	// ErrLimited: a remaining upstream is at its concurrency limit and no other is available.
	ErrLimited = errors.New("upstream: every replica is at its limit")
)

// Ticket is a picked replica with a concurrency slot. Do uses it once, or Cancel
// releases the slot.
type Ticket struct {
	server      *server
	metrics     *workloadMetrics
	pickedAt    time.Duration
	used        atomic.Bool
	passThrough bool // picked by PickPassThrough
	rateTaken   bool // one request of the share of the upstream's limit was taken
}

// Address returns the address of the picked replica.
func (t *Ticket) Address() string { return t.server.address }

// Cancel releases the slot; it does nothing if the ticket was used.
func (t *Ticket) Cancel() {
	if t.used.CompareAndSwap(false, true) {
		t.server.releaseSlot(t)
	}
}

// maxCandidates bounds how many replicas of a tier are compared by cost, and how many are
// tried in one Pick.
const maxCandidates = 8

// Pick picks a replica of a shard, except the excluded addresses, and takes one of its
// slots. shard is empty for a workload that is not sharded. A hedge goes to no suspect,
// shedding or queueing replica, except under the baseline policy. Pick never blocks.
func (c *Client) Pick(w *manifest.Workload, shard string, exclude []string, hedge bool) (*Ticket, error) {
	g := c.current.Load().groups[groupKey{string(w.Name), shard}]
	if g == nil {
		return nil, c.countPickError(w, ErrNoReplica)
	}
	now := c.opts.Now()
	var tried [maxCandidates]*server
	for n := 0; n < len(tried); n++ {
		s, err := c.choose(g, now, exclude, tried[:n], hedge)
		if err != nil {
			return nil, c.countPickError(w, err)
		}
		if s.takeSlot(c.rules) {
			return &Ticket{server: s, metrics: g.metrics.get(), pickedAt: now}, nil
		}
		tried[n] = s
	}
	return nil, c.countPickError(w, ErrLimited)
}

// countPickError counts a failed pick by the reason that err gives, and returns err.
func (c *Client) countPickError(w *manifest.Workload, err error) error {
	reason := "no_replica"
	switch {
	case errors.Is(err, ErrDraining):
		reason = "draining"
	case errors.Is(err, ErrLimited):
		reason = "limited"
	case errors.Is(err, ErrNoHedgeTarget):
		reason = "unfit"
	case errors.Is(err, ErrNoShare):
		reason = "no_share"
	case errors.Is(err, ErrUnreachable):
		reason = "unreachable"
	case WaitLeft(err) > 0:
		reason = WaitReason(err)
	}
	c.metrics.refusals.WithLabelValues(string(w.Name), reason).Inc()
	return err
}

// tier is a group's replicas of equal preference, with their costs.
type tier struct {
	servers [maxCandidates]*server
	costs   [maxCandidates]float64
	n       int
	idle    bool // at least one has no request of this VM and no queue
}

// add adds a replica unless the tier is full.
func (t *tier) add(s *server, cost float64) {
	if t.n < maxCandidates {
		t.servers[t.n], t.costs[t.n] = s, cost
		t.n++
	}
}

// addAll adds the replicas of another tier.
func (t *tier) addAll(o *tier) {
	for i := range o.n {
		t.add(o.servers[i], o.costs[i])
	}
}

// minCost returns the lowest cost; infinity if the tier is empty.
func (t *tier) minCost() float64 {
	least := math.Inf(1)
	for _, c := range t.costs[:t.n] {
		least = min(least, c)
	}
	return least
}

// choose picks one of a group's replicas by cost. A replica with a lease is preferred to
// one that needs a probe, which costs a round trip. Both kinds are compared if no replica
// with a lease is idle, or if those with a lease cost much more. Suspect replicas come
// last.
func (c *Client) choose(g *group, now time.Duration, exclude []string, tried []*server, hedge bool) (*server, error) {
	var leased, expired, suspect tier
	pickErr := ErrNoReplica
	start := 0
	if len(g.servers) > 0 {
		start = rand.IntN(len(g.servers))
	}
	for i := range g.servers {
		s := g.servers[(start+i)%len(g.servers)]
		if slices.Contains(exclude, s.address) {
			continue
		}
		if slices.Contains(tried, s) { // it reached its limit during this pick
			pickErr = preferredPickError(pickErr, ErrLimited)
			continue
		}
		cand := s.evaluate(now, c.rules, hedge)
		switch {
		case cand.err != nil:
			pickErr = preferredPickError(pickErr, cand.err)
		case cand.suspect:
			suspect.add(s, cand.cost)
		case cand.leased:
			leased.add(s, cand.cost)
			leased.idle = leased.idle || cand.idle
		default:
			expired.add(s, cand.cost)
		}
	}
	if !leased.idle || replica.WorthProbe(leased.minCost(), expired.minCost()) {
		leased.addAll(&expired)
	}
	switch {
	case leased.n > 0:
		return leased.servers[c.chooseByCost(leased.costs[:leased.n])], nil
	case suspect.n > 0:
		return suspect.servers[c.chooseByCost(suspect.costs[:suspect.n])], nil
	default:
		return nil, pickErr
	}
}

// chooseByCost returns an index chosen by cost, or at random under the baseline policy.
func (c *Client) chooseByCost(costs []float64) int {
	if c.opts.Mechanisms.Baseline() {
		return rand.IntN(len(costs))
	}
	return replica.Choose(costs, rand.Float64())
}

// preferredPickError returns which of two errors to report: ErrLimited first, since a
// slot becomes free sooner than a pause or a drain ends, then the shorter wait, and ErrNoReplica
// last.
func preferredPickError(a, b error) error {
	waitA, waitB := WaitLeft(a), WaitLeft(b)
	switch {
	case errors.Is(a, ErrLimited) || errors.Is(b, ErrNoReplica):
		return a
	case errors.Is(b, ErrLimited):
		return b
	case waitA > 0 && (waitB == 0 || waitA <= waitB):
		return a
	default:
		return b
	}
}
