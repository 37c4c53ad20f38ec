package standin

import (
	"context"
	"sync/atomic"
)

// queuePerSlot bounds the requests that wait for each slot.
const queuePerSlot = 8

// slots serves a bounded number of requests at a time and queues a bounded number.
type slots struct {
	free    chan struct{}
	waiting atomic.Int64
	running atomic.Int64
	queue   int64
}

func newSlots(n int) *slots {
	s := &slots{free: make(chan struct{}, n), queue: int64(n * queuePerSlot)}
	for range n {
		s.free <- struct{}{}
	}
	return s
}

// take waits for a slot; it reports false where the queue is full or ctx is done first.
func (s *slots) take(ctx context.Context) bool {
	if s.waiting.Add(1) > s.queue {
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

func (s *slots) give() {
	s.running.Add(-1)
	s.free <- struct{}{}
}

// load is the requests running and queued, by slots.
func (s *slots) load() float64 {
	return float64(s.running.Load()+s.waiting.Load()) / float64(cap(s.free))
}
