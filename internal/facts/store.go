// Package facts stores the facts that a VM knows, within fixed bounds, and notifies
// watchers of changes. A Store is safe for concurrent use; watchers are called with no
// lock held. Each digest bucket is a shard with its own lock. The counts per origin and
// the queue of changes have one lock each; no shard's lock is taken while either is held.
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
	// MaxPerOrigin bounds the facts of one origin, tombstones included.
	MaxPerOrigin = 1024
	// maxPerShard bounds the facts of one shard, tombstones included.
	maxPerShard = 512
	// maxShardBytes bounds the estimated bytes of one shard's facts.
	maxShardBytes = 128 << 10
)

// Fact is a small, versioned, expiring entry stated by one origin.
type Fact = rules.Fact

// Options configures a Store.
type Options struct {
	// Name and Incarnation of this VM form the origin of the facts it states.
	Name        string
	Incarnation string
	// Now reads a clock that keeps running while the process is paused, so that facts
	// expire on time.
	Now        func() time.Duration
	Registerer prometheus.Registerer
}

// Store holds this VM's facts and those received from others.
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
	mu     sync.Mutex
	facts  map[rules.ID]Fact
	bytes  int
	digest uint32
	// inDigest marks the facts that digest covers: those that their origin does not
	// restate and that no sweep found expired.
	inDigest map[rules.ID]bool
}

// New returns an empty Store.
func New(o Options) *Store {
	s := &Store{origin: rules.Origin(o.Name, o.Incarnation), now: o.Now}
	for i := range s.shards {
		s.shards[i].facts = map[rules.ID]Fact{}
		s.shards[i].inDigest = map[rules.ID]bool{}
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

// Origin returns the origin of the facts that this VM states.
func (s *Store) Origin() string { return s.origin }

// Put states a fact of this VM. It expires after ttl unless it is put again.
func (s *Store) Put(key, value string, ttl time.Duration) {
	s.PutFact(key, value, ttl)
}

// PutFact is like Put and also returns the stored fact.
func (s *Store) PutFact(key, value string, ttl time.Duration) Fact {
	f := Fact{
		Key: key, Origin: s.origin, Value: value,
		Version: int(s.version.Add(1)), Expires: s.now() + ttl,
	}
	s.offer(f)
	s.watch.deliver()
	return f
}

// Merge stores facts received from a peer and returns how many were new or newer.
// Facts that name this VM as their origin are ignored.
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

// offer merges one fact and reports whether it was new or newer.
func (s *Store) offer(f Fact) bool {
	now := s.now()
	sh := &s.shards[rules.Bucket(f.ID())]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	held, has := sh.facts[f.ID()]
	merged, verdict := rules.Merge(now, held, has, f)
	if verdict == rules.Taken && !s.reserve(now, sh, held, has, merged) {
		s.offered.WithLabelValues("full").Inc()
		return false
	}
	s.offered.WithLabelValues(verdictName(verdict)).Inc()
	switch verdict {
	case rules.Taken:
		sh.remove(held, has)
		sh.insert(merged)
		s.watch.add(merged)
		return true
	case rules.Shortened:
		sh.facts[f.ID()] = merged
	}
	return false
}

// reserve reports whether f may be stored. A new fact evicts others if need be and raises
// its origin's count; a newer version of a held fact evicts nothing.
func (s *Store) reserve(now time.Duration, sh *shard, held Fact, has bool, f Fact) bool {
	if has {
		return sh.bytes-held.Size()+f.Size() <= maxShardBytes
	}
	for len(sh.facts) >= maxPerShard || sh.bytes+f.Size() > maxShardBytes {
		victim, ok := sh.evictable(now, f)
		if !ok {
			return false
		}
		sh.remove(victim, true)
		s.origins.add(victim.Origin, -1)
	}
	return s.origins.add(f.Origin, 1)
}

// evictable returns the fact to evict for f: the first to expire of those that have
// expired or are of a less urgent kind.
func (sh *shard) evictable(now time.Duration, f Fact) (Fact, bool) {
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

func (sh *shard) insert(f Fact) {
	sh.facts[f.ID()] = f
	sh.bytes += f.Size()
	if !rules.Restated(f.Key) {
		sh.digest += rules.Hash(f)
		sh.inDigest[f.ID()] = true
	}
}

func (sh *shard) remove(f Fact, has bool) {
	if !has {
		return
	}
	sh.removeFromDigest(f)
	delete(sh.facts, f.ID())
	sh.bytes -= f.Size()
}

func (sh *shard) removeFromDigest(f Fact) {
	if sh.inDigest[f.ID()] {
		sh.digest -= rules.Hash(f)
		delete(sh.inDigest, f.ID())
	}
}

// Sweep removes expired facts from the digests and deletes those that expired more
// than rules.TombstoneTTL ago.
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
		case f.Expires+rules.TombstoneTTL > now:
			sh.removeFromDigest(f)
		default:
			sh.remove(f, true)
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

// Get returns a fact and whether it is held and has not expired.
func (s *Store) Get(id rules.ID) (Fact, bool) {
	sh := &s.shards[rules.Bucket(id)]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	f, ok := sh.facts[id]
	return f, ok && f.Live(s.now())
}

// List returns the live facts whose key has the prefix, in no order.
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

// Digest returns the digest of each bucket. Facts that their origin restates every few
// seconds are left out, and expired facts once they are swept.
func (s *Store) Digest() []uint32 {
	out := make([]uint32, rules.Buckets)
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		out[i] = sh.digest
		sh.mu.Unlock()
	}
	return out
}

// Missing returns the live facts of each bucket that differs from a peer's digest,
// except for those that their origin restates.
func (s *Store) Missing(theirs []uint32) []Fact {
	var out []Fact
	for _, b := range rules.Differ(s.Digest(), theirs) {
		out = s.appendLive(out, b, func(f Fact) bool { return !rules.Restated(f.Key) })
	}
	return out
}

// Watch calls fn for each new or changed fact whose key has the prefix, of any
// origin. Calls are made one at a time and, for each fact, in the order of its changes;
// of several quick changes of one fact only the last may be reported. fn must not block.
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
