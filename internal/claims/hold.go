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
	// recordTime bounds how long Record waits for acknowledgements.
	recordTime = 200 * time.Millisecond
	// pushTime bounds the delivery of a release or record to one VM.
	pushTime = 2 * time.Second
	// pushTries bounds the attempts of one delivery.
	pushTries = 3
	// pushLimit bounds the deliveries under way.
	pushLimit = 8192
)

// ErrFewCopies says that an outcome was stored by fewer guards than a quorum in
// time. It is stored at this VM, and its delivery to the others goes on.
var ErrFewCopies = errors.New("outcome stored by less than a quorum")

// Hold is a won claim. Its owner calls exactly one of Release and Record; until
// then resends through other VMs wait for it.
type Hold struct {
	c           *Claims
	key         string
	fingerprint string
	claimant    string
	born        time.Time
	until       time.Duration
	need        int
	guards      []string
	done        chan struct{}

	mu    sync.Mutex
	ended bool
}

// StillValid reports whether the request may be written now, by clock.Boot. It
// is asked immediately before the first byte is written.
func (h *Hold) StillValid(now time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.ended && now < h.until
}

// Release gives the votes back. It may be called only where no upstream has run
// the request or still can; it waits for no reply.
func (h *Hold) Release(ctx context.Context) {
	if !h.end() || h.guards == nil {
		return
	}
	h.c.unlive(h)
	h.c.release(ctx, h.key, h.claimant, h.guards)
}

// Record stores the final outcome of the key for resends, whatever it is: also
// unknown, and also a refusal after which the key stays closed for good. It
// returns once a quorum has stored it, or after a short time.
func (h *Hold) Record(ctx context.Context, outcome string) error {
	if !h.end() || h.guards == nil {
		return nil
	}
	if len(outcome) > once.MaxOutcome {
		outcome = ""
	}
	m := &peer.Record{Key: h.key, Claimant: h.claimant, Fingerprint: h.fingerprint, Outcome: outcome}
	h.c.handleRecord(m)
	h.c.unlive(h)
	return h.c.record(ctx, m, h.guards, h.need)
}

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

// live registers a hold, so that lookups wait for it.
func (c *Claims) live(h *Hold) {
	s := c.shard(h.key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.live[h.key] = h
}

func (c *Claims) unlive(h *Hold) {
	s := c.shard(h.key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.live[h.key] == h {
		delete(s.live, h.key)
	}
}

// release delivers a release to every guard asked, in the background.
func (c *Claims) release(ctx context.Context, key, claimant string, guards []string) {
	m := &peer.Release{Key: key, Claimant: claimant}
	c.handleRelease(m)
	for _, g := range guards {
		if g != c.o.VM {
			go c.push(ctx, g, &peer.Message{Release: m})
		}
	}
}

// record delivers an outcome to every guard and waits for some of them.
func (c *Claims) record(ctx context.Context, m *peer.Record, guards []string, need int) error {
	acks := make(chan bool, len(guards))
	asked := 0
	for _, g := range guards {
		if g == c.o.VM {
			continue
		}
		asked++
		go func() { acks <- c.push(ctx, g, &peer.Message{Record: m}) }()
	}
	t := time.NewTimer(recordTime)
	defer t.Stop()
	stored := 1
	for range asked {
		if stored >= need {
			return nil
		}
		select {
		case ok := <-acks:
			if ok {
				stored++
			}
		case <-t.C:
			return ErrFewCopies
		case <-ctx.Done():
			return ErrFewCopies
		}
	}
	if stored < need {
		return ErrFewCopies
	}
	return nil
}

// push delivers a message to one VM, also after its request has ended.
func (c *Claims) push(ctx context.Context, vm string, m *peer.Message) bool {
	if c.pushing.Add(1) > pushLimit {
		c.pushing.Add(-1)
		return false
	}
	defer c.pushing.Add(-1)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), pushTime)
	defer cancel()
	for try := range pushTries {
		copied := *m
		r, err := c.o.Call(ctx, vm, &copied)
		if err == nil {
			return r != nil && (r.Joined != nil || r.Found != nil && r.Found.Known)
		}
		if !pause.For(ctx, jitter(try)) {
			return false
		}
	}
	return false
}
