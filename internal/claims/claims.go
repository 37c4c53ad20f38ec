// Package claims makes a VM the guard and the claimant of idempotency keys: it
// asks the other VMs for their votes before a non-idempotent request is sent, and
// answers their questions from its own memory. The keys lie in shards, each under
// its own lock; the record of VMs seen has a lock of its own. No lock is held
// during a call to another VM.
package claims

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sardinespindle/sardinespindle/internal/clock"
	"github.com/sardinespindle/sardinespindle/internal/mechanism"
	"github.com/sardinespindle/sardinespindle/internal/pause"
	"github.com/sardinespindle/sardinespindle/internal/policy/once"
	"github.com/sardinespindle/sardinespindle/schema/gen/peer"
)

const (
	shards = 64
	// viewLimit bounds the VMs remembered.
	viewLimit = 1 << 16
	// viewKeep is the longest resend window of a manifest, and the list's lag.
	viewKeep     = 26 * time.Hour
	observeEvery = time.Second
	// joinEvery is the pause between two rounds of admission.
	joinEvery = 200 * time.Millisecond
	// lookupLimit bounds the lookups that wait at the same time.
	lookupLimit = 1024
)

// Member is one VM of the fleet.
type Member struct{ Name string }

// Options are what New needs.
type Options struct {
	// VM is the name of this VM; Incarnation is drawn at each process start.
	VM, Incarnation string
	// Started is the wall time of the process start.
	Started time.Time
	// Call sends a message to a VM and returns its reply.
	Call func(ctx context.Context, vm string, m *peer.Message) (*peer.Message, error)
	// Roster returns every VM that may run: listed live, listed leaving, and heard
	// of from peers. Empty while nothing is known.
	Roster func() []Member
	// ListAge returns the age of the newest VM list that this VM knows of, by a
	// clock that runs through a freeze; nil for always fresh.
	ListAge func() time.Duration
	// Generation returns the manifest generation in force.
	Generation func() int
	Mechanisms mechanism.Set
	// Params are the bounds; the zero value stands for once.Defaults.
	Params once.Params
	// Now and Boot read the wall clock and the clock that runs through a freeze;
	// nil for the machine's.
	Now        func() time.Time
	Boot       func() time.Duration
	Log        *log.Logger
	Registerer prometheus.Registerer
}

// Claims is this VM's part in claiming keys.
type Claims struct {
	o       Options
	shards  [shards]shard
	viewMu  sync.Mutex
	view    *once.View
	seen    time.Time
	attempt atomic.Uint64
	waiting atomic.Int64
	pushing atomic.Int64
	// admitted says that this VM votes; left says that it votes no more.
	admitted atomic.Bool
	left     atomic.Bool
	started  time.Duration
	metrics  metrics
}

// shard holds the guard's memory of a part of the keys, and this VM's own holds.
type shard struct {
	mu    sync.Mutex
	guard *once.Guard
	live  map[string]*Hold
}

// New returns the claims of a VM that has just started.
func New(o Options) *Claims {
	if o.Params == (once.Params{}) {
		o.Params = once.Defaults()
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Boot == nil {
		o.Boot = clock.Boot
	}
	if o.ListAge == nil {
		o.ListAge = func() time.Duration { return 0 }
	}
	if o.Log == nil {
		o.Log = log.Default()
	}
	c := &Claims{o: o, view: once.NewView(o.Params, viewLimit), started: o.Boot()}
	for i := range c.shards {
		c.shards[i].guard = once.NewGuard(o.Params, wall(o.Started))
		c.shards[i].live = make(map[string]*Hold)
	}
	c.metrics = newMetrics(o.Registerer, c.keys)
	return c
}

// Run makes this VM a voter, keeps the record of VMs seen and forgets expired
// keys until ctx ends.
func (c *Claims) Run(ctx context.Context) {
	for !c.join(ctx) {
		if !pause.For(ctx, joinEvery) {
			return
		}
	}
	tick := time.NewTicker(observeEvery)
	defer tick.Stop()
	for {
		c.observe()
		c.expire()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (c *Claims) shard(key string) *shard {
	return &c.shards[xxhash.Sum64String(key)%shards]
}

func (c *Claims) now() time.Time { return wall(c.o.Now()) }

// wall strips the monotonic reading, which stands still during a suspension.
func wall(t time.Time) time.Time { return t.Round(0) }

// observe notes the VMs known now and returns their names, this VM's included.
func (c *Claims) observe() []string {
	roster := c.o.Roster()
	if len(roster) == 0 {
		return nil
	}
	names := make([]string, 0, len(roster)+1)
	self := false
	for _, m := range roster {
		names = append(names, m.Name)
		self = self || m.Name == c.o.VM
	}
	if !self {
		names = append(names, c.o.VM)
	}
	now := c.now()
	c.viewMu.Lock()
	defer c.viewMu.Unlock()
	c.view.Observe(now, names)
	c.seen = now
	return names
}

// members returns the VMs that may vote, or may have voted, on a key born at the
// given time.
func (c *Claims) members(born time.Time) ([]string, bool) {
	c.refresh()
	c.viewMu.Lock()
	defer c.viewMu.Unlock()
	names, ok := c.view.Members(born)
	return names, ok && len(names) > 0
}

// present returns the VMs that may vote on keys yet to be born.
func (c *Claims) present() []string {
	c.refresh()
	c.viewMu.Lock()
	defer c.viewMu.Unlock()
	return c.view.Present(c.now())
}

// refresh observes the roster unless that was done lately.
func (c *Claims) refresh() {
	c.viewMu.Lock()
	fresh := c.now().Sub(c.seen) < observeEvery
	c.viewMu.Unlock()
	if !fresh {
		c.observe()
	}
}

func (c *Claims) expire() {
	now := c.now()
	c.viewMu.Lock()
	c.view.Forget(now.Add(-viewKeep))
	c.viewMu.Unlock()
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		s.guard.Expire(now)
		s.mu.Unlock()
	}
}

func (c *Claims) keys() float64 {
	n := 0
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		n += s.guard.Len()
		s.mu.Unlock()
	}
	return float64(n)
}
