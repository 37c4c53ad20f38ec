// Package delegate decides where a search runs. From an availability zone without replicas
// a search is delegated to a VM near the shards: one merged reply crosses zones instead of
// a reply per shard. The package also decides which VMs are gatherers and which are readers
// of the platform's store. It does no I/O; the owner guards each Peer and SearchCoverage,
// and everything else may be called concurrently.
package delegate

import "time"

const (
	// ownZoneBonus is added to the share of the shards near a search's own zone, so that
	// the search leaves that zone only for one near many more shards.
	ownZoneBonus = 0.4
	// baseExclusion is how long a VM gets no search after one failure; each further
	// failure without a reply in between doubles it, up to maxExclusion.
	baseExclusion = time.Second
	maxExclusion  = 8 * time.Second
	// lostFailures is the number of failures in a row after which other VMs are told: one alone
	// may be a short pause.
	lostFailures = 2
)

// Peer holds one VM's view of another as a gatherer. The zero value has no failures.
type Peer struct {
	// InFlight counts the searches delegated to the VM and not yet ended.
	InFlight int

	failures      int // since the last reply
	exclusions    int // since the last reply
	excludedUntil time.Duration
}

// Replied records a reply of the VM; it ends its exclusion.
func (p *Peer) Replied() { p.failures, p.exclusions, p.excludedUntil = 0, 0, 0 }

// Failed records at now that the VM did not reply, and excludes it for a while. Failures while it is
// excluded are of requests that were under way, and exclude it no longer. It reports whether the VM
// counts as lost: it failed lostFailures times in a row.
func (p *Peer) Failed(now time.Duration) (lost bool) {
	const maxDoublings = 3
	p.failures++
	if p.Usable(now) {
		p.excludedUntil = now + min(baseExclusion<<min(p.exclusions, maxDoublings), maxExclusion)
		p.exclusions++
	}
	return p.failures >= lostFailures
}

// Usable reports whether the VM may be given a search at now.
func (p *Peer) Usable(now time.Duration) bool { return now >= p.excludedUntil }

// LastResort returns the index of the VM whose exclusion ends first; -1 if there is none.
func LastResort(peers []Peer) int {
	best := -1
	for i := range peers {
		if best < 0 || peers[i].excludedUntil < peers[best].excludedUntil {
			best = i
		}
	}
	return best
}

// StaysInZone decides for one request of a VM that reaches no upstream whether it goes to a VM of the own
// zone: as often as VMs of that zone reach upstreams, so that the few left there do not get the work of
// all. reaching and all count these VMs and all of the zone; random is uniform in [0, 1).
func StaysInZone(reaching, all int, random float64) bool {
	return random*float64(all) < float64(reaching)
}

// Choose draws a usable VM at random twice and returns the index of the one with fewer
// searches in flight; -1 if none is usable. random returns uniform numbers in [0, 1).
func Choose(peers []Peer, now time.Duration, random func() float64) int {
	var usable []int
	for i := range peers {
		if peers[i].Usable(now) {
			usable = append(usable, i)
		}
	}
	if len(usable) == 0 {
		return -1
	}
	draw := func() int { return usable[int(random()*float64(len(usable)))] }
	a, b := draw(), draw()
	if peers[b].InFlight < peers[a].InFlight {
		return b
	}
	return a
}
