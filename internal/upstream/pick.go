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

// Ticket is a picked replica with a concurrency slot. It is used by one Do or
// given back by Cancel.
type Ticket struct {
	server   *server
	metrics  *workloadMetrics
	pickedAt time.Duration
	spent    atomic.Bool
	passed   bool // it counts among its server's passed requests
}

// Address returns the address of the picked replica.
func (t *Ticket) Address() string { return t.server.address }

// Cancel gives the slot back; it does nothing on a ticket that was used.
func (t *Ticket) Cancel() {
	if t.spent.CompareAndSwap(false, true) {
		t.server.returnSlot(t)
	}
}

// fewReplicas is the number of replicas up to which all are weighed against each other.
const maxWeighedReplicas = 8

// Pick picks a replica of a shard and takes a slot of it. It never waits.
func (c *Client) Pick(w *manifest.Workload, shard string, exclude []string, hedge bool) (*Ticket, error) {
	g := c.current.Load().groups[groupKey{string(w.Name), shard}]
	if g == nil {
		return nil, c.refuse(w, ErrNoReplica)
	}
	now := c.opts.Now()
	var tried [maxWeighedReplicas]*server
	for n := 0; n < len(tried); n++ {
		s, err := c.choose(g, now, exclude, tried[:n], hedge)
		if err != nil {
			return nil, c.refuse(w, err)
		}
		if s.takeSlot(c.rules) {
			return &Ticket{server: s, metrics: g.metrics, pickedAt: now}, nil
		}
		tried[n] = s
	}
	return nil, c.refuse(w, ErrLimited)
}

// refuse counts a refusal.
func (c *Client) refuse(w *manifest.Workload, err error) error {
	reason := "no_replica"
	switch {
	case errors.Is(err, ErrDraining):
		reason = "draining"
	case errors.Is(err, ErrLimited):
		reason = "limited"
	case errors.Is(err, ErrUnfit):
		reason = "unfit"
	case errors.Is(err, ErrNoShare):
		reason = "no_share"
	}
	c.metrics.refusals.WithLabelValues(string(w.Name), reason).Inc()
	return err
}

// tier is some of the replicas of a group, with their costs.
type tier struct {
	servers [maxWeighedReplicas]*server
	costs   [maxWeighedReplicas]float64
	n       int
	idle    bool // one of them has no request of this VM and no queue
}

// add adds a replica where there is room.
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

// least returns the least cost; infinity where the tier is empty.
func (t *tier) minCost() float64 {
	least := math.Inf(1)
	for _, c := range t.costs[:t.n] {
		least = min(least, c)
	}
	return least
}

// choose weighs the replicas of a group: those with a lease come before those that
// need a probe first, unless they are busy or cost much more, and suspects come last.
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

// pickCost chooses by cost, or at random under the baseline policy.
func (c *Client) chooseByCost(costs []float64) int {
	if c.opts.Mechanisms.Baseline() {
		return rand.IntN(len(costs))
	}
	return replica.Choose(costs, rand.Float64())
}

// worse keeps the refusal that says most: a limit passes sooner than a drain.
func preferredRefusal(a, b error) error {
	if errors.Is(a, ErrLimited) || errors.Is(b, ErrNoReplica) {
		return a
	}
	return b
}
