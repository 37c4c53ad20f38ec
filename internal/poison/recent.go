package poison

import (
	"time"

	policy "github.com/sardinespindle/sardinespindle/internal/policy/poison"
)

// recent is what this VM did with a fingerprint. Runs that ended without a word are
// forgotten with the lease.
type recent struct {
	started time.Duration
	running int
	// told says that the fleet was told of a run.
	told     bool
	answered time.Duration
	proven   bool
}

// left is how long a run may still be under way.
func (r recent) left(now time.Duration) time.Duration {
	if r.running == 0 {
		return 0
	}
	return r.started + policy.RunLease - now
}

func (r recent) start(now time.Duration) recent {
	if r.left(now) <= 0 {
		r.running = 0
	}
	r.started = now
	r.running++
	return r
}

func (r recent) end() recent {
	r.running = max(r.running-1, 0)
	return r
}

// started notes that this VM may be running a fingerprint.
func (g *Guard) started(fingerprint string, now time.Duration) {
	sh := g.shard(fingerprint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	r, _ := sh.recent.Get(fingerprint)
	sh.recent.Add(fingerprint, r.start(now))
}

// reserve is started, but only where nothing else runs the fingerprint here.
func (g *Guard) reserve(fingerprint string) bool {
	now := g.now()
	sh := g.shard(fingerprint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	r, _ := sh.recent.Get(fingerprint)
	if r.left(now) > 0 {
		return false
	}
	sh.recent.Add(fingerprint, r.start(now))
	return true
}

// ended notes the end of a run by a loss and reports whether the fingerprint was
// proven before.
func (g *Guard) ended(fingerprint string) bool {
	sh := g.shard(fingerprint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	r, _ := sh.recent.Get(fingerprint)
	sh.recent.Add(fingerprint, r.end())
	return policy.Proven(g.now(), r.answered, r.proven)
}

// setTold notes that the fleet was told that this VM runs a fingerprint, or that it
// does not any more, and returns what was noted before.
func (g *Guard) setTold(fingerprint string, told bool) (before bool) {
	sh := g.shard(fingerprint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	r, _ := sh.recent.Get(fingerprint)
	before, r.told = r.told, told
	sh.recent.Add(fingerprint, r)
	return before
}
