package upstream

import (
	"sync"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/policy/replica"
)

// zone is the failure state of one availability zone, shared by its upstreams. Lock
// order: a server's lock before a zone's.
type zone struct {
	mu    sync.Mutex
	state replica.Zone
}

func (z *zone) replied() {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.state.Replied()
}

func (z *zone) reset() {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.state = replica.Zone{}
}

func (z *zone) failed() {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.state.Failed()
}

func (z *zone) suspect() bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.state.Suspect()
}

func (z *zone) probeDue(now time.Duration) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.state.ProbeDue(now)
}
