// Package claims lets at most one VM run the request of an idempotency key. As a claimant,
// a VM collects a quorum of votes for a key; as a guard, it votes on the claims of others
// and stores recorded outcomes in memory. Claims may be used concurrently: keys are
// sharded, each shard and the set of known VMs have their own lock, and none is held
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
	numShards = 64
	// maxViewMembers bounds the VMs that are remembered as possible voters.
	maxViewMembers = 1 << 16
	// viewRetention is the maximum resend window of a manifest, 24 h, plus 2 h for VM lists
	// that lag behind.
	viewRetention   = 26 * time.Hour
	observeInterval = time.Second
	// joinInterval is the pause between two attempts to be admitted as a voter.
	joinInterval = 200 * time.Millisecond
	// maxWaitingLookups bounds the lookups of other VMs that wait here at the same time.
	maxWaitingLookups = 1024
)

// Member is a VM that may vote.
type Member struct{ Name string }

// Options configures Claims.
type Options struct {
	// VM is the name of this VM. Incarnation is a random id of this run of the process.
	VM, Incarnation string
	// Started is the wall-clock time at which the process started.
	Started time.Time
	// Call sends a message to a VM and returns its reply.
	Call func(ctx context.Context, vm string, m *peer.Message) (*peer.Message, error)
	// Roster returns every VM that may be running: those listed as live or leaving and
	// those learned of from peers. It is empty while no VM is known.
	Roster func() []Member
	// ListAge returns the age of the newest VM list that this VM knows of, by a clock that
	// also runs while the process is paused; nil if the list is never too old.
	ListAge func() time.Duration
	// Generation returns the manifest generation in force.
	Generation func() int
	Mechanisms mechanism.Set
	// Params holds the limits of voting; the zero value stands for once.DefaultParams.
	Params once.Params
	// Now reads the wall clock, Boot the clock that also runs while the process is paused;
	// nil for time.Now and clock.Boot.
	Now        func() time.Time
	Boot       func() time.Duration
	Log        *log.Logger
	Registerer prometheus.Registerer
}

// Claims is this VM's claimant and guard.
type Claims struct {
	o              Options
	shards         [numShards]shard
	viewMu         sync.Mutex
	view           *once.View
	lastObserved   time.Time
	rounds         atomic.Uint64
	waitingLookups atomic.Int64
	deliveries     atomic.Int64
	// admitted is set once this VM may vote, left once it has stopped voting for good.
	admitted atomic.Bool
	left     atomic.Bool
	started  time.Duration
	metrics  metrics
}

// shard holds this VM's votes and recorded outcomes (guard) and its own unfinished
// claims (holds) for a part of the keys.
type shard struct {
	mu    sync.Mutex
	guard *once.Guard
	holds map[string]*Hold
}

// New returns the Claims of a VM that has just started. It votes only after Run has
// had it admitted.
func New(o Options) *Claims {
	if o.Params == (once.Params{}) {
		o.Params = once.DefaultParams()
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
	c := &Claims{o: o, view: once.NewView(o.Params, maxViewMembers), started: o.Boot()}
	for i := range c.shards {
		c.shards[i].guard = once.NewGuard(o.Params, wall(o.Started))
		c.shards[i].holds = make(map[string]*Hold)
	}
	c.metrics = newMetrics(o.Registerer, c.countKeys)
	return c
}

// Run has this VM admitted as a voter, then updates the set of known VMs and drops
// expired keys until ctx ends.
func (c *Claims) Run(ctx context.Context) {
	for !c.join(ctx) {
		if !pause.Sleep(ctx, joinInterval) {
			return
		}
	}
	tick := time.NewTicker(observeInterval)
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
	return &c.shards[xxhash.Sum64String(key)%numShards]
}

func (c *Claims) now() time.Time { return wall(c.o.Now()) }

// wall removes the monotonic clock reading, which does not advance while the machine is
// suspended.
func wall(t time.Time) time.Time { return t.Round(0) }

// observe records the VMs of the roster as seen now and returns their names and this VM's;
// nil while the roster is empty.
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
	c.lastObserved = now
	return names
}

// members returns the VMs that may vote, or may have voted, on a key born at the given
// time. It reports false if there are none or some may have been dropped from the view.
func (c *Claims) members(born time.Time) ([]string, bool) {
	c.observeIfStale()
	c.viewMu.Lock()
	defer c.viewMu.Unlock()
	names, ok := c.view.Members(born)
	return names, ok && len(names) > 0
}

// present returns the VMs that may vote on keys born from now on.
func (c *Claims) present() []string {
	c.observeIfStale()
	c.viewMu.Lock()
	defer c.viewMu.Unlock()
	return c.view.Present(c.now())
}

// observeIfStale calls observe if the last call is at least observeInterval ago.
func (c *Claims) observeIfStale() {
	c.viewMu.Lock()
	fresh := c.now().Sub(c.lastObserved) < observeInterval
	c.viewMu.Unlock()
	if !fresh {
		c.observe()
	}
}

// expire drops the VMs and the keys that no claim can depend on any more.
func (c *Claims) expire() {
	now := c.now()
	c.viewMu.Lock()
	c.view.DropBefore(now.Add(-viewRetention))
	c.viewMu.Unlock()
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		s.guard.Expire(now)
		s.mu.Unlock()
	}
}

// countKeys returns the number of keys in the guard's tables.
func (c *Claims) countKeys() float64 {
	n := 0
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		n += s.guard.Len()
		s.mu.Unlock()
	}
	return float64(n)
}
