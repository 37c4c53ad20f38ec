package gather

import (
	"time"

	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/policy/snapshot"
)

// choiceTTL is how long the searches of a workload share one choice of the snapshot to ask
// for first.
// An outdated choice costs re-asks (see maxReasks), never a wrong answer.
const choiceTTL = 20 * time.Millisecond

// choice is the snapshot that the searches of a workload ask for first.
type choice struct {
	workload *manifest.Workload
	id       snapshot.ID
	known    bool          // id is set
	at       time.Duration // when it was chosen
}

// loadState copies what the search needs of its workload's state, and sets the snapshot
// to ask for first.
func (q *query) loadState() {
	now := q.e.now()
	var c choice
	q.e.workloads.Update(q.workload, func(w *workloadState) {
		if w.counters == nil {
			w.counters = q.e.metrics.forWorkload(q.workload)
		}
		q.counters = w.counters
		w.cursor++
		q.cursor = w.cursor
		c = w.choice
	})
	if q.s.PassThrough == nil && (c.workload != q.s.Workload || now-c.at >= choiceTTL) {
		c = q.chooseTarget(now)
		q.e.workloads.Update(q.workload, func(w *workloadState) { w.choice = c })
	}
	q.pmap = q.s.Workload.NewestMap
	if q.s.PassThrough != nil {
		q.setTarget(snapshot.ID{Map: q.pmap.Version})
		return
	}
	if c.known {
		q.setTarget(c.id)
	}
}

// setTarget sets the target, and the pin and partition map that follow from it.
func (q *query) setTarget(id snapshot.ID) {
	q.target, q.hasTarget, q.pin = id, true, &id
	q.pmap = q.s.Workload.Maps[id.Map]
}

// chooseTarget chooses the snapshot to ask for first, from those that replicas served
// lately.
func (q *query) chooseTarget(now time.Duration) choice {
	w := q.s.Workload
	var tally snapshot.Tally
	for _, pm := range w.Maps {
		for i := range pm.Shards {
			q.e.shards.View(q.key(string(pm.Shards[i].Name)), func(st *shardState) {
				st.snapshots.AddServed(&tally, now)
			})
		}
	}
	id, ok := snapshot.Best(tally.IDs(nil), q.score)
	return choice{workload: w, id: id, known: ok, at: now}
}

func (q *query) key(shard string) shardKey { return shardKey{q.workload, shard} }

// score returns how many shards can give this search a part of snapshot id; false where
// its partition map is unknown.
func (q *query) score(id snapshot.ID) (snapshot.Score, bool) {
	pm, ok := q.s.Workload.Maps[id.Map]
	if !ok {
		return snapshot.Score{}, false
	}
	s := snapshot.Score{Total: len(pm.Shards)}
	for i := range pm.Shards {
		name := string(pm.Shards[i].Name)
		if q.merge.Has(id, name) {
			s.AddReply()
			continue
		}
		s.Add(q.knowledge(name, id))
	}
	return s, true
}

// knowledge reports whether a shard without a part of snapshot id may still give one.
func (q *query) knowledge(name string, id snapshot.ID) snapshot.Knowledge {
	if sh, ok := q.shards[name]; ok && sh.gaveUp {
		return snapshot.Lacks
	}
	know := snapshot.Unknown
	now := q.e.now()
	q.e.shards.View(q.key(name), func(st *shardState) {
		know = snapshot.Lacks
		for _, u := range q.s.Workload.Replicas[name] {
			know = max(know, st.snapshots.Knowledge(u.Address, id, now))
		}
	})
	return know
}

// retarget chooses the target again, from the current one and the snapshots of the parts
// that arrived, and reports whether it changed.
func (q *query) retarget() bool {
	ids := q.merge.Snapshots(nil)
	if q.hasTarget && q.merge.Count(q.target) == 0 {
		ids = append(ids, q.target)
	}
	id, ok := snapshot.Best(ids, q.score)
	if !ok || q.hasTarget && id == q.target {
		return false
	}
	q.setTarget(id)
	q.setPlan()
	return true
}

// reaskMissing re-asks each idle shard of the plan that is not given up.
func (q *query) reaskMissing() {
	for _, sh := range q.plan {
		if sh.status == idle && !sh.gaveUp {
			q.reask(sh)
		}
	}
}
