package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sardinespindle/sardinespindle/schema/gen/manifest"
	"github.com/sardinespindle/sardinespindle/schema/gen/upstream"
)

// snapshotsHeld is the number of snapshots that an upstream keeps.
const snapshotsHeld = 3

// drainGrace is how long after the start of its drain an upstream takes work that is
// not counted against the VMs.
const drainGrace = 3 * time.Second

// crashTime is how long a crashed upstream stays down.
const crashTime = time.Second

// Upstream is one upstream server. One lock guards its behaviour and its snapshots.
type Upstream struct {
	config manifest.Upstream
	corpus *Corpus
	rec    *Recorder
	slots  *slots
	server *http.Server
	listen *limitListener

	mu        sync.Mutex
	rng       *rand.Rand
	behaviour Behaviour
	since     time.Time // when the behaviour was set
	drainedAt time.Time
	downUntil time.Time
	maps      map[int]manifest.PartitionMap
	snapshots []upstream.Snapshot // newest last
	shards    []manifest.Name
	last      *lastReply // for crossed ones
	runs      int
}

// NewUpstream returns an upstream that holds index version 1 of the maps' highest version.
func NewUpstream(c manifest.Upstream, corpus *Corpus, maps []manifest.PartitionMap, rec *Recorder, seed uint64) *Upstream {
	u := &Upstream{
		config: c,
		corpus: corpus,
		rec:    rec,
		slots:  newSlots(c.Slots),
		rng:    rand.New(rand.NewPCG(seed, Hash64(c.Address))),
		maps:   map[int]manifest.PartitionMap{},
		shards: c.Shards,
	}
	newest := 0
	for _, m := range maps {
		u.maps[m.Version] = m
		newest = max(newest, m.Version)
	}
	u.snapshots = []upstream.Snapshot{{Index: 1, Map: newest}}
	return u
}

// Start listens on the configured address and serves until Close.
func (u *Upstream) Start(ctx context.Context) error {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", u.config.Address)
	if err != nil {
		return fmt.Errorf("upstream: %w", err)
	}
	u.Serve(l)
	return nil
}

// Serve serves on a listener until Close.
func (u *Upstream) Serve(l net.Listener) {
	over := func() { u.rec.count(func(c *Counts) { c.ConnectionOver++ }) }
	u.listen = newLimitListener(l, u.config.ConnectionLimit, over)
	u.server = &http.Server{
		Handler:           u.handler(),
		ReadHeaderTimeout: time.Minute,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			u.rec.count(func(c *Counts) { c.Connections++ })
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	go func() { _ = u.server.Serve(u.listen) }()
}

// Close stops the upstream at once.
func (u *Upstream) Close() error { return u.server.Close() }

// Address returns the address of the upstream in the manifest.
func (u *Upstream) Address() string { return u.config.Address }

// Set changes the behaviour.
func (u *Upstream) Set(b Behaviour) {
	u.mu.Lock()
	switch {
	case !b.Draining:
		u.drainedAt = time.Time{}
	case u.drainedAt.IsZero():
		u.drainedAt = time.Now()
	}
	u.behaviour = b
	u.since = time.Now()
	u.mu.Unlock()
	if b.Down {
		u.listen.cut()
	}
}

// Hold makes the upstream go to a snapshot; it keeps a few earlier ones.
func (u *Upstream) Hold(s upstream.Snapshot) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.snapshots = slices.DeleteFunc(u.snapshots, func(o upstream.Snapshot) bool { return o == s })
	u.snapshots = append(u.snapshots, s)
	if n := len(u.snapshots) - snapshotsHeld; n > 0 {
		u.snapshots = u.snapshots[n:]
	}
}

// Newest returns the snapshot that the upstream serves by itself.
func (u *Upstream) Newest() upstream.Snapshot {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.snapshots[len(u.snapshots)-1]
}

// Repartition hands the upstream another partition map and the shards that it serves.
func (u *Upstream) Repartition(m manifest.PartitionMap, shards []manifest.Name) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.maps[m.Version] = m
	if shards != nil {
		u.shards = shards
	}
}

// choose returns the snapshot and range that answer for a shard, the wanted snapshot
// where it is held.
func (u *Upstream) choose(shard, want string) (upstream.Snapshot, Range, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !slices.Contains(u.shards, manifest.Name(shard)) {
		return upstream.Snapshot{}, Range{}, false
	}
	if !u.behaviour.IgnorePin {
		for _, s := range u.snapshots {
			if r, ok := u.rangeOf(s, shard); ok && want == fmt.Sprintf("%d.%d", s.Index, s.Map) {
				return s, r, true
			}
		}
	}
	for i := len(u.snapshots) - 1; i >= 0; i-- {
		if r, ok := u.rangeOf(u.snapshots[i], shard); ok {
			return u.snapshots[i], r, true
		}
	}
	return upstream.Snapshot{}, Range{}, false
}

// rangeOf finds a shard in a snapshot's partition map. The lock is held.
func (u *Upstream) rangeOf(s upstream.Snapshot, shard string) (Range, bool) {
	for _, sh := range u.maps[s.Map].Shards {
		if string(sh.Name) == shard {
			return Range{First: uint32(sh.First), Last: uint32(sh.Last)}, true
		}
	}
	return Range{}, false
}

// state is what one request needs to know of the upstream.
type state struct {
	Behaviour
	down    bool
	drained time.Duration // time since drain began; 0 where not draining
	service time.Duration
	spoil   bool
}

func (u *Upstream) state() state {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	s := state{Behaviour: u.behaviour}
	s.down = u.behaviour.Down || now.Before(u.downUntil)
	s.service = u.behaviour.service(u.rng, now.Sub(u.since))
	s.spoil = u.behaviour.ReplyFault != "" && u.rng.Float64() < u.behaviour.ReplyShare
	if !u.drainedAt.IsZero() {
		s.drained = now.Sub(u.drainedAt)
	}
	return s
}

// crash closes every connection and refuses new ones for a while.
func (u *Upstream) crash(word string) {
	u.rec.crash(word)
	u.mu.Lock()
	u.downUntil = time.Now().Add(crashTime)
	u.mu.Unlock()
	u.listen.cut()
}

// nextRun numbers the requests that the upstream ran.
func (u *Upstream) nextRun() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs++
	return strconv.Itoa(u.runs)
}

// lastReply is a whole reply and the id of its request.
type lastReply struct {
	id   string
	body []byte
}

// swapLast keeps a whole reply and returns the one kept before.
func (u *Upstream) swapLast(r *lastReply) *lastReply {
	u.mu.Lock()
	defer u.mu.Unlock()
	old := u.last
	u.last = r
	return old
}
