package poison

import (
	"context"
	"fmt"
	"strings"
	"sync"

	policy "github.com/sardinespindle/sardinespindle/internal/policy/poison"
)

// Run is one run of a request on this VM. It watches the request's attempts, and records upstreams that ended
// under it. The methods of a nil Run do nothing.
type Run struct {
	g               *Guard
	fingerprint, id string

	mu       sync.Mutex // guards attempts
	attempts map[string]*policy.Attempt
}

// Sending records that an attempt is about to be sent to the upstream at an address.
func (r *Run) Sending(address string) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempts == nil {
		r.attempts = map[string]*policy.Attempt{}
	}
	r.attempts[address] = &policy.Attempt{}
}

// Sent records what is known of an upstream after the attempt at it.
func (r *Run) Sent(address string, f policy.Fate) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if a := r.attempts[address]; a != nil {
		a.Fate = f
	}
}

// End records what the run shows. If upstreams ended, it returns once the guards have acknowledged that, after
// askTimeout at the latest. Attempts that end later do not count.
func (r *Run) End(ctx context.Context) {
	if r == nil {
		return
	}
	ran, losses := r.judge()
	if ran {
		r.g.RecordAnswer(r.fingerprint)
		return
	}
	proven := r.g.endRun(r.fingerprint)
	var reported sync.WaitGroup
	for i := range losses {
		reported.Go(func() { r.g.reportLoss(ctx, r.fingerprint, fmt.Sprint(r.id, "-", i), proven) })
	}
	reported.Wait()
}

func (r *Run) judge() (ran bool, losses int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	attempts := make([]policy.Attempt, 0, len(r.attempts))
	for _, a := range r.attempts {
		attempts = append(attempts, *a)
	}
	return policy.Judge(attempts)
}

// factID returns the form in which the id of a request is part of a fact's key.
func factID(requestID string) string { return strings.ReplaceAll(requestID, "/", "_") }
