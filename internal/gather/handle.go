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

// handle processes the result of one attempt.
func (q *query) handle(at *attempt) {
	sh := at.shard
	q.inflight--
	if at.cancelled {
		q.cancelledInflight--
	}
	sh.inflight = slices.DeleteFunc(sh.inflight, func(a *attempt) bool { return a == at })
	q.account(&at.result)
	if at.result.Class != upstream.NotSent {
		sh.reachedAttempts++
	}
	switch {
	case at.result.Class != upstream.OK:
		q.handleFailure(sh, at, at.result.Class)
	case q.s.PassThrough != nil && !isGoodPart(&at.result):
		q.handleFailure(sh, at, upstream.Failed)
	case q.s.PassThrough != nil:
		q.handlePassThroughReply(sh, &at.result)
	case !q.matches(sh, at, at.result.Reply):
		q.handleFailure(sh, at, upstream.InvalidReply)
	default:
		q.handleReply(sh, at, at.result.Reply)
	}
	if q.deferred > 0 && q.deferred == q.counts[open] {
		q.resumeDeferred(false) // no other shard is open, and no re-ask brought a part
	}
}

// isGoodPart decides whether the result of a pass-through attempt is a part of its search. First attempts,
// hedges, retries, taken-over and delegated parts all pass through here, on the VM that sent the attempt.
// Class OK says that the reply is complete, signed, and not for another request. That is not enough: a
// signed 4xx has this class too, since it is passed on to the callers of single services.
func isGoodPart(r *upstream.Result) bool {
	return r.Class == upstream.OK && r.Signature != "" && r.Status/100 == 2
}

// account adds an attempt's result to cost, mayHaveRun and maxRetryAfter.
func (q *query) account(r *upstream.Result) {
	q.mayHaveRun = q.mayHaveRun || r.Class.MayHaveRun()
	if q.s.PassThrough == nil {
		q.maxRetryAfter = max(q.maxRetryAfter, r.RetryAfter)
	} else if r.RetryAfter > 0 {
		q.waitSeen = true // untilEnough asks how long the pauses still last
	}
	if r.Class != upstream.NotSent {
		q.cost.Sent++
	}
	if r.Class == upstream.Shed {
		q.cost.Shed++
	}
}

// matches reports whether a reply echoes the request id and shard of the attempt.
func (q *query) matches(sh *shard, at *attempt, r *upstreamgen.Reply) bool {
	if r == nil {
		return false
	}
	return !q.e.enabled.echo || r.RequestId == at.id && r.Shard == sh.name
}

func (q *query) handleReply(sh *shard, at *attempt, r *upstreamgen.Reply) {
	q.replied = true
	q.goodReplies++
	q.judgeTrial(sh, upstream.OK)
	verdict := q.recordReply(sh, at, r)
	if !q.e.enabled.snapshot {
		q.forceTarget(r)
	}
	if verdict == coverage.Complete {
		q.merge.Add(q.s.Workload.Maps[r.Snapshot.Map], coverage.Part{
			Shard: sh.name, Snapshot: r.Snapshot, Held: r.DocumentsHeld, Documents: r.Documents,
		})
	}
	q.updateStatus(sh)
	if sh.planned && sh.status == covered {
		q.cancelAttempts(sh)
		q.rescheduleHedges()
		q.resumeDeferred(true)
		return
	}
	if !q.hasTarget || r.Snapshot != q.target {
		if q.retarget() {
			q.resumeDeferred(true)
			q.reaskMissing()
			return
		}
	}
	if sh.planned && sh.status == idle && !q.deferReask(sh, r.Snapshot) {
		q.reask(sh)
	}
}

// deferReask reports whether it deferred the re-ask of a shard. It defers a shard that
// replied with an unknown partition map while no part of the target has arrived. If the
// upstreams are ahead of the manifest in force, asking all of them again is load without
// benefit. Only the shards of the first maxProbes such replies are asked again at once, to
// find out whether the upstreams are ahead.
func (q *query) deferReask(sh *shard, id snapshot.ID) bool {
	if q.s.Workload.Maps[id.Map] != nil || q.merge.Count(q.target) > 0 {
		return false
	}
	q.unknownMapReplies++
	if q.unknownMapReplies <= maxProbes {
		return false
	}
	sh.deferred = true
	q.deferred++
	q.updateStatus(sh)
	return true
}

// resumeDeferred ends the deferral of all shards: it asks them again, or gives them up if
// again is false.
func (q *query) resumeDeferred(again bool) {
	if q.deferred == 0 {
		return
	}
	q.deferred = 0
	for _, sh := range q.shards {
		if !sh.deferred {
			continue
		}
		sh.deferred = false
		sh.gaveUp = sh.gaveUp || !again
		q.updateStatus(sh)
	}
	q.reaskMissing()
}

// recordReply records which snapshot the replica serves, and judges whether the reply is
// the complete part of its shard.
func (q *query) recordReply(sh *shard, at *attempt, r *upstreamgen.Reply) coverage.Completeness {
	now := q.e.now()
	verdict := coverage.Complete
	q.e.shards.Update(q.key(sh.name), func(st *shardState) {
		st.snapshots.Record(at.address, at.pin, r.Snapshot, now)
		verdict = st.counts.Record(coverage.Count{
			Snapshot: r.Snapshot, Address: at.address,
			Held: r.DocumentsHeld, Returned: len(r.Documents), Replicas: sh.replicas,
		}, now)
	})
	if !q.e.enabled.coverage {
		return coverage.Complete
	}
	return verdict
}

// forceTarget labels a reply with the target, whichever snapshot it names, for
// experiments that turn the snapshot check off.
func (q *query) forceTarget(r *upstreamgen.Reply) {
	if !q.hasTarget {
		q.setTarget(snapshot.ID{Index: r.Snapshot.Index, Map: q.pmap.Version})
	}
	r.Snapshot = q.target
}

// cancelAttempts cancels a covered shard's attempts in flight and its scheduled hedge and
// pick.
func (q *query) cancelAttempts(sh *shard) {
	sh.hedgeAt, sh.pickAt, sh.announced = time.Time{}, time.Time{}, nil
	for _, a := range sh.inflight {
		if !a.cancelled {
			a.cancelled = true
			a.cancel()
			q.cancelledInflight++
			q.counters.cancelled.Inc()
		}
	}
}

// reask asks a shard again for its part of the target, at an untried replica first.
func (q *query) reask(sh *shard) {
	sh.reasks++
	if q.e.enabled.baseline || sh.reasks > maxReasks || len(sh.tried) >= maxAttempts || !q.takeReaskToken() {
		sh.gaveUp = true
		return
	}
	if q.launch(sh, q.pin) {
		q.counters.retried.Inc()
	}
}

func (q *query) takeReaskToken() (paid bool) {
	q.e.workloads.Update(q.workload, func(w *workloadState) { paid = w.reask.Take(retry.ReaskBudget) })
	return paid
}

// handleFailure decides what follows an attempt without a usable reply.
func (q *query) handleFailure(sh *shard, at *attempt, c upstream.Class) {
	switch {
	case q.s.PassThrough != nil:
		q.unblock(sh, at, c)
	case c != upstream.Shed:
		sh.blocked = append(sh.blocked, at.address)
	}
	if c == upstream.Lost {
		q.losses++
	}
	q.updateStatus(sh)
	if q.s.PassThrough != nil {
		if at.result.Crashed {
			q.crashedAttempts++
		}
		q.retryPassThrough(sh, c)
		return
	}
	switch {
	case q.judgeTrial(sh, c):
		sh.gaveUp = true
	case sh.status == idle && sh.planned:
		q.retry(sh, c)
		q.moveTrial()
	}
	if c == upstream.Lost {
		q.reportLoss(sh, at)
	}
	if sh.status == idle && sh.planned && q.retarget() {
		q.resumeDeferred(true)
		q.reaskMissing()
	}
}

func (q *query) retry(sh *shard, c upstream.Class) {
	if q.e.enabled.baseline || len(sh.tried) >= maxAttempts || !q.allowRetry(sh, c) {
		sh.gaveUp = true
		return
	}
	sh.retries++
	if q.losses > 0 {
		q.lossRetries++
	}
	if c == upstream.Lost && q.e.enabled.poison {
		sh.awaitingPermit = true // handleReport sends the retry if the fleet permits it
		q.updateStatus(sh)
		return
	}
	if q.launch(sh, q.pin) {
		q.counters.retried.Inc()
	}
}

func (q *query) allowRetry(sh *shard, c upstream.Class) (paid bool) {
	h := retry.History{ShardRetries: sh.retries, Losses: q.losses, LossRetries: q.lossRetries}
	switch retry.Decide(c, h) {
	case retry.Free:
		return true
	case retry.Paid:
		q.e.workloads.Update(q.workload, func(w *workloadState) { paid = w.retry.Take(retry.RetryBudget) })
	case retry.GiveUp:
	}
	return paid
}
