package once

import (
	"container/heap"
	"slices"
	"time"
)

// Verdict is a guard's decision on a claim.
type Verdict string

// Verdicts on a claim. Only Granted counts towards a quorum.
const (
	Granted         Verdict = "granted"
	Held            Verdict = "held"
	Recorded        Verdict = "recorded"
	Abstained       Verdict = "abstained"
	StaleGeneration Verdict = "stale_generation"
	Mismatch        Verdict = "mismatch"
	Expired         Verdict = "expired"
	Full            Verdict = "full"
)

// Claim asks for a guard's vote.
type Claim struct {
	Key         string
	Fingerprint string
	// Claimant is unique to one round of one attempt and is never used again.
	Claimant   string
	Born       time.Time
	Window     time.Duration
	Generation int
}

// Vote is a guard's reply to a claim.
type Vote struct {
	Verdict Verdict
	// Holder is the claimant that has the guard's vote, if the verdict is Held.
	Holder string
	// Outcome is the recorded outcome, if the verdict is Recorded; empty if it was not kept.
	Outcome string
}

// GuardState is the state of a guard's VM on which its votes depend.
type GuardState struct {
	// Generation is that of the manifest in force.
	Generation int
	// Votes says that the guard is admitted and its VM list is not too old.
	Votes bool
}

// entry is what a guard knows of one key.
type entry struct {
	key string
	// complete says that the guard would know of any vote it gave on the key. An entry
	// added by a release or record is incomplete if the guard may have voted on the key
	// before a restart, or in an entry that was dropped.
	complete    bool
	born        time.Time
	fingerprint string
	holder      string
	recorded    bool
	outcome     string
	released    []string
}

// Guard holds a guard's votes and recorded outcomes for a part of the keys.
type Guard struct {
	p Params
	// votesSince is when the guard started or was last admitted.
	votesSince time.Time
	latestTime time.Time
	// droppedBirth is the latest birth among dropped keys. The guard may have voted
	// on any key that was born no later and is not in entries.
	droppedBirth time.Time
	// retention plus FutureSkew is how long a key is kept after the key's birth. retention
	// is Params.MinRetention or, if longer, the longest window of a claim that added a key.
	retention time.Duration
	bytes     int
	entries   map[string]*entry
	queue     queue
}

// NewGuard returns the empty Guard of a process that started at the given time.
func NewGuard(p Params, started time.Time) *Guard {
	return &Guard{p: p, votesSince: started, retention: p.MinRetention, entries: make(map[string]*entry)}
}

// Len returns the number of keys held.
func (g *Guard) Len() int { return len(g.entries) }

// Claim decides on a claim and stores the vote if it is granted. An outcome that is already
// recorded under the claim's fingerprint is returned whatever the key's age and the
// guard's state.
func (g *Guard) Claim(now time.Time, c Claim, s GuardState) Vote {
	now = g.advance(now)
	e := g.entries[c.Key]
	if e != nil && e.recorded && e.fingerprint == c.Fingerprint {
		return Vote{Verdict: Recorded, Outcome: e.outcome}
	}
	if now.After(c.Born.Add(c.Window)) {
		return Vote{Verdict: Expired}
	}
	if !s.Votes || g.predatesGuard(c.Born) || c.Born.After(now.Add(g.p.FutureSkew)) {
		return Vote{Verdict: Abstained}
	}
	if c.Generation < s.Generation {
		return Vote{Verdict: StaleGeneration}
	}
	if e == nil {
		return g.claimNew(c)
	}
	if !e.complete {
		return Vote{Verdict: Abstained}
	}
	return e.claim(c)
}

// claimNew decides on a key that has no entry.
func (g *Guard) claimNew(c Claim) Vote {
	if !g.KnowsVotes(c.Born) {
		return Vote{Verdict: Abstained}
	}
	if len(g.entries) >= g.p.MaxKeys {
		return Vote{Verdict: Full}
	}
	g.retention = max(g.retention, c.Window)
	e := g.add(c.Key, c.Born)
	e.fingerprint = c.Fingerprint
	e.holder = c.Claimant
	return Vote{Verdict: Granted}
}

// claim decides on a key that has a complete entry.
func (e *entry) claim(c Claim) Vote {
	if e.fingerprint == "" {
		e.fingerprint = c.Fingerprint
	}
	if e.fingerprint != c.Fingerprint {
		return Vote{Verdict: Mismatch}
	}
	if slices.Contains(e.released, c.Claimant) {
		return Vote{Verdict: Abstained}
	}
	if e.holder != "" && e.holder != c.Claimant {
		return Vote{Verdict: Held, Holder: e.holder}
	}
	e.holder = c.Claimant
	return Vote{Verdict: Granted}
}

// Admit records that the guard was admitted as a voter. From then on it votes only on keys
// born at least FutureSkew plus ClockSkew later, since the VMs that admitted it may not
// know of votes on earlier ones.
func (g *Guard) Admit(now time.Time) {
	if now.After(g.votesSince) {
		g.votesSince = now
	}
}

// KnowsVotes reports whether the guard would know of any vote that it, or an earlier
// process of its VM, gave on a key born at the given time.
func (g *Guard) KnowsVotes(born time.Time) bool {
	return born.After(g.droppedBirth) && !g.predatesGuard(born)
}

// predatesGuard reports whether votes on a key may have been given before the guard started
// or was admitted. A vote is given at most FutureSkew before the key's birth by the voter's
// clock, which may differ from this VM's by ClockSkew.
func (g *Guard) predatesGuard(born time.Time) bool {
	return g.votesSince.Add(g.p.FutureSkew + g.p.ClockSkew).After(born)
}

// Release takes back a vote and records that the claimant's round has ended, so that a
// delayed copy of its claim gets no vote.
func (g *Guard) Release(now time.Time, key, claimant string, born time.Time) {
	now = g.advance(now)
	e := g.entries[key]
	if e == nil {
		if !g.mayAdd(now, born) {
			return
		}
		e = g.add(key, born)
	}
	if e.holder == claimant && !e.recorded {
		e.holder = ""
	}
	if slices.Contains(e.released, claimant) {
		return
	}
	e.released = append(e.released, claimant)
	if drop := len(e.released) - g.p.MaxReleased; drop > 0 {
		e.released = slices.Delete(e.released, 0, drop)
	}
}

// Record stores the outcome of a key that its claimant ran or closed, and reports whether
// the key is recorded. A guard that would abstain records the outcome as well, since
// recording is not voting. An outcome beyond MaxOutcome or MaxBytes is recorded without its
// text.
func (g *Guard) Record(now time.Time, key, claimant, fingerprint, outcome string, born time.Time) bool {
	now = g.advance(now)
	e := g.entries[key]
	if e == nil {
		if !g.mayAdd(now, born) {
			return false
		}
		e = g.add(key, born)
	}
	if e.recorded {
		return true
	}
	e.recorded = true
	e.holder = claimant
	if fingerprint != "" {
		e.fingerprint = fingerprint
	}
	if len(outcome) <= MaxOutcome && g.bytes+len(outcome) <= g.p.MaxBytes {
		e.outcome = outcome
		g.bytes += len(outcome)
	}
	return true
}

// Outcome returns the recorded outcome of a key; false if none is recorded under the
// fingerprint.
func (g *Guard) Outcome(key, fingerprint string) (string, bool) {
	e := g.entries[key]
	if e == nil || !e.recorded || e.fingerprint != fingerprint {
		return "", false
	}
	return e.outcome, true
}

// Expire drops the keys whose retention has ended.
func (g *Guard) Expire(now time.Time) { g.advance(now) }

// mayAdd reports whether a release or record may add an entry for a key: there is capacity,
// and the key is neither past its retention nor born too far in the future.
func (g *Guard) mayAdd(now, born time.Time) bool {
	if len(g.entries) >= g.p.MaxKeys || born.After(now.Add(g.p.FutureSkew+g.p.ClockSkew)) {
		return false
	}
	return !now.After(born.Add(g.retention))
}

// advance sets the guard's time to now, but never back, and drops expired keys. It returns
// the guard's time.
func (g *Guard) advance(now time.Time) time.Time {
	if now.After(g.latestTime) {
		g.latestTime = now
	}
	for len(g.queue) > 0 && g.latestTime.After(g.queue[0].born.Add(g.retention+g.p.FutureSkew)) {
		e := heap.Pop(&g.queue).(*entry)
		g.bytes -= len(e.outcome)
		delete(g.entries, e.key)
		if e.born.After(g.droppedBirth) {
			g.droppedBirth = e.born
		}
	}
	return g.latestTime
}

func (g *Guard) add(key string, born time.Time) *entry {
	e := &entry{key: key, born: born, complete: g.KnowsVotes(born)}
	g.entries[key] = e
	heap.Push(&g.queue, e)
	return e
}

// queue is a heap of entries, the earliest birth first.
type queue []*entry

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].born.Before(q[j].born) }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(*entry)) }
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}
