// Package poison keeps requests that crash upstreams from crashing more of them.
// It shares suspicions among the VMs as facts and asks the fleet before a suspected
// request runs again. Records are kept in shards, each under its own lock; no lock
// is held while the fleet is asked.
package poison

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"github.com/sardinespindle/sardinespindle/internal/clock"
	"github.com/sardinespindle/sardinespindle/internal/facts"
	policy "github.com/sardinespindle/sardinespindle/internal/policy/poison"
	"github.com/sardinespindle/sardinespindle/internal/policy/roster"
)

// Bounds of the tables and of the time spent asking.
const (
	shards          = 16
	recordsPerShard = 256
	recentPerShard  = 512
	// askTimeout bounds how long the fleet is waited for.
	askTimeout = 50 * time.Millisecond
	// spreadRate and spreadBurst bound the spreads, as when an upstream is lost that
	// many requests were running on.
	spreadRate  = rate.Limit(20)
	spreadBurst = 40
	// comeBack is when to come back for a request that another VM may be running.
	comeBack = time.Second
)

// Keys of facts: the lost attempts under their ids, and two kinds of their own.
const (
	prefix   = "crash/"
	run      = "!run"
	answered = "!answered"
	idle     = "idle"
)

// Fleet is what this package needs of the other VMs.
type Fleet interface {
	// SpreadTo states a fact directly to some VMs and returns how many acknowledged
	// it; what they know under its prefix is merged on the way.
	SpreadTo(ctx context.Context, f facts.Fact, vms []string) int
	// OnSpread registers a function called with each fact before it is acknowledged.
	OnSpread(fn func(facts.Fact))
	Facts() *facts.Store
	Roster() []roster.Member
}

// Options configure a Guard.
type Options struct {
	// VM is this VM's name.
	VM    string
	Fleet Fleet
	// Now reads a clock that runs through a suspended process; clock.Boot if nil.
	Now        func() time.Duration
	Off        bool // Off turns the mechanism off, for experiments.
	Registerer prometheus.Registerer
}

// Guard knows the fingerprints that are suspected of crashing upstreams.
type Guard struct {
	vm     string
	fleet  Fleet
	now    func() time.Duration
	off    bool
	shards [shards]shard
	budget *rate.Limiter
	events *prometheus.CounterVec
}

type shard struct {
	mu      sync.Mutex
	records *lru.Cache[string, *policy.Record]
	// recent holds what this VM lately ran and answered itself.
	recent *lru.Cache[string, recent]
}

// New returns a Guard that follows the fleet's facts.
func New(o Options) *Guard {
	if o.Now == nil {
		o.Now = clock.Boot
	}
	g := &Guard{vm: o.VM, fleet: o.Fleet, now: o.Now, off: o.Off}
	g.budget = rate.NewLimiter(spreadRate, spreadBurst)
	for i := range g.shards {
		g.shards[i].records = mustLRU[*policy.Record](recordsPerShard)
		g.shards[i].recent = mustLRU[recent](recentPerShard)
	}
	g.events = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "spindle_poison_events_total",
		Help: "Losses and refusals of requests suspected of crashing upstreams, by event.",
	}, []string{"event"})
	if o.Registerer != nil {
		o.Registerer.MustRegister(g.events)
	}
	if !o.Off {
		g.fleet.Facts().Watch(prefix, g.learn)
		g.fleet.OnSpread(g.asked)
	}
	return g
}

func mustLRU[V any](size int) *lru.Cache[string, V] {
	c, err := lru.New[string, V](size)
	if err != nil {
		panic("poison: " + err.Error())
	}
	return c
}

func (g *Guard) shard(fingerprint string) *shard {
	h := uint32(2166136261)
	for i := range len(fingerprint) {
		h = (h ^ uint32(fingerprint[i])) * 16777619
	}
	return &g.shards[h%shards]
}

// Refused reports whether a request must not run now, and when to come back. It is
// asked before each attempt. A request without suspicion costs no message; a
// suspected one is asked about in the fleet, for a bounded time.
func (g *Guard) Refused(fingerprint string) (time.Duration, bool) {
	if g.off {
		return 0, false
	}
	now := g.now()
	verdict, retryAfter := g.record(fingerprint).Judge(now)
	switch verdict {
	case policy.Free:
		g.started(fingerprint, now)
		return 0, false
	case policy.Refuse:
		g.events.WithLabelValues("refused").Inc()
		return retryAfter, true
	}
	return g.ask(fingerprint)
}

// Suspected reports whether a request has a suspicion that does not refuse it yet. A
// search that is permitted to run it had better try one shard before the others.
func (g *Guard) Suspected(fingerprint string) bool {
	verdict, _ := g.record(fingerprint).Judge(g.now())
	return !g.off && verdict == policy.Ask
}

// ask asks the fleet whether a suspected request may run here. It may not while
// another run of it is under way on this VM.
func (g *Guard) ask(fingerprint string) (time.Duration, bool) {
	if !g.reserve(fingerprint) {
		g.events.WithLabelValues("not_permitted").Inc()
		return comeBack, true
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	store := g.fleet.Facts()
	g.setTold(fingerprint, true)
	f := store.State(prefix+fingerprint+"/"+run, "", policy.RunLease)
	acks, guards := g.spread(ctx, fingerprint, f)
	g.refresh(fingerprint)
	record := g.record(fingerprint)
	if record.Permit(g.now(), store.Origin(), acks, guards) {
		g.events.WithLabelValues("permitted").Inc()
		return 0, false
	}
	g.ended(fingerprint)
	g.withdraw(fingerprint)
	g.events.WithLabelValues("not_permitted").Inc()
	verdict, retryAfter := record.Judge(g.now())
	if verdict == policy.Refuse {
		return retryAfter, true
	}
	return comeBack, true
}

// withdraw says that this VM does not run a fingerprint any more, where it had said
// that it does.
func (g *Guard) withdraw(fingerprint string) {
	if !g.setTold(fingerprint, false) {
		return
	}
	g.fleet.Facts().Put(prefix+fingerprint+"/"+run, idle, policy.RunLease)
}

// Crashed takes a connection that was lost while an attempt of the request ran. It
// returns once the fleet has acknowledged the suspicion, or after a bounded time.
func (g *Guard) Crashed(ctx context.Context, fingerprint, requestID string) {
	if g.off {
		return
	}
	if g.ended(fingerprint) {
		g.events.WithLabelValues("loss_of_proven").Inc()
		return
	}
	g.events.WithLabelValues("loss").Inc()
	if verdict, _ := g.record(fingerprint).Judge(g.now()); verdict == policy.Refuse {
		return // the fleet knows enough of it
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	g.withdraw(fingerprint)
	id := strings.ReplaceAll(requestID, "/", "_")
	f := g.fleet.Facts().State(prefix+fingerprint+"/"+id, "", policy.Expiry)
	g.spread(ctx, fingerprint, f)
}

// spread states a fact to the fingerprint's guards. It returns how many of them have
// it, this VM included where it is one, and how many there are. Out of budget it
// leaves the fact to the gossip, and nobody has acknowledged it.
func (g *Guard) spread(ctx context.Context, fingerprint string, f facts.Fact) (acks, guards int) {
	names := roster.Guards(g.fleet.Roster(), fingerprint, policy.Guards)
	if !g.budget.AllowN(time.Unix(0, int64(g.now())), 1) {
		g.events.WithLabelValues("out_of_budget").Inc()
		return 0, len(names)
	}
	others := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == g.vm })
	return g.fleet.SpreadTo(ctx, f, others) + len(names) - len(others), len(names)
}

// Answered takes a whole answer to the request, from every upstream that it needs.
// It lifts the suspicions known so far. It must not be called for a partial answer.
func (g *Guard) Answered(fingerprint string) {
	if g.off {
		return
	}
	now := g.now()
	sh := g.shard(fingerprint)
	sh.mu.Lock()
	r, _ := sh.recent.Get(fingerprint)
	r = r.end()
	r.answered, r.proven = now, true
	sh.recent.Add(fingerprint, r)
	sh.mu.Unlock()
	record := g.record(fingerprint)
	if len(record.Losses) == 0 {
		return
	}
	var ids []string
	for id := range record.Losses {
		ids = append(ids, id)
	}
	g.withdraw(fingerprint)
	g.fleet.Facts().Put(prefix+fingerprint+"/"+answered, strings.Join(ids, "\n"), policy.Expiry)
	g.events.WithLabelValues("cleared").Inc()
}

// asked is called with each fact that another VM spreads, before it is
// acknowledged: where this VM may be running the fingerprint, it says so.
func (g *Guard) asked(f facts.Fact) {
	fingerprint, _, ok := parse(f.Key)
	if !ok {
		return
	}
	g.learn(f)
	sh := g.shard(fingerprint)
	sh.mu.Lock()
	r, _ := sh.recent.Get(fingerprint)
	sh.mu.Unlock()
	if left := r.left(g.now()); left > 0 {
		g.setTold(fingerprint, true)
		g.fleet.Facts().Put(prefix+fingerprint+"/"+run, "", left)
	}
}

// refresh takes what the store knows of a fingerprint; a watcher's call may still
// be on its way.
func (g *Guard) refresh(fingerprint string) {
	for _, f := range g.fleet.Facts().List(prefix + fingerprint + "/") {
		g.learn(f)
	}
}

// learn takes a fact about a fingerprint.
func (g *Guard) learn(f facts.Fact) {
	fingerprint, id, ok := parse(f.Key)
	if !ok {
		return
	}
	sh := g.shard(fingerprint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	r, ok := sh.records.Get(fingerprint)
	if !ok {
		r = &policy.Record{
			Losses: map[string]time.Duration{}, Cleared: map[string]time.Duration{}, Runs: map[string]time.Duration{},
		}
		sh.records.Add(fingerprint, r)
	}
	g.note(r, id, f)
}

func (g *Guard) note(r *policy.Record, id string, f facts.Fact) {
	now := g.now()
	for _, m := range []map[string]time.Duration{r.Losses, r.Cleared, r.Runs} {
		maps.DeleteFunc(m, func(_ string, until time.Duration) bool { return until <= now })
	}
	switch {
	case id == run && f.Value == idle:
		delete(r.Runs, f.Origin)
	case id == run && len(r.Runs) < roster.MaxMembers:
		r.Runs[f.Origin] = f.Expires
	case id == answered:
		for _, lost := range strings.SplitN(f.Value, "\n", policy.MaxLosses+1) {
			r.Cleared[lost] = f.Expires
		}
	case id != run && len(r.Losses) < policy.MaxLosses:
		r.Losses[id] = f.Expires
	}
}

// record returns a copy of what is known of a fingerprint.
func (g *Guard) record(fingerprint string) policy.Record {
	sh := g.shard(fingerprint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	r, ok := sh.records.Peek(fingerprint)
	if !ok {
		return policy.Record{}
	}
	return policy.Record{Losses: maps.Clone(r.Losses), Cleared: maps.Clone(r.Cleared), Runs: maps.Clone(r.Runs)}
}

func parse(key string) (fingerprint, id string, ok bool) {
	rest, ok := strings.CutPrefix(key, prefix)
	if !ok {
		return "", "", false
	}
	return strings.Cut(rest, "/")
}
