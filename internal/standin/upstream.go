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

// maxSnapshots is the number of snapshots that an upstream holds.
const maxSnapshots = 3

// drainGrace is the time after the start of its drain in which an upstream doesn't count
// arriving requests as WorkAfterDrain, since the VMs have yet to learn of the drain.
const drainGrace = 3 * time.Second

// crashDuration is how long a crashed upstream stays down.
const crashDuration = time.Second

// Upstream is a stand-in of one upstream server. One lock guards its changing state.
type Upstream struct {
	config   manifest.Upstream
	corpus   *Corpus
	recorder *Recorder
	slots    *slots
	server   *http.Server
	listen   *limitListener

	mu             sync.Mutex
	rng            *rand.Rand
	behaviour      Behaviour
	behaviourSetAt time.Time // start of ColdMs
	drainingSince  time.Time
	downUntil      time.Time
	maps           map[int]manifest.PartitionMap
	snapshots      []upstream.Snapshot // newest last
	shards         []manifest.Name
	last           *lastReply // the previous reply, which the fault Crossed sends in place of the next one
	runs           int
}

// NewUpstream returns an upstream that holds index version 1 under the partition map of the
// highest version.
func NewUpstream(c manifest.Upstream, corpus *Corpus, maps []manifest.PartitionMap, rec *Recorder, seed uint64) *Upstream {
	u := &Upstream{
		config:   c,
		corpus:   corpus,
		recorder: rec,
		slots:    newSlots(c.Slots),
		rng:      rand.New(rand.NewPCG(seed, Hash64(c.Address))),
		maps:     map[int]manifest.PartitionMap{},
		shards:   c.Shards,
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
	onExcess := func() { u.recorder.updateCounts(func(c *Counts) { c.ConnectionsRefused++ }) }
	u.listen = newLimitListener(l, u.config.ConnectionLimit, onExcess)
	u.server = &http.Server{
		Handler:           u.handler(),
		ReadHeaderTimeout: time.Minute,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			u.recorder.updateCounts(func(c *Counts) { c.Connections++ })
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	go func() { _ = u.server.Serve(u.listen) }()
}

// Close stops the upstream without waiting for requests under way.
func (u *Upstream) Close() error { return u.server.Close() }

// Address returns the address of the upstream in the manifest.
func (u *Upstream) Address() string { return u.config.Address }

// SetBehaviour replaces the behaviour.
func (u *Upstream) SetBehaviour(b Behaviour) {
	u.mu.Lock()
	switch {
	case !b.Draining:
		u.drainingSince = time.Time{}
	case u.drainingSince.IsZero():
		u.drainingSince = time.Now()
	}
	u.behaviour = b
	u.behaviourSetAt = time.Now()
	u.mu.Unlock()
	if b.Down {
		u.listen.closeAll()
	}
}

// SetSnapshot makes the upstream serve a snapshot; it still holds the latest earlier ones.
func (u *Upstream) SetSnapshot(s upstream.Snapshot) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.snapshots = slices.DeleteFunc(u.snapshots, func(o upstream.Snapshot) bool { return o == s })
	u.snapshots = append(u.snapshots, s)
	if n := len(u.snapshots) - maxSnapshots; n > 0 {
		u.snapshots = u.snapshots[n:]
	}
}

// NewestSnapshot returns the snapshot that was set last, which the upstream serves unless a
// request asks for another one.
func (u *Upstream) NewestSnapshot() upstream.Snapshot {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.snapshots[len(u.snapshots)-1]
}

// SetPartitionMap adds or replaces a partition map, and sets the shards that the upstream
// serves unless shards is nil.
func (u *Upstream) SetPartitionMap(m manifest.PartitionMap, shards []manifest.Name) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.maps[m.Version] = m
	if shards != nil {
		u.shards = shards
	}
}

// selectRange returns the snapshot to search for a shard, and the shard's range in it: the
// wanted snapshot if it is held, otherwise the newest one that has the shard. It reports
// false if the upstream does not serve the shard.
func (u *Upstream) selectRange(shard, want string) (upstream.Snapshot, Range, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !slices.Contains(u.shards, manifest.Name(shard)) {
		return upstream.Snapshot{}, Range{}, false
	}
	if !u.behaviour.IgnoreSnapshot {
		for _, s := range u.snapshots {
			if r, ok := u.shardRange(s, shard); ok && want == fmt.Sprintf("%d.%d", s.Index, s.Map) {
				return s, r, true
			}
		}
	}
	for i := len(u.snapshots) - 1; i >= 0; i-- {
		if r, ok := u.shardRange(u.snapshots[i], shard); ok {
			return u.snapshots[i], r, true
		}
	}
	return upstream.Snapshot{}, Range{}, false
}

// shardRange returns a shard's range in a snapshot's partition map. The lock is held.
func (u *Upstream) shardRange(s upstream.Snapshot, shard string) (Range, bool) {
	for _, sh := range u.maps[s.Map].Shards {
		if string(sh.Name) == shard {
			return Range{First: uint32(sh.First), Last: uint32(sh.Last)}, true
		}
	}
	return Range{}, false
}

// state is the upstream's behaviour towards one request.
type state struct {
	Behaviour
	down        bool
	drainingFor time.Duration // 0 while not draining
	serviceTime time.Duration
	faultyReply bool
}

func (u *Upstream) state() state {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	s := state{Behaviour: u.behaviour}
	s.down = u.behaviour.Down || now.Before(u.downUntil)
	s.serviceTime = u.behaviour.drawServiceTime(u.rng, now.Sub(u.behaviourSetAt))
	s.faultyReply = u.behaviour.ReplyFault != "" && u.rng.Float64() < u.behaviour.ReplyShare
	if !u.drainingSince.IsZero() {
		s.drainingFor = now.Sub(u.drainingSince)
	}
	return s
}

// crash closes all connections and, for crashDuration, each one on which a request arrives.
func (u *Upstream) crash(word string) {
	u.recorder.recordCrash(word)
	u.mu.Lock()
	u.downUntil = time.Now().Add(crashDuration)
	u.mu.Unlock()
	u.listen.closeAll()
}

// nextRun counts a run of a request of a single workload and returns its number.
func (u *Upstream) nextRun() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs++
	return strconv.Itoa(u.runs)
}

// lastReply is the body of a reply and the id of its request.
type lastReply struct {
	id   string
	body []byte
}

// swapLast stores the reply to the current request and returns the one before.
func (u *Upstream) swapLast(r *lastReply) *lastReply {
	u.mu.Lock()
	defer u.mu.Unlock()
	old := u.last
	u.last = r
	return old
}
