// Package poison decides whether a request that is suspected of crashing upstreams may
// run. Requests are identified by fingerprint, a hash; each connection lost while an
// attempt runs is one suspicion. Methods only read a Record, take no locks and read no
// clock; the owner guards a Record that it modifies.
package poison

import "time"

const (
	// SuspicionLimit is the number of suspicions from which a fingerprint is refused.
	SuspicionLimit = 2
	// SuspicionTTL is how long a loss counts against a fingerprint.
	SuspicionTTL = 5 * time.Minute
	// RunLease is how long a run of a suspected fingerprint on one VM excludes runs on
	// others.
	RunLease = 5 * time.Second
	// ProvenTTL is how long after a complete answer a loss counts against the upstream
	// alone, not against the fingerprint.
	ProvenTTL = 10 * time.Second
	// MaxGuards is the largest number of VMs that are asked about one fingerprint.
	MaxGuards = 63
	// MaxLosses is the largest number of losses recorded for one fingerprint.
	MaxLosses = 8
)

// Record holds what one VM knows of a fingerprint. The zero value has no suspicions.
type Record struct {
	// Losses holds the expiry of each suspicion, by the request ID of the lost attempt.
	Losses map[string]time.Duration
	// Cleared holds the request IDs of suspicions that a later answer cleared, and until
	// when they are cleared.
	Cleared map[string]time.Duration
	// Runs holds, by origin, the end of the lease of each VM that may be running the
	// fingerprint.
	Runs map[string]time.Duration
}

// Verdict says whether a VM may run a fingerprint.
type Verdict int

// Verdicts on a fingerprint.
const (
	// Allow: there are no suspicions; run it.
	Allow Verdict = iota
	// Ask: it is suspected; run it only if Permit allows it.
	Ask
	// Refuse: do not run it until fewer than SuspicionLimit suspicions are left.
	Refuse
)

// Decide returns the verdict on the fingerprint and, for Refuse, the time until fewer than
// SuspicionLimit suspicions are left.
func (r Record) Decide(now time.Duration) (Verdict, time.Duration) {
	var count int
	var nextToLast, last time.Duration
	for id, expires := range r.Losses {
		if expires <= now || r.Cleared[id] > now {
			continue
		}
		count++
		if expires >= last {
			nextToLast, last = last, expires
		} else {
			nextToLast = max(nextToLast, expires)
		}
	}
	switch {
	case count >= SuspicionLimit:
		return Refuse, nextToLast - now
	case count > 0:
		return Ask, 0
	default:
		return Allow, 0
	}
}

// Permit decides whether this VM may run a suspected fingerprint, after it announced the
// run to the fingerprint's guards and merged their replies into the Record. acks counts
// the guards that acknowledged, this VM included if it is one. A majority is required, so
// that of two VMs that announce a run at once at least one learns of the other.
func (r Record) Permit(now time.Duration, self string, acks, guards int) bool {
	if verdict, _ := r.Decide(now); verdict == Refuse {
		return false
	}
	if 2*acks <= guards {
		return false
	}
	return !r.RunsElsewhere(now, self)
}

// RunsElsewhere reports whether a VM other than self may be running the fingerprint.
func (r Record) RunsElsewhere(now time.Duration, self string) bool {
	for origin, expiresAt := range r.Runs {
		if origin != self && expiresAt > now {
			return true
		}
	}
	return false
}

// Expired reports whether every entry of the record has expired.
func (r Record) Expired(now time.Duration) bool {
	for _, m := range []map[string]time.Duration{r.Losses, r.Cleared, r.Runs} {
		for _, expiresAt := range m {
			if expiresAt > now {
				return false
			}
		}
	}
	return true
}

// Proven reports whether a loss at now counts against the upstream alone, because the same
// fingerprint was answered completely less than ProvenTTL ago. ever says whether it was
// answered at all.
func Proven(now, answered time.Duration, ever bool) bool {
	return ever && now-answered < ProvenTTL
}
