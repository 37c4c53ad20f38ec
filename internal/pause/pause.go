// Package pause waits for a time or for the end of a context, whichever is first. It
// has no state.
package pause

import (
	"context"
	"math/rand/v2"
	"time"
)

// For waits; it reports whether the time passed before the context ended.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Spread returns a random duration between half and one and a half of d.
func Spread(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
