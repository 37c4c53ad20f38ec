package gather

import (
	"slices"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/policy/coverage"
	"github.com/sardinespindle/sardinespindle/internal/policy/retry"
	"github.com/sardinespindle/sardinespindle/internal/policy/snapshot"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
	upstreamgen "github.com/sardinespindle/sardinespindle/schema/gen/upstream"
)

// handle takes in the end of one attempt.
func (q *query) handle(at *attempt) {
	sh := at.shard
	q.inflight--
	if at.dropped {
		q.dropped--
	}
	sh.flying = slices.DeleteFunc(sh.flying, func(a *attempt) bool { return a == at })
	q.account(&at.result)
	if at.result.Class != upstream.NotSent {
		sh.arrived++
	}
	switch {
	case at.result.Class != upstream.OK:
		q.failed(sh, at, at.result.Class)
	case q.s.Pass != nil:
		q.passedReply(sh, &at.result)
	case !q.genuine(sh, at, at.result.Reply):
		q.failed(sh, at, upstream.Garbled)
	default:
		q.reply(sh, at, at.result.Reply)
	}
	if q.parked > 0 && q.parked == q.counts[open] {
		q.unpark(false) // no pilot brought a part
	}
}

// account counts what an attempt cost.
func (q *query) account(r *upstream.Result) {
	q.ran = q.ran || r.Class.MayHaveRun()
	q.after = max(q.after, r.RetryAfter)
	if r.Class != upstream.NotSent {
		q.cost.Sent++
	}
	if r.Class == upstream.Shed {
		q.cost.Shed++
	}
}

// genuine reports whether a reply belongs to the attempt.
func (q *query) genuine(sh *shard, at *attempt, r *upstreamgen.Reply) bool {
	if r == nil {
		return false
	}
	return !q.e.mode.echo || r.RequestId == at.id && r.Shard == sh.name
}

func (q *query) reply(sh *shard, at *attempt, r *upstreamgen.Reply) {
	q.replied = true
	q.good++
	verdict := q.learn(sh, at, r)
	if !q.e.mode.snapshot {
		q.mix(r)
	}
	if verdict == coverage.Whole {
		q.merge.Add(q.s.Workload.Maps[r.Snapshot.Map], coverage.Part{
			Shard: sh.name, Snapshot: r.Snapshot, Held: r.DocumentsHeld, Documents: r.Documents,
		})
	}
	q.touch(sh)
	if sh.planned && sh.class == covered {
		q.drop(sh)
		q.judgeBySiblings()
		q.unpark(true)
		return
	}
	if !q.hasTarget || r.Snapshot != q.target {
		if q.retarget() {
			q.unpark(true)
			q.reaskMissing()
			return
		}
	}
	if sh.planned && sh.class == dead && !q.park(sh, r.Snapshot) {
		q.reask(sh)
	}
}

// park leaves a shard be that serves a partition map which this VM does not know,
// while no part is there: when upstreams are ahead of the manifest in force, asking
// them all again is load for nothing. A few are asked again, to find out.
func (q *query) park(sh *shard, id snapshot.ID) bool {
	if q.s.Workload.Maps[id.Map] != nil || q.merge.Count(q.target) > 0 {
		return false
	}
	q.pilots++
	if q.pilots <= maxPilots {
		return false
	}
	sh.parked = true
	q.parked++
	q.touch(sh)
	return true
}

// unpark asks the parked shards again where a part of a known map has come, and gives
// them up where none will.
func (q *query) unpark(again bool) {
	if q.parked == 0 {
		return
	}
	q.parked = 0
	for _, sh := range q.shards {
		if !sh.parked {
			continue
		}
		sh.parked = false
		sh.given = sh.given || !again
		q.touch(sh)
	}
	q.reaskMissing()
}

// learn remembers which snapshot the replica serves and judges whether the reply is
// its shard's whole part.
func (q *query) learn(sh *shard, at *attempt, r *upstreamgen.Reply) coverage.Verdict {
	now := q.e.now()
	verdict := coverage.Whole
	q.e.memories.Do(q.key(sh.name), func(m *memory) {
		m.seen.Note(at.address, at.want, r.Snapshot, now)
		verdict = m.held.Judge(coverage.Count{
			Snapshot: r.Snapshot, Address: at.address,
			Held: r.DocumentsHeld, Found: len(r.Documents), Replicas: sh.replicas,
		}, now)
	})
	if !q.e.mode.coverage {
		return coverage.Whole
	}
	return verdict
}

// mix lets a reply pass for the target, whatever it names. It serves experiments
// that turn the check off.
func (q *query) mix(r *upstreamgen.Reply) {
	if !q.hasTarget {
		q.aim(snapshot.ID{Index: r.Snapshot.Index, Map: q.pmap.Version})
	}
	r.Snapshot = q.target
}

// drop cancels what is still in flight for a shard that is covered.
func (q *query) drop(sh *shard) {
	sh.hedgeAt, sh.pickAt = time.Time{}, time.Time{}
	for _, a := range sh.flying {
		if !a.dropped {
			a.dropped = true
			a.cancel()
			q.dropped++
			q.counters.cancelled.Inc()
		}
	}
}

// reask asks a shard again for its part of the target, another replica first.
func (q *query) reask(sh *shard) {
	sh.reasks++
	if q.e.mode.baseline || sh.reasks > maxReasks || len(sh.tried) >= maxAttempts || !q.payReask() {
		sh.given = true
		return
	}
	if q.launch(sh, q.wanted) {
		q.counters.retried.Inc()
	}
}

func (q *query) payReask() (paid bool) {
	q.e.budgets.Do(q.workload, func(b *budget) { paid = b.reask.Take(retry.Reasks) })
	return paid
}

// failed decides what follows an attempt that gave no usable reply.
func (q *query) failed(sh *shard, at *attempt, c upstream.Class) {
	switch {
	case q.s.Pass != nil:
		q.unbar(sh, at, c)
	case c != upstream.Shed:
		sh.barred = append(sh.barred, at.address)
	}
	if c == upstream.Lost {
		q.losses++
	}
	q.touch(sh)
	if q.s.Pass != nil {
		if at.result.Crashed {
			q.crashed++
		}
		q.retryPassed(sh, c)
		return
	}
	if sh.class == dead && sh.planned {
		q.retry(sh, c)
	}
	if c == upstream.Lost {
		q.lost(sh, at)
	}
	if sh.class == dead && sh.planned && q.retarget() {
		q.unpark(true)
		q.reaskMissing()
	}
}

func (q *query) retry(sh *shard, c upstream.Class) {
	if q.e.mode.baseline || len(sh.tried) >= maxAttempts || !q.payRetry(sh, c) {
		sh.given = true
		return
	}
	sh.retries++
	if q.losses > 0 {
		q.lossTry++
	}
	if c == upstream.Lost && q.e.mode.poison {
		sh.asking = true // the retry waits for permission
		q.touch(sh)
		return
	}
	if q.launch(sh, q.wanted) {
		q.counters.retried.Inc()
	}
}

func (q *query) payRetry(sh *shard, c upstream.Class) (paid bool) {
	h := retry.History{ShardRetries: sh.retries, Losses: q.losses, LossRetries: q.lossTry}
	switch retry.Decide(c, h) {
	case retry.Free:
		return true
	case retry.Paid:
		q.e.budgets.Do(q.workload, func(b *budget) { paid = b.retry.Take(retry.Retries) })
	case retry.GiveUp:
	}
	return paid
}
