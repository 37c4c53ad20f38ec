// Package poison decides whether a request that is suspected of crashing
// upstreams may run. A request is known by its fingerprint; each loss of a
// connection in the middle of a run is one suspicion. The package holds no lock and
// reads no clock.
package poison

import "time"

const (
	// Limit is the number of losses after which a fingerprint is refused.
	Limit = 2
	// Expiry is how long a suspicion lasts.
	Expiry = 5 * time.Minute
	// RunLease is how long a VM may be running a suspected fingerprint before
	// another one may.
	RunLease = 5 * time.Second
	// ProvenFor is how long after an answer a loss is held against the upstream
	// alone.
	ProvenFor = 10 * time.Second
	// Guards bounds the VMs that are asked about one fingerprint.
	Guards = 63
	// MaxLosses bounds the losses kept of one fingerprint.
	MaxLosses = 8
)

// Record is what one VM knows of a fingerprint. The zero value is a fingerprint
// without suspicion.
type Record struct {
	// Losses holds the expiry of each suspicion, by the lost attempt's request id.
	Losses map[string]time.Duration
	// Cleared holds the suspicions that a later answer lifted, with their expiry.
	Cleared map[string]time.Duration
	// Runs holds the end of the lease of each VM that may be running it, by origin.
	Runs map[string]time.Duration
}

// Verdict says what a VM may do with a fingerprint.
type Verdict int

// Verdicts on a fingerprint.
const (
	// Free: no suspicion; run it.
	Free Verdict = iota
	// Ask: suspected; run it only with the fleet's permission.
	Ask
	// Refuse: refused until its suspicions expire.
	Refuse
)

// Judge returns the verdict on a fingerprint and, for Refuse, when to come back.
func (r Record) Judge(now time.Duration) (Verdict, time.Duration) {
	var count int
	var second, last time.Duration
	for id, expires := range r.Losses {
		if expires <= now || r.Cleared[id] > now {
			continue
		}
		count++
		if expires >= last {
			second, last = last, expires
		} else {
			second = max(second, expires)
		}
	}
	switch {
	case count >= Limit:
		return Refuse, second - now
	case count > 0:
		return Ask, 0
	default:
		return Free, 0
	}
}

// Permit decides on a run of a suspected fingerprint, after this VM stated to the
// fingerprint's guards that it means to run it and heard back. Acks counts the guards
// that acknowledged, this VM included where it is one. A majority is asked for, so
// that of two VMs that ask at once at least one hears of the other.
func (r Record) Permit(now time.Duration, self string, acks, guards int) bool {
	if verdict, _ := r.Judge(now); verdict == Refuse {
		return false
	}
	if 2*acks <= guards {
		return false
	}
	return !r.RunsElsewhere(now, self)
}

// RunsElsewhere reports whether another VM may be running the fingerprint.
func (r Record) RunsElsewhere(now time.Duration, self string) bool {
	for origin, until := range r.Runs {
		if origin != self && until > now {
			return true
		}
	}
	return false
}

// Expired reports whether nothing of the record matters any more.
func (r Record) Expired(now time.Duration) bool {
	for _, m := range []map[string]time.Duration{r.Losses, r.Cleared, r.Runs} {
		for _, until := range m {
			if until > now {
				return false
			}
		}
	}
	return true
}

// Proven reports whether a loss now is held against the upstream alone: the same
// fingerprint was answered whole a moment ago.
func Proven(now, answered time.Duration, ever bool) bool {
	return ever && now-answered < ProvenFor
}
