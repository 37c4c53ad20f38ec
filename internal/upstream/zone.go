package upstream

import (
	"sync"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/policy/replica"
)

// zone is the state of one availability zone, shared by its upstreams. Its lock is
// taken inside a server's, never the other way round.
type zone struct {
	mu    sync.Mutex
	state replica.Zone
}

func (z *zone) answered() {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.state.Answered()
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
