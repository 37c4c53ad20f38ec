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

// Ticket is a picked replica with a concurrency slot. Do uses it once, or Cancel
// returns the slot.
type Ticket struct {
	server   *server
	metrics  *workloadMetrics
	pickedAt time.Duration
	used     atomic.Bool
	passed   bool // picked by PickPassThrough
}

// Address returns the address of the picked replica.
func (t *Ticket) Address() string { return t.server.address }

// Cancel returns the slot; it does nothing if the ticket was used.
func (t *Ticket) Cancel() {
	if t.used.CompareAndSwap(false, true) {
		t.server.returnSlot(t)
	}
}

// maxWeighedReplicas bounds how many replicas of a tier are weighed against each other,
// and how many are tried in one Pick.
const maxWeighedReplicas = 8

// Pick picks a replica of a shard, except the excluded addresses, and takes a slot of
// it. It never blocks.
func (c *Client) Pick(w *manifest.Workload, shard string, exclude []string, hedge bool) (*Ticket, error) {
	g := c.current.Load().groups[groupKey{string(w.Name), shard}]
	if g == nil {
		return nil, c.countRefusal(w, ErrNoReplica)
	}
	now := c.opts.Now()
	var tried [maxWeighedReplicas]*server
	for n := 0; n < len(tried); n++ {
		s, err := c.choose(g, now, exclude, tried[:n], hedge)
		if err != nil {
			return nil, c.countRefusal(w, err)
		}
		if s.takeSlot(c.rules) {
			return &Ticket{server: s, metrics: g.metrics, pickedAt: now}, nil
		}
		tried[n] = s
	}
	return nil, c.countRefusal(w, ErrLimited)
}

// countRefusal counts a pick that failed with err by reason, and returns err.
func (c *Client) countRefusal(w *manifest.Workload, err error) error {
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
	}
	c.metrics.refusals.WithLabelValues(string(w.Name), reason).Inc()
	return err
}

// tier is a group's replicas of equal preference, with their costs.
type tier struct {
	servers [maxWeighedReplicas]*server
	costs   [maxWeighedReplicas]float64
	n       int
	idle    bool // at least one has no request of this VM and no queue
}

// add adds a replica unless the tier is full.
func (t *tier) add(s *server, cost float64) {
	if t.n < maxWeighedReplicas {
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

// choose picks one of a group's replicas by cost. Replicas with a lease come before
// those that need a probe first, unless all with a lease are busy or cost much more.
// Suspect replicas come last.
func (c *Client) choose(g *group, now time.Duration, exclude []string, tried []*server, hedge bool) (*server, error) {
	var leased, expired, suspect tier
	refusal := ErrNoReplica
	start := 0
	if len(g.servers) > 0 {
		start = rand.IntN(len(g.servers))
	}
	for i := range g.servers {
		s := g.servers[(start+i)%len(g.servers)]
		if slices.Contains(exclude, s.address) || slices.Contains(tried, s) {
			continue
		}
		cand := s.evaluate(now, c.rules, hedge)
		switch {
		case cand.refusal != nil:
			refusal = preferredRefusal(refusal, cand.refusal)
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
		return nil, refusal
	}
}

// chooseByCost returns an index chosen by cost, or at random under the baseline policy.
func (c *Client) chooseByCost(costs []float64) int {
	if c.opts.Mechanisms.Baseline() {
		return rand.IntN(len(costs))
	}
	return replica.Choose(costs, rand.Float64())
}

// preferredRefusal returns which of two refusals to report: ErrLimited first, since a
// limit passes sooner than a drain, and ErrNoReplica last.
func preferredRefusal(a, b error) error {
	if errors.Is(a, ErrLimited) || errors.Is(b, ErrNoReplica) {
		return a
	}
	return b
}
