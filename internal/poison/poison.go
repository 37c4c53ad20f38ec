// Package poison limits how many upstreams a poisoned request crashes. It shares connection
// losses with the other VMs as facts, and runs a suspected request only with the permission
// of the guards, a set of VMs that the fingerprint selects. A Guard may be used concurrently:
// records are sharded, each shard has its own lock, and none is held during a call to other
// VMs.
package poison

import (
	"context"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"github.com/sardinespindle/sardinespindle/internal/clock"
	"github.com/sardinespindle/sardinespindle/internal/facts"
	policy "github.com/sardinespindle/sardinespindle/internal/policy/poison"
	"github.com/sardinespindle/sardinespindle/internal/policy/roster"
)

const (
	numShards         = 16
	recordsPerShard   = 256
	localRunsPerShard = 512
	// askTimeout bounds how long a request waits for the other VMs.
	askTimeout = 50 * time.Millisecond
	// spreadRate (per second) and spreadBurst limit the facts sent directly to guards:
	// the loss of one upstream can end many requests at once.
	spreadRate  = rate.Limit(20)
	spreadBurst = 40
	// busyRetryAfter is when to retry a suspected request that may be running on this or
	// another VM, or whose run too few guards acknowledged.
	busyRetryAfter = time.Second
)

// A fact's key is keyPrefix, the fingerprint, a slash and an id: the request id of a lost
// attempt, with the shards in its value if other shards replied; runID for a VM that may be running the fingerprint, or answeredID for a list of
// lost attempts that a later answer cleared. The value idleValue of a runID fact says that
// the VM no longer runs the fingerprint.
const (
	keyPrefix  = "crash/"
	runID      = "!run"
	answeredID = "!answered"
	idleValue  = "idle"
)

// Fleet connects a Guard to the other VMs.
type Fleet interface {
	// SpreadTo sends a fact directly to some VMs and returns how many acknowledged it.
	// The facts that those VMs hold under the same prefix are merged into Facts.
	SpreadTo(ctx context.Context, f facts.Fact, vms []string) int
	// OnSpread registers a function that is called with each fact received from
	// SpreadTo, before the fact is acknowledged.
	OnSpread(fn func(facts.Fact))
	Facts() *facts.Store
	Roster() []roster.Member
}

// Options configures a Guard.
type Options struct {
	VM    string // this VM's name
	Fleet Fleet
	// Hears reports whether this VM has run since then and hears of upstreams beside those given. The default is
	// that it does.
	Hears func(ctx context.Context, since time.Duration, except []string) bool
	// Now reads a clock that also runs while the process is paused; nil for clock.Boot.
	Now        func() time.Duration
	Disabled   bool        // turns the mechanism off, for experiments
	Log        *log.Logger // may be nil
	Registerer prometheus.Registerer
}

// Guard decides whether a request may run, by the losses recorded for its fingerprint.
type Guard struct {
	vm            string
	fleet         Fleet
	now           func() time.Duration
	disabled      bool
	shards        [numShards]shard
	spreadLimiter *rate.Limiter
	hears         func(ctx context.Context, since time.Duration, except []string) bool
	log           *log.Logger
	events        *prometheus.CounterVec
}

type shard struct {
	mu      sync.Mutex
	records *lru.Cache[string, *policy.Record]
	// local holds this VM's own runs and answers.
	local *lru.Cache[string, localRuns]
}

// New returns a Guard that watches the facts of o.Fleet.
func New(o Options) *Guard {
	if o.Now == nil {
		o.Now = clock.Boot
	}
	if o.Log == nil {
		o.Log = log.New(io.Discard)
	}
	if o.Hears == nil {
		o.Hears = func(context.Context, time.Duration, []string) bool { return true }
	}
	g := &Guard{vm: o.VM, fleet: o.Fleet, now: o.Now, disabled: o.Disabled, hears: o.Hears, log: o.Log}
	g.spreadLimiter = rate.NewLimiter(spreadRate, spreadBurst)
	for i := range g.shards {
		g.shards[i].records = mustLRU[*policy.Record](recordsPerShard)
		g.shards[i].local = mustLRU[localRuns](localRunsPerShard)
	}
	g.events = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "spindle_poison_events_total",
		Help: "Losses and refusals of requests suspected of crashing upstreams, by event.",
	}, []string{"event"})
	if o.Registerer != nil {
		o.Registerer.MustRegister(g.events)
	}
	if !o.Disabled {
		g.fleet.Facts().Watch(keyPrefix, g.learn)
		g.fleet.OnSpread(g.onSpread)
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

// shard returns the shard of a fingerprint, by its 32-bit FNV-1a hash.
func (g *Guard) shard(fingerprint string) *shard {
	h := uint32(2166136261)
	for i := range len(fingerprint) {
		h = (h ^ uint32(fingerprint[i])) * 16777619
	}
	return &g.shards[h%numShards]
}

// Refused reports whether a request must not run now, and when to retry. It is called
// before each attempt; if it reports false, the run counts as started. Only for a
// suspected request are other VMs asked, for at most askTimeout.
func (g *Guard) Refused(fingerprint string) (time.Duration, bool) {
	retryAfter, _, refused := g.decide(fingerprint)
	return retryAfter, refused
}

// decide is Refused, and also reports whether the request is suspected and permitted to run.
func (g *Guard) decide(fingerprint string) (retryAfter time.Duration, permitted, refused bool) {
	if g.disabled {
		return 0, false, false
	}
	now := g.now()
	record := g.snapshot(fingerprint)
	verdict, retryAfter := record.Decide(now)
	switch verdict {
	case policy.Allow:
		g.startRun(fingerprint, now)
		return 0, false, false
	case policy.Refuse:
		g.events.WithLabelValues("refused").Inc()
		g.log.Info("suspected request refused", "fingerprint", fingerprint, "losses", len(record.Losses), "retry_after_ms", retryAfter.Milliseconds())
		return retryAfter, false, true
	}
	retryAfter, refused = g.requestPermission(fingerprint)
	return retryAfter, !refused, refused
}

// requestPermission asks the guards whether a suspected request may run here. While this
// VM itself runs the fingerprint, the request is refused without asking.
func (g *Guard) requestPermission(fingerprint string) (time.Duration, bool) {
	if !g.tryStartRun(fingerprint) {
		g.events.WithLabelValues("not_permitted").Inc()
		g.log.Info("suspected request not permitted", "fingerprint", fingerprint, "running_here", true)
		return busyRetryAfter, true
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	store := g.fleet.Facts()
	g.setAnnounced(fingerprint, true)
	f := store.PutFact(keyPrefix+fingerprint+"/"+runID, "", policy.RunLease)
	acks, guards := g.spread(ctx, fingerprint, f)
	g.refresh(fingerprint)
	record := g.snapshot(fingerprint)
	if record.Permit(g.now(), store.Origin(), acks, guards) {
		g.events.WithLabelValues("permitted").Inc()
		g.log.Info("suspected request permitted", "fingerprint", fingerprint, "losses", len(record.Losses), "acks", acks, "guards", guards)
		return 0, false
	}
	g.log.Info("suspected request not permitted", "fingerprint", fingerprint, "losses", len(record.Losses), "acks", acks, "guards", guards)
	g.endRun(fingerprint)
	g.withdraw(fingerprint)
	g.events.WithLabelValues("not_permitted").Inc()
	verdict, retryAfter := record.Decide(g.now())
	if verdict == policy.Refuse {
		return retryAfter, true
	}
	return busyRetryAfter, true
}

// withdraw announces that this VM no longer runs a fingerprint, if it had announced a run.
func (g *Guard) withdraw(fingerprint string) {
	if !g.setAnnounced(fingerprint, false) {
		return
	}
	g.fleet.Facts().Put(keyPrefix+fingerprint+"/"+runID, idleValue, policy.RunLease)
}

// RecordLoss records that a connection was lost while an attempt of the request ran. It
// returns once the guards have acknowledged the loss, after askTimeout at the latest.
func (g *Guard) RecordLoss(ctx context.Context, fingerprint, requestID string) {
	if g.disabled {
		return
	}
	g.endRun(fingerprint)
	g.reportLoss(ctx, fingerprint, requestID)
	g.withdraw(fingerprint)
}

// reportLoss tells the guards of a loss, unless the fingerprint is refused already.
func (g *Guard) reportLoss(ctx context.Context, fingerprint, requestID string) {
	g.events.WithLabelValues("loss").Inc()
	if verdict, _ := g.snapshot(fingerprint).Decide(g.now()); verdict == policy.Refuse {
		g.log.Info("loss not counted", "id", requestID, "fingerprint", fingerprint, "reason", "refused_already")
		return // another loss could only prolong that
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), askTimeout)
	defer cancel()
	f := g.putLoss(fingerprint, requestID, nil)
	acks, guards := g.spread(ctx, fingerprint, f)
	g.log.Info("loss recorded", "id", requestID, "fingerprint", fingerprint, "losses", len(g.snapshot(fingerprint).Losses), "acks", acks, "guards", guards)
}

func (g *Guard) putLoss(fingerprint, requestID string, shards []string) facts.Fact {
	return g.fleet.Facts().PutFact(keyPrefix+fingerprint+"/"+factID(requestID), strings.Join(shards, "\n"), policy.SuspicionTTL)
}

// stateLoss records a loss that the fleet learns of by gossip: that of a run that goes on, or of some shards of an
// answered search.
func (g *Guard) stateLoss(fingerprint, requestID string, shards ...string) {
	g.events.WithLabelValues("loss").Inc()
	g.putLoss(fingerprint, requestID, shards)
	g.log.Info("loss recorded", "id", requestID, "fingerprint", fingerprint, "losses", len(g.snapshot(fingerprint).Losses), "shards", len(shards))
}

// spread sends a fact to the fingerprint's guards. It returns how many of them hold the
// fact, including this VM if it is a guard, and how many guards there are. Over the rate
// limit it sends nothing and returns no acks: the fact then spreads by gossip only.
func (g *Guard) spread(ctx context.Context, fingerprint string, f facts.Fact) (acks, guards int) {
	names := roster.Guards(g.fleet.Roster(), fingerprint, policy.MaxGuards)
	if !g.spreadLimiter.AllowN(time.Unix(0, int64(g.now())), 1) {
		g.events.WithLabelValues("out_of_budget").Inc()
		return 0, len(names)
	}
	others := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == g.vm })
	return g.fleet.SpreadTo(ctx, f, others) + len(names) - len(others), len(names)
}

// RecordAnswer records a complete answer and clears the losses recorded so far. It must not
// be called for a partial answer: an upstream that did not reply may have crashed.
func (g *Guard) RecordAnswer(fingerprint string) {
	if g.disabled {
		return
	}
	g.endRun(fingerprint)
	g.clear(fingerprint, func(string) bool { return true })
	g.withdraw(fingerprint)
}

// clear clears the losses of a fingerprint whose ids are innocent.
func (g *Guard) clear(fingerprint string, innocent func(id string) bool) {
	var ids []string
	record := g.snapshot(fingerprint)
	for id := range record.Losses {
		if innocent(id) || record.Cleared[id] > 0 {
			ids = append(ids, id) // the fact replaces the one of an earlier answer at this VM
		}
	}
	if len(ids) == 0 {
		return
	}
	g.fleet.Facts().Put(keyPrefix+fingerprint+"/"+answeredID, strings.Join(ids, "\n"), policy.SuspicionTTL)
	g.events.WithLabelValues("cleared").Inc()
	g.log.Info("suspicion cleared", "fingerprint", fingerprint, "losses", len(ids))
}

// onSpread handles a fact from another VM before the fact is acknowledged. If this VM may
// be running the fingerprint, it announces the run, so that the sender learns of the run.
func (g *Guard) onSpread(f facts.Fact) {
	fingerprint, _, ok := parseKey(f.Key)
	if !ok {
		return
	}
	g.learn(f)
	sh := g.shard(fingerprint)
	sh.mu.Lock()
	r, _ := sh.local.Get(fingerprint)
	sh.mu.Unlock()
	if left := r.leaseLeft(g.now()); left > 0 {
		g.setAnnounced(fingerprint, true)
		g.fleet.Facts().Put(keyPrefix+fingerprint+"/"+runID, "", left)
	}
}

// refresh applies the stored facts about a fingerprint. The store calls its watchers only
// after it has stored a fact, so the record may lag behind.
func (g *Guard) refresh(fingerprint string) {
	for _, f := range g.fleet.Facts().List(keyPrefix + fingerprint + "/") {
		g.learn(f)
	}
}

// learn applies a fact to the record of its fingerprint.
func (g *Guard) learn(f facts.Fact) {
	fingerprint, id, ok := parseKey(f.Key)
	if !ok {
		return
	}
	sh := g.shard(fingerprint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	r, ok := sh.records.Get(fingerprint)
	if !ok {
		r = policy.NewRecord()
		sh.records.Add(fingerprint, r)
	}
	g.applyFact(r, id, f)
}

// applyFact drops the expired entries of a record and adds the fact to it.
func (g *Guard) applyFact(r *policy.Record, id string, f facts.Fact) {
	r.DropExpired(g.now())
	switch {
	case id == runID && f.Value == idleValue:
		delete(r.Runs, f.Origin)
	case id == runID && len(r.Runs) < roster.MaxMembers:
		r.Runs[f.Origin] = f.Expires
	case id == answeredID:
		for _, lost := range strings.SplitN(f.Value, "\n", policy.MaxLosses+1) {
			r.Cleared[lost] = f.Expires
		}
	case id != runID:
		r.AddLoss(id, f.Expires, splitLines(f.Value)...)
	}
}

// snapshot returns a copy of a fingerprint's record.
func (g *Guard) snapshot(fingerprint string) policy.Record {
	sh := g.shard(fingerprint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	r, ok := sh.records.Peek(fingerprint)
	if !ok {
		return policy.Record{}
	}
	return r.Clone()
}

// splitLines splits a text into its lines; none for an empty text.
func splitLines(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, "\n")
}

// parseKey splits the key of a fact into fingerprint and id.
func parseKey(key string) (fingerprint, id string, ok bool) {
	rest, ok := strings.CutPrefix(key, keyPrefix)
	if !ok {
		return "", "", false
	}
	return strings.Cut(rest, "/")
}
