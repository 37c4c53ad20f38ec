// Package poison decides whether a request that is suspected of crashing upstreams may
// run. Requests are identified by fingerprint, a hash; each connection lost while an
// attempt runs is one suspicion. Methods only read a Record, take no locks and read no
// clock; the owner guards a Record that it modifies.
package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// SuspicionLimit is the number of suspicions from which a fingerprint is refused for a while.
	SuspicionLimit = 2
	// SuspicionTTL is how long a loss counts against a fingerprint.
	SuspicionTTL = 5 * time.Minute
	// firstPause is how long a fingerprint is refused after SuspicionLimit suspicions; each trial that fails after that
	// makes it pauseFactor times as long, up to SuspicionTTL. So a request that ends upstreams reaches at most three more
	// within SuspicionTTL, and one that does not is refused for firstPause.
	firstPause  = 10 * time.Second
	pauseFactor = 6
	// RunLease is how long a run of a suspected fingerprint on one VM excludes runs on
	// others.
	RunLease = 5 * time.Second
	// MaxGuards is the largest number of VMs that are asked about one fingerprint.
	MaxGuards = 63
	// MaxLosses is the largest number of losses recorded for one fingerprint.
	MaxLosses = 8
)

// Record holds what one VM knows of a fingerprint. The zero value has no suspicions.
type Record struct {
	// Losses holds the expiry of each suspicion, by the request ID of the lost attempt.
	Losses map[string]time.Duration
	// Shards holds the shards of a loss whose search was answered by others; empty for other losses.
	Shards map[string][]string
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
	// Refuse: do not run it for now.
	Refuse
)

// Decide returns the verdict on the fingerprint and, for Refuse, how long it holds.
func (r Record) Decide(now time.Duration) (Verdict, time.Duration) {
	suspected := r.suspicions(now)
	switch {
	case len(suspected) == 0:
		return Allow, 0
	case len(suspected) < SuspicionLimit:
		return Ask, 0
	}
	until := suspected[len(suspected)-1] + pauseAfter(rounds(suspected))
	if until <= now {
		return Ask, 0
	}
	return Refuse, until - now
}

// suspicions returns when the losses occurred that count at now, in order.
func (r Record) suspicions(now time.Duration) (at []time.Duration) {
	for id, expires := range r.Losses {
		if expires > now && r.Cleared[id] <= now {
			at = append(at, expires-SuspicionTTL)
		}
	}
	slices.Sort(at)
	return at
}

// SuspectedShards returns the shards of the losses that count at now, sorted.
func (r Record) SuspectedShards(now time.Duration) (shards []string) {
	for id, expires := range r.Losses {
		if expires > now && r.Cleared[id] <= now {
			shards = append(shards, r.Shards[id]...)
		}
	}
	slices.Sort(shards)
	return slices.Compact(shards)
}

// rounds returns the number of times at which losses occurred that were not under way at once.
func rounds(at []time.Duration) (n int) {
	for i := range at {
		if i == 0 || at[i]-at[i-1] > RunLease {
			n++
		}
	}
	return n
}

// pauseAfter returns how long a fingerprint is refused after its losses in a number of rounds.
func pauseAfter(rounds int) time.Duration {
	pause := firstPause
	for range rounds - 1 {
		pause = min(pause*pauseFactor, SuspicionTTL)
	}
	return pause
}

// AddLoss records a loss and its shards, if any. Of more than MaxLosses, one is dropped that is closest to the one before: how often and when
// there were losses matters more than how many at once.
func (r Record) AddLoss(id string, expires time.Duration, shards ...string) {
	r.Losses[id], r.Shards[id] = expires, shards
	if len(r.Losses) <= MaxLosses {
		return
	}
	ids := slices.SortedFunc(maps.Keys(r.Losses), func(a, b string) int { return cmp.Compare(r.Losses[a], r.Losses[b]) })
	drop := 1
	for i := 2; i < len(ids); i++ {
		if r.Losses[ids[i]]-r.Losses[ids[i-1]] < r.Losses[ids[drop]]-r.Losses[ids[drop-1]] {
			drop = i
		}
	}
	delete(r.Losses, ids[drop])
	delete(r.Shards, ids[drop])
}

// NewRecord returns a Record without suspicions that can be modified.
func NewRecord() *Record {
	return &Record{
		Losses: map[string]time.Duration{}, Shards: map[string][]string{}, Cleared: map[string]time.Duration{}, Runs: map[string]time.Duration{},
	}
}

// Clone returns a copy of the record.
func (r *Record) Clone() Record {
	return Record{Losses: maps.Clone(r.Losses), Shards: maps.Clone(r.Shards), Cleared: maps.Clone(r.Cleared), Runs: maps.Clone(r.Runs)}
}

// DropExpired drops the entries that have expired.
func (r *Record) DropExpired(now time.Duration) {
	for _, m := range []map[string]time.Duration{r.Losses, r.Cleared, r.Runs} {
		maps.DeleteFunc(m, func(_ string, until time.Duration) bool { return until <= now })
	}
	maps.DeleteFunc(r.Shards, func(id string, _ []string) bool { return r.Losses[id] == 0 })
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
