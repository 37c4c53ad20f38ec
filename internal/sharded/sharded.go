// Package sharded holds keyed state in shards, each under its own lock. A Map is
// bounded: a full shard evicts an arbitrary entry for a new one, so its users keep
// only what may be forgotten. Locks: one mutex a shard, held while a user's
// function runs; that function must not call the same Map.
package sharded

import (
	"hash/maphash"
	"sync"
)

const shardCount = 64 // a power of two

// Map is a bounded table from K to V, safe for use by several goroutines.
type Map[K comparable, V any] struct {
	seed   maphash.Seed
	limit  int // entries a shard
	shards [shardCount]shard[K, V]
}

type shard[K comparable, V any] struct {
	mu sync.Mutex
	m  map[K]*V
	_  [48]byte // keeps neighbouring locks off one cache line
}

// New returns a Map that holds about limit entries.
func New[K comparable, V any](limit int) *Map[K, V] {
	m := &Map[K, V]{seed: maphash.MakeSeed(), limit: max(1, limit/shardCount)}
	for i := range m.shards {
		m.shards[i].m = make(map[K]*V)
	}
	return m
}

// Do calls f with the value of key under its shard's lock; a new key starts with
// the zero value.
func (m *Map[K, V]) Do(key K, f func(v *V)) {
	s := m.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.m[key]
	if !ok {
		s.makeRoom(m.limit)
		v = new(V)
		s.m[key] = v
	}
	f(v)
}

// View calls f with the value of key under its shard's lock, if there is one.
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

func (s *shard[K, V]) makeRoom(limit int) {
	for k := range s.m {
		if len(s.m) < limit {
			return
		}
		delete(s.m, k)
	}
}
