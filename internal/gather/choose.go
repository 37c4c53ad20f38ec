package gather

import (
	"github.com/sardinespindle/sardinespindle/internal/policy/snapshot"
)

// choose sets the snapshot that the search asks for first, from what replicas
// lately served, and the shard that is asked for its newest one instead.
func (q *query) choose() {
	w := q.s.Workload
	now := q.e.now()
	var tally snapshot.Tally
	for _, pm := range w.Maps {
		for i := range pm.Shards {
			q.e.memories.View(q.key(string(pm.Shards[i].Name)), func(m *memory) {
				m.seen.Served(&tally, now)
			})
		}
	}
	id, ok := snapshot.Best(tally.IDs(nil), q.score)
	if !ok {
		q.pmap = w.Newest
		return
	}
	q.target, q.hasTarget = id, true
	q.pmap = w.Maps[id.Map]
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
	q.target, q.hasTarget = id, true
	q.pmap = q.s.Workload.Maps[id.Map]
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
