// Package sharded provides a bounded map that is split into shards, each with its own
// lock. A full shard evicts an arbitrary entry for a new one, so a Map suits only state
// that may be lost. A shard's lock is held while the function given to Update or View
// runs; that function must not call the same Map.
package sharded

import (
	"hash/maphash"
	"sync"
)

const shardCount = 64 // a power of two, so that a mask of the hash selects the shard

// Map is a bounded map that is safe for concurrent use.
type Map[K comparable, V any] struct {
	seed   maphash.Seed
	limit  int // entries per shard
	shards [shardCount]shard[K, V]
}

type shard[K comparable, V any] struct {
	mu sync.Mutex
	m  map[K]*V
	_  [48]byte // pads to 64 bytes, so that no two locks share a cache line
}

// New returns a Map of at most limit entries. A limit below the number of shards counts as
// one entry per shard.
func New[K comparable, V any](limit int) *Map[K, V] {
	m := &Map[K, V]{seed: maphash.MakeSeed(), limit: max(1, limit/shardCount)}
	for i := range m.shards {
		m.shards[i].m = make(map[K]*V)
	}
	return m
}

// Update calls f with the value of key under its shard's lock; a missing key is added
// with the zero value first.
func (m *Map[K, V]) Update(key K, f func(v *V)) {
	s := m.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.m[key]
	if !ok {
		s.evict(m.limit)
		v = new(V)
		s.m[key] = v
	}
	f(v)
}

// View calls f with the value of key under its shard's lock if the key is present, and
// reports whether it is.
func (m *Map[K, V]) View(key K, f func(v *V)) bool {
	s := m.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.m[key]
	if ok {
		f(v)
	}
	return ok
}

// Len returns the number of entries.
func (m *Map[K, V]) Len() int {
	n := 0
	for i := range m.shards {
		m.shards[i].mu.Lock()
		n += len(m.shards[i].m)
		m.shards[i].mu.Unlock()
	}
	return n
}

func (m *Map[K, V]) shard(key K) *shard[K, V] {
	return &m.shards[maphash.Comparable(m.seed, key)&(shardCount-1)]
}

// evict deletes arbitrary entries until one more fits within limit.
func (s *shard[K, V]) evict(limit int) {
	for k := range s.m {
		if len(s.m) < limit {
			return
		}
		delete(s.m, k)
	}
}
