package claims

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/pause"
	"github.com/sardinespindle/sardinespindle/internal/policy/once"
	"github.com/sardinespindle/sardinespindle/schema/gen/peer"
)

const (
	// recordTimeout bounds how long Record waits for the acknowledgements of guards.
	recordTimeout = 200 * time.Millisecond
	// deliveryTimeout bounds the delivery of a release, record or leave to one VM, with its
	// retries.
	deliveryTimeout  = 2 * time.Second
	deliveryAttempts = 3
	// maxDeliveries bounds the deliveries under way; further ones are dropped.
	maxDeliveries = 8192
)

// ErrQuorumNotStored is returned if fewer guards than a quorum confirmed in time that they
// stored an outcome. Deliveries to other guards that are still under way continue.
var ErrQuorumNotStored = errors.New("outcome stored by less than a quorum")

// Hold is a won claim. Its owner must call Release or Record exactly once; until then,
// resends through other VMs wait. A Hold may be used concurrently.
type Hold struct {
	c           *Claims
	key         string
	fingerprint string
	claimant    string
	born        time.Time
	deadline    time.Duration
	need        int
	guards      []string
	done        chan struct{}

	mu    sync.Mutex
	ended bool
}

// StillValid reports whether the request may be written at the given time of clock.Boot.
// It must be called immediately before the first byte is written, because the process may
// have been paused past the deadline.
func (h *Hold) StillValid(now time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.ended && now < h.deadline
}

// Release gives the votes back, so that another attempt may run. It must not be called if
// an upstream may have run the request or may still run it. It does not wait for replies.
func (h *Hold) Release(ctx context.Context) {
	if !h.end() || h.guards == nil {
		return
	}
	h.c.unregister(h)
	h.c.deliverRelease(ctx, h.key, h.claimant, h.guards)
}

// Record stores the final outcome of the key for resends, even if it is unknown or "not
// run"; no attempt with the key runs afterwards. Record returns once a quorum has stored
// the outcome, after recordTimeout at the latest.
func (h *Hold) Record(ctx context.Context, outcome string) error {
	if !h.end() || h.guards == nil {
		return nil
	}
	if len(outcome) > once.MaxOutcome {
		outcome = ""
	}
	m := &peer.Record{Key: h.key, Claimant: h.claimant, Fingerprint: h.fingerprint, Outcome: outcome}
	stored := 0
	if r := h.c.handleRecord(m); r != nil && r.Found.Known {
		stored = 1
	}
	h.c.unregister(h)
	return h.c.deliverRecord(ctx, m, h.guards, h.need-stored)
}

// end ends the hold and wakes the waiting lookups. It reports false if it had ended before.
func (h *Hold) end() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return false
	}
	h.ended = true
	close(h.done)
	return true
}

// register makes lookups of the key wait for the hold.
func (c *Claims) register(h *Hold) {
	s := c.shard(h.key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holds[h.key] = h
}

func (c *Claims) unregister(h *Hold) {
	s := c.shard(h.key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holds[h.key] == h {
		delete(s.holds, h.key)
	}
}

// deliverRelease releases a claim at this VM, and at the other guards in the background.
func (c *Claims) deliverRelease(ctx context.Context, key, claimant string, guards []string) {
	m := &peer.Release{Key: key, Claimant: claimant}
	c.handleRelease(m)
	for _, g := range guards {
		if g != c.o.VM {
			go c.deliver(ctx, g, &peer.Message{Release: m})
		}
	}
}

// deliverRecord delivers an outcome to the other guards and waits until the needed number
// of them has stored it. Deliveries continue after deliverRecord has returned.
func (c *Claims) deliverRecord(ctx context.Context, m *peer.Record, guards []string, need int) error {
	acks := make(chan bool, len(guards))
	sent := 0
	for _, g := range guards {
		if g == c.o.VM {
			continue
		}
		sent++
		go func() { acks <- c.deliver(ctx, g, &peer.Message{Record: m}) }()
	}
	t := time.NewTimer(recordTimeout)
	defer t.Stop()
	stored := 0
	for range sent {
		if stored >= need {
			return nil
		}
		select {
		case ok := <-acks:
			if ok {
				stored++
			}
		case <-t.C:
			return ErrQuorumNotStored
		case <-ctx.Done():
			return ErrQuorumNotStored
		}
	}
	if stored < need {
		return ErrQuorumNotStored
	}
	return nil
}

// deliver sends a message to one VM, with retries, and reports whether the VM accepted it.
// It ignores the cancellation of ctx, because releases, outcomes and leaves must arrive
// even if the caller's request has ended.
func (c *Claims) deliver(ctx context.Context, vm string, m *peer.Message) bool {
	if c.deliveries.Add(1) > maxDeliveries {
		c.deliveries.Add(-1)
		return false
	}
	defer c.deliveries.Add(-1)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deliveryTimeout)
	defer cancel()
	for try := range deliveryAttempts {
		copied := *m
		r, err := c.o.Call(ctx, vm, &copied)
		if err == nil {
			return r != nil && (r.Joined != nil || r.Found != nil && r.Found.Known)
		}
		if !pause.Sleep(ctx, backoff(try)) {
			return false
		}
	}
	return false
}
