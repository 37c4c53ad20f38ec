package gather

import (
	"time"

	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/policy/snapshot"
)

// choiceFor is how long a choice of the first snapshot serves the searches of a
// workload. A choice that is out of date costs re-asks, never a wrong answer.
const choiceFor = 20 * time.Millisecond

// choice is the snapshot that searches of a workload ask for first.
type choice struct {
	workload *manifest.Workload
	id       snapshot.ID
	known    bool
	at       time.Duration
}

// open takes what the search needs of its workload's state, and sets the snapshot
// that it asks for first.
func (q *query) open() {
	now := q.e.now()
	var c choice
	q.e.budgets.Do(q.workload, func(b *budget) {
		if b.counters == nil {
			b.counters = q.e.metrics.of(q.workload)
		}
		q.counters = b.counters
		b.cursor++
		q.cursor = b.cursor
		c = b.choice
	})
	if q.s.Pass == nil && (c.workload != q.s.Workload || now-c.at >= choiceFor) {
		c = q.choose(now)
		q.e.budgets.Do(q.workload, func(b *budget) { b.choice = c })
	}
	q.pmap = q.s.Workload.Newest
	if q.s.Pass != nil {
		q.aim(snapshot.ID{Map: q.pmap.Version})
		return
	}
	if c.known {
		q.aim(c.id)
	}
}

// aim makes id the target.
func (q *query) aim(id snapshot.ID) {
	q.target, q.hasTarget, q.wanted = id, true, &id
	q.pmap = q.s.Workload.Maps[id.Map]
}

// choose finds the snapshot to ask for first, from what replicas lately served.
func (q *query) choose(now time.Duration) choice {
	w := q.s.Workload
	var tally snapshot.Tally
	for _, pm := range w.Maps {
		for i := range pm.Shards {
			q.e.memories.View(q.key(string(pm.Shards[i].Name)), func(m *memory) {
				m.seen.Served(&tally, now)
			})
		}
	}
	id, ok := snapshot.Best(tally.IDs(nil), q.score)
	return choice{workload: w, id: id, known: ok, at: now}
}

func (q *query) key(shard string) shardKey { return shardKey{q.workload, shard} }

// score says how much of a snapshot this search can get.
func (q *query) score(id snapshot.ID) (snapshot.Score, bool) {
	pm, ok := q.s.Workload.Maps[id.Map]
	if !ok {
		return snapshot.Score{}, false
	}
	s := snapshot.Score{Total: len(pm.Shards)}
	for i := range pm.Shards {
		name := string(pm.Shards[i].Name)
		if q.merge.Has(id, name) {
			s.AddPart()
			continue
		}
		s.Add(q.outlook(name, id))
	}
	return s, true
}

// outlook says whether a shard without a part of snapshot id may still give one.
func (q *query) outlook(name string, id snapshot.ID) snapshot.Knowledge {
	if sh, ok := q.shards[name]; ok && sh.given {
		return snapshot.Lacks
	}
	know := snapshot.Unknown
	now := q.e.now()
	q.e.memories.View(q.key(name), func(m *memory) {
		know = snapshot.Lacks
		for _, u := range q.s.Workload.Replicas[name] {
			know = max(know, m.seen.Knows(u.Address, id, now))
		}
	})
	return know
}

// retarget chooses again, from the snapshots that this search has met. It reports
// whether the target changed.
func (q *query) retarget() bool {
	ids := q.merge.Snapshots(nil)
	if q.hasTarget && q.merge.Count(q.target) == 0 {
		ids = append(ids, q.target)
	}
	id, ok := snapshot.Best(ids, q.score)
	if !ok || q.hasTarget && id == q.target {
		return false
	}
	q.aim(id)
	q.setPlan()
	return true
}

// reaskMissing asks each shard of the plan that has neither a part nor an attempt.
func (q *query) reaskMissing() {
	for _, sh := range q.plan {
		if sh.class == dead && !sh.given {
			q.reask(sh)
		}
	}
}
