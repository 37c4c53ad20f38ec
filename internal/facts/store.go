// Package facts holds the facts that a VM knows. State is kept in one shard for
// each digest bucket, each under its own lock; the counts for each origin and the
// queue of changes have a lock of their own, taken after a shard's lock and never
// before it. Watchers are called without any lock held.
package facts

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	rules "github.com/sardinespindle/sardinespindle/internal/policy/facts"
)

// Bounds of the store.
const (
	// MaxPerOrigin bounds the facts of one origin.
	MaxPerOrigin = 1024
	// maxPerShard bounds the facts of one bucket, tombstones included.
	maxPerShard = 512
	// maxShardBytes bounds the bytes of one bucket.
	maxShardBytes = 128 << 10
)

// Fact is one entry.
type Fact = rules.Fact

// Options configure a Store.
type Options struct {
	// Name and Incarnation make the origin of facts stated here.
	Name        string
	Incarnation string
	// Now reads a clock that runs through a suspended process.
	Now        func() time.Duration
	Registerer prometheus.Registerer
}

// Store holds facts.
type Store struct {
	origin  string
	now     func() time.Duration
	version atomic.Int64
	shards  [rules.Buckets]shard
	origins origins
	watch   watchers
	offered *prometheus.CounterVec
}

type shard struct {
	mu    sync.Mutex
	facts map[rules.ID]Fact
	bytes int
	sum   uint32
	// counted holds the facts that sum counts: those neither restated nor found
	// expired.
	counted map[rules.ID]bool
}

// New returns an empty Store.
func New(o Options) *Store {
	s := &Store{origin: rules.Origin(o.Name, o.Incarnation), now: o.Now}
	for i := range s.shards {
		s.shards[i].facts = map[rules.ID]Fact{}
		s.shards[i].counted = map[rules.ID]bool{}
	}
	s.origins.count = map[string]int{}
	s.watch.pending = map[rules.ID]Fact{}
	s.offered = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "spindle_facts_offered_total", Help: "Facts offered by this VM and its peers, by verdict.",
	}, []string{"verdict"})
	live := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "spindle_facts", Help: "Facts held, expired ones still remembered included.",
	}, func() float64 { return float64(s.Len()) })
	if o.Registerer != nil {
		o.Registerer.MustRegister(s.offered, live)
	}
	return s
}

// Origin returns the origin of facts stated here.
func (s *Store) Origin() string { return s.origin }

// Put states a fact. It is forgotten after ttl unless it is put again.
func (s *Store) Put(key, value string, ttl time.Duration) {
	s.State(key, value, ttl)
}

// State is Put that also returns the fact as stated.
func (s *Store) State(key, value string, ttl time.Duration) Fact {
	f := Fact{
		Key: key, Origin: s.origin, Value: value,
		Version: int(s.version.Add(1)), Expires: s.now() + ttl,
	}
	s.offer(f)
	s.watch.deliver()
	return f
}

// Merge takes facts heard from a peer and returns how many were news. Facts that
// claim this VM's own origin are never taken.
func (s *Store) Merge(fs []Fact) int {
	taken := 0
	for _, f := range fs {
		if f.Origin == s.origin {
			continue
		}
		if s.offer(f) {
			taken++
		}
	}
	s.watch.deliver()
	return taken
}

// offer merges one fact and reports whether it was news.
func (s *Store) offer(f Fact) bool {
	now := s.now()
	sh := &s.shards[rules.Bucket(f.ID())]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	held, has := sh.facts[f.ID()]
	merged, verdict := rules.Merge(now, held, has, f)
	if verdict == rules.Taken && !s.room(now, sh, held, has, merged) {
		s.offered.WithLabelValues("full").Inc()
		return false
	}
	s.offered.WithLabelValues(verdictName(verdict)).Inc()
	switch verdict {
	case rules.Taken:
		sh.drop(held, has)
		sh.hold(merged)
		s.watch.add(merged)
		return true
	case rules.Shortened:
		sh.facts[f.ID()] = merged
	}
	return false
}

// room makes room for a new fact or reports that there is none.
func (s *Store) room(now time.Duration, sh *shard, held Fact, has bool, f Fact) bool {
	if has {
		return sh.bytes-held.Size()+f.Size() <= maxShardBytes
	}
	for len(sh.facts) >= maxPerShard || sh.bytes+f.Size() > maxShardBytes {
		victim, ok := sh.victim(now, f)
		if !ok {
			return false
		}
		sh.drop(victim, true)
		s.origins.add(victim.Origin, -1)
	}
	return s.origins.add(f.Origin, 1)
}

// victim chooses a fact to forget in favour of f: an expired one, or one of a
// less urgent kind.
func (sh *shard) victim(now time.Duration, f Fact) (Fact, bool) {
	var best Fact
	found := false
	for _, g := range sh.facts {
		if g.Live(now) && rules.Urgency(g.Key) <= rules.Urgency(f.Key) {
			continue
		}
		if !found || g.Expires < best.Expires {
			best, found = g, true
		}
	}
	return best, found
}

func (sh *shard) hold(f Fact) {
	sh.facts[f.ID()] = f
	sh.bytes += f.Size()
	if !rules.Restated(f.Key) {
		sh.sum += rules.Hash(f)
		sh.counted[f.ID()] = true
	}
}

func (sh *shard) drop(f Fact, has bool) {
	if !has {
		return
	}
	sh.uncount(f)
	delete(sh.facts, f.ID())
	sh.bytes -= f.Size()
}

func (sh *shard) uncount(f Fact) {
	if sh.counted[f.ID()] {
		sh.sum -= rules.Hash(f)
		delete(sh.counted, f.ID())
	}
}

// Sweep takes expired facts out of the digests and forgets those whose tombstone
// has lived long enough.
func (s *Store) Sweep() {
	now := s.now()
	for i := range s.shards {
		s.sweepShard(now, &s.shards[i])
	}
}

func (s *Store) sweepShard(now time.Duration, sh *shard) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for _, f := range sh.facts {
		switch {
		case f.Live(now):
		case f.Expires+rules.TombstoneLife > now:
			sh.uncount(f)
		default:
			sh.drop(f, true)
			s.origins.add(f.Origin, -1)
		}
	}
}

// Len returns the number of facts held, tombstones included.
func (s *Store) Len() int {
	n := 0
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		n += len(sh.facts)
		sh.mu.Unlock()
	}
	return n
}

// Get returns a live fact.
func (s *Store) Get(id rules.ID) (Fact, bool) {
	sh := &s.shards[rules.Bucket(id)]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	f, ok := sh.facts[id]
	return f, ok && f.Live(s.now())
}

// List returns the live facts whose key has a prefix.
func (s *Store) List(prefix string) []Fact {
	var out []Fact
	for i := range s.shards {
		out = s.appendLive(out, i, func(f Fact) bool { return strings.HasPrefix(f.Key, prefix) })
	}
	return out
}

func (s *Store) appendLive(out []Fact, bucket int, want func(Fact) bool) []Fact {
	now := s.now()
	sh := &s.shards[bucket]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for _, f := range sh.facts {
		if f.Live(now) && want(f) {
			out = append(out, f)
		}
	}
	return out
}

// Digest returns the order-independent hash of each bucket, over the facts that are
// not restated anyway.
func (s *Store) Digest() []uint32 {
	out := make([]uint32, rules.Buckets)
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		out[i] = sh.sum
		sh.mu.Unlock()
	}
	return out
}

// Missing returns the live facts of each bucket that differs from a peer's digest.
func (s *Store) Missing(theirs []uint32) []Fact {
	var out []Fact
	for _, b := range rules.Differ(s.Digest(), theirs) {
		out = s.appendLive(out, b, func(f Fact) bool { return !rules.Restated(f.Key) })
	}
	return out
}

// Watch calls fn on each new or changed fact whose key has the prefix, of any
// origin. Calls come one at a time, in the order of change for each fact; several
// quick changes of one fact may arrive as the last one. fn must not block.
func (s *Store) Watch(prefix string, fn func(Fact)) { s.watch.register(prefix, fn) }

func verdictName(v rules.Verdict) string {
	switch v {
	case rules.Taken:
		return "taken"
	case rules.Shortened:
		return "shortened"
	case rules.Malformed:
		return "malformed"
	default:
		return "known"
	}
}
