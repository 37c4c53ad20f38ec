package once

import (
	"container/heap"
	"slices"
	"time"
)

// Verdict is a guard's answer to a claim.
type Verdict string

// Verdicts. Only Granted is a vote.
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
	// Claimant is unique for each round of claiming; it is never used again.
	Claimant   string
	Born       time.Time
	Window     time.Duration
	Generation int
}

// Vote is the answer to a claim.
type Vote struct {
	Verdict Verdict
	// Holder is the claimant that has the vote, where the verdict is Held.
	Holder string
	// Outcome belongs to Recorded; empty where the request ran and its outcome was not kept.
	Outcome string
}

// Standing is what a guard knows of itself when it decides on a vote.
type Standing struct {
	// Generation of the manifest in force.
	Generation int
	// Votes says that the guard is admitted and its VM list is not too old.
	Votes bool
}

type entry struct {
	key string
	// whole says that the guard would know of any vote on the key. An entry that
	// only notes a release or a record of a key born too early is not whole.
	whole       bool
	born        time.Time
	fingerprint string
	holder      string
	recorded    bool
	outcome     string
	released    []string
}

// Guard is the memory of one guard for a part of the keys.
type Guard struct {
	p       Params
	started time.Time
	latest  time.Time
	// forgot is the latest birth among forgotten keys: of a key born up to then
	// that is not in the table, the guard can't say that it never voted on it.
	forgot time.Time
	// keep is the longest window seen; each key is kept that long.
	keep    time.Duration
	bytes   int
	entries map[string]*entry
	queue   queue
}

// NewGuard returns the empty memory of a guard that started at the given time.
func NewGuard(p Params, started time.Time) *Guard {
	return &Guard{p: p, started: started, keep: p.Keep, entries: make(map[string]*entry)}
}

// Len returns the number of keys remembered.
func (g *Guard) Len() int { return len(g.entries) }

// Claim decides on a vote.
func (g *Guard) Claim(now time.Time, c Claim, s Standing) Vote {
	now = g.advance(now)
	e := g.entries[c.Key]
	if e != nil && e.recorded && e.fingerprint == c.Fingerprint {
		return Vote{Verdict: Recorded, Outcome: e.outcome}
	}
	if now.After(c.Born.Add(c.Window)) {
		return Vote{Verdict: Expired}
	}
	if !s.Votes || g.tooYoung(c.Born) || c.Born.After(now.Add(g.p.FutureSkew)) {
		return Vote{Verdict: Abstained}
	}
	if c.Generation < s.Generation {
		return Vote{Verdict: StaleGeneration}
	}
	if e == nil {
		return g.first(c)
	}
	if !e.whole {
		return Vote{Verdict: Abstained}
	}
	return e.claim(c)
}

// first decides on a key that the guard has no memory of.
func (g *Guard) first(c Claim) Vote {
	if !g.Remembers(c.Born) {
		return Vote{Verdict: Abstained}
	}
	if len(g.entries) >= g.p.MaxKeys {
		return Vote{Verdict: Full}
	}
	g.keep = max(g.keep, c.Window)
	e := g.add(c.Key, c.Born)
	e.fingerprint = c.Fingerprint
	e.holder = c.Claimant
	return Vote{Verdict: Granted}
}

// claim decides on a key that the guard remembers.
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

// Admit notes that the guard was admitted as a voter: it votes on keys born later.
// What was voted on earlier keys, those that admitted it may not know.
func (g *Guard) Admit(now time.Time) {
	if now.After(g.started) {
		g.started = now
	}
}

// Remembers reports whether the guard would know of any vote that it, or an
// earlier process in its place, gave on a key born at the given time.
func (g *Guard) Remembers(born time.Time) bool {
	return born.After(g.forgot) && !g.tooYoung(born)
}

// tooYoung reports whether votes may have been given on a key before the guard
// was there. A vote is given no earlier than FutureSkew before the key's birth
// by the voter's clock, which may differ from this one's by ClockSkew.
func (g *Guard) tooYoung(born time.Time) bool {
	return g.started.Add(g.p.FutureSkew + g.p.ClockSkew).After(born)
}

// Release takes a vote back and remembers that the claimant is done, so that a
// late copy of its claim gets no vote.
func (g *Guard) Release(now time.Time, key, claimant string, born time.Time) {
	now = g.advance(now)
	e := g.entries[key]
	if e == nil {
		if !g.mayNote(now, born) {
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

// Record stores the outcome of a key that its claimant ran or closed. A guard
// that abstains stores it as well: an outcome is a fact.
func (g *Guard) Record(now time.Time, key, claimant, fingerprint, outcome string, born time.Time) bool {
	now = g.advance(now)
	e := g.entries[key]
	if e == nil {
		if !g.mayNote(now, born) {
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

// Outcome returns the recorded outcome of a key.
func (g *Guard) Outcome(key, fingerprint string) (string, bool) {
	e := g.entries[key]
	if e == nil || !e.recorded || e.fingerprint != fingerprint {
		return "", false
	}
	return e.outcome, true
}

// Expire forgets the keys past the longest window seen.
func (g *Guard) Expire(now time.Time) { g.advance(now) }

// mayNote reports whether there is room, and sense, to note something on a key
// that the guard has no memory of.
func (g *Guard) mayNote(now, born time.Time) bool {
	if len(g.entries) >= g.p.MaxKeys || born.After(now.Add(g.p.FutureSkew+g.p.ClockSkew)) {
		return false
	}
	return !now.After(born.Add(g.keep))
}

// advance moves the guard's time on, never back, and forgets what has expired.
func (g *Guard) advance(now time.Time) time.Time {
	if now.After(g.latest) {
		g.latest = now
	}
	for len(g.queue) > 0 && g.latest.After(g.queue[0].born.Add(g.keep+g.p.FutureSkew)) {
		e := heap.Pop(&g.queue).(*entry)
		g.bytes -= len(e.outcome)
		delete(g.entries, e.key)
		if e.born.After(g.forgot) {
			g.forgot = e.born
		}
	}
	return g.latest
}

func (g *Guard) add(key string, born time.Time) *entry {
	e := &entry{key: key, born: born, whole: g.Remembers(born)}
	g.entries[key] = e
	heap.Push(&g.queue, e)
	return e
}

// queue orders entries by birth, the oldest first.
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
