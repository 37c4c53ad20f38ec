package standin

import (
	"context"
	"sync/atomic"
)

// queuePerSlot is how many requests may wait per slot.
const queuePerSlot = 8

// slots bounds the requests that run at a time and those that wait.
type slots struct {
	free       chan struct{}
	waiting    atomic.Int64
	running    atomic.Int64
	maxWaiting int64
}

func newSlots(n int) *slots {
	s := &slots{free: make(chan struct{}, n), maxWaiting: int64(n * queuePerSlot)}
	for range n {
		s.free <- struct{}{}
	}
	return s
}

// acquire waits for a slot. It reports false if the queue is full or ctx is done first.
func (s *slots) acquire(ctx context.Context) bool {
	if s.waiting.Add(1) > s.maxWaiting {
		s.waiting.Add(-1)
		return false
	}
	defer s.waiting.Add(-1)
	select {
	case <-s.free:
		s.running.Add(1)
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *slots) release() {
	s.running.Add(-1)
	s.free <- struct{}{}
}

// load returns the number of running and waiting requests per slot.
func (s *slots) load() float64 {
	return float64(s.running.Load()+s.waiting.Load()) / float64(cap(s.free))
}
