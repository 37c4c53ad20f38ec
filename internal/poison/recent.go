package poison

import (
	"time"

	policy "github.com/sardinespindle/sardinespindle/internal/policy/poison"
)

// localRuns holds this VM's runs of a fingerprint. A run whose end was not reported stops
// counting when its lease expires.
type localRuns struct {
	lastStart time.Duration
	running   int
	announced bool
}

// leaseLeft returns how long a run may still be under way; 0 or less if none is.
func (r localRuns) leaseLeft(now time.Duration) time.Duration {
	if r.running == 0 {
		return 0
	}
	return r.lastStart + policy.RunLease - now
}

func (r localRuns) start(now time.Duration) localRuns {
	if r.leaseLeft(now) <= 0 {
		r.running = 0
	}
	r.lastStart = now
	r.running++
	return r
}

func (r localRuns) end() localRuns {
	r.running = max(r.running-1, 0)
	return r
}

// startRun records that this VM may be running a fingerprint.
func (g *Guard) startRun(fingerprint string, now time.Duration) {
	sh := g.shard(fingerprint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	r, _ := sh.local.Get(fingerprint)
	sh.local.Add(fingerprint, r.start(now))
}

// tryStartRun records a run as startRun does and reports true. If this VM may already be
// running the fingerprint, tryStartRun records nothing and reports false.
func (g *Guard) tryStartRun(fingerprint string) bool {
	now := g.now()
	sh := g.shard(fingerprint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	r, _ := sh.local.Get(fingerprint)
	if r.leaseLeft(now) > 0 {
		return false
	}
	sh.local.Add(fingerprint, r.start(now))
	return true
}

// endRun records the end of a run.
func (g *Guard) endRun(fingerprint string) {
	sh := g.shard(fingerprint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	r, _ := sh.local.Get(fingerprint)
	sh.local.Add(fingerprint, r.end())
}

// setAnnounced records whether this VM's run of a fingerprint is announced to the other
// VMs, and returns the previous value.
func (g *Guard) setAnnounced(fingerprint string, announced bool) (before bool) {
	sh := g.shard(fingerprint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	r, _ := sh.local.Get(fingerprint)
	before, r.announced = r.announced, announced
	sh.local.Add(fingerprint, r)
	return before
}
