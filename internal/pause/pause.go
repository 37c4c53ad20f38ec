// Package pause sleeps for a duration unless a context ends first, and adds jitter to
// durations. It has no state and is safe for concurrent use.
package pause

import (
	"context"
	"math/rand/v2"
	"time"
)

// Sleep sleeps for d or until ctx ends. It reports whether all of d passed.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Jitter returns a random duration, uniform in [0.5 d, 1.5 d). It panics if d is not
// positive.
func Jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
