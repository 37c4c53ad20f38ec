package gather

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/sardinespindle/sardinespindle/internal/policy/hedge"
	"github.com/sardinespindle/sardinespindle/internal/policy/retry"
	"github.com/sardinespindle/sardinespindle/internal/policy/snapshot"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
)

const (
	// pickBackoff is the first wait after a failed pick; it doubles maxDoublings times.
	pickBackoff  = 2 * time.Millisecond
	maxDoublings = 2
	// A shard is given up when more than maxFailedPicks picks in a row failed, unless its
	// replicas are at their limit.
	maxFailedPicks = 3
	// maxReasks is how often one search may ask a shard again for another snapshot.
	maxReasks = 2
	// A hedge is given up after maxHedgeTries picks that found no replica.
	maxHedgeTries = 3
	// A hedge that is due but gets no token tries again after the shard's latency quantile
	// divided by hedgePollsPerQuantile.
	hedgePollsPerQuantile = 4
	// maxPartBytes bounds a shard's part of a pass-through search: 65,536 records.
	maxPartBytes = 1 << 20
	// maxProbes is the most replies with an unknown partition map after which the shard is
	// asked again at once, see deferReask.
	maxProbes = 2
	// maxAttempts is the most attempts of one shard in one search: the first, a hedge, the
	// retries and the re-asks.
	maxAttempts = 1 + 1 + retry.MaxPerShard + maxReasks
)

// launchAll sends the first attempt of each shard.
func (q *query) launchAll() {
	if q.s.PassThrough != nil {
		q.launchPassThrough()
		return
	}
	q.e.workloads.Update(q.workload, func(w *workloadState) {
		w.hedge.Earn(len(q.plan), q.s.Grant.HedgePercent)
		q.hedgeFill = w.hedge.Fill()
	})
	q.startTrial()
	for i, sh := range q.plan {
		pin := q.pin
		if i == q.cursor%len(q.plan) {
			pin = nil // discovers newer snapshots
		}
		if q.mayAsk(sh) {
			q.launch(sh, pin)
		}
	}
	q.moveTrial()
	if !q.trial.underway {
		q.probeNewestMap()
	}
}

// probeNewestMap asks a shard that is in the newest partition map but not in the target's,
// so that a repartition is discovered. The search does not wait for the reply.
func (q *query) probeNewestMap() {
	newest := q.s.Workload.NewestMap
	if !q.hasTarget || newest == q.pmap || q.e.enabled.baseline {
		return
	}
	sh := q.shard(string(newest.Shards[q.cursor%len(newest.Shards)].Name))
	if sh.planned || !q.takeHedgeToken() {
		return
	}
	t, err := q.e.client.Pick(q.s.Workload, sh.name, nil, true)
	if err != nil {
		q.returnHedgeToken()
		return
	}
	q.send(sh, t, nil, true)
}

// launch sends an attempt to a replica that this search has not tried, and reports whether
// it did. If no replica can be picked, it schedules another pick or gives the shard up.
// After a failed pick, it also accepts a tried replica that is not blocked.
func (q *query) launch(sh *shard, pin *snapshot.ID) bool {
	t, err := q.e.client.Pick(sh.workload, sh.key, sh.tried, false)
	if err != nil && sh.failedPicks > 0 && q.s.PassThrough == nil {
		t, err = q.e.client.Pick(sh.workload, sh.key, sh.blocked, false)
	}
	if err != nil {
		q.schedulePick(sh, err)
		return false
	}
	sh.failedPicks = 0
	q.send(sh, t, pin, false)
	return true
}

// schedulePick schedules the next pick of a shard after one failed. While every replica is
// at its limit, picks go on until the deadline. Otherwise the shard is given up: at once if
// no replica was tried, else after more than maxFailedPicks failed picks in a row.
func (q *query) schedulePick(sh *shard, err error) {
	sh.failedPicks++
	if errors.Is(err, upstream.ErrLimited) {
		if sh.failedPicks == 1 {
			q.cost.Shed++
		}
	} else if len(sh.tried) == 0 || sh.failedPicks > maxFailedPicks {
		sh.gaveUp = true
		q.updateStatus(sh)
		return
	}
	wait := pickBackoff << min(sh.failedPicks-1, maxDoublings)
	sh.pickAt = time.Now().Add(wait + rand.N(pickBackoff))
	q.wakeAt(sh.pickAt)
	q.updateStatus(sh)
}

func (q *query) send(sh *shard, t Ticket, pin *snapshot.ID, hedged bool) {
	q.attempts++
	at := &sh.firstAttempt
	if len(sh.tried) > 0 {
		at = &attempt{}
	}
	ctx, cancel := context.WithCancel(q.ctx)
	*at = attempt{
		id:      q.s.ID + "." + strconv.Itoa(q.attempts),
		address: t.Address(),
		pin:     pin,
		hedge:   hedged,
		cancel:  cancel,
		shard:   sh,
	}
	sh.tried = append(sh.tried, at.address)
	if q.s.PassThrough != nil {
		sh.blocked = append(sh.blocked, at.address)
	}
	sh.inflight = append(sh.inflight, at)
	q.inflight++
	q.updateStatus(sh)
	q.scheduleHedge(sh)
	go q.do(ctx, at, t)
}

// scheduleHedge sets when a hedge is due, once for each shard.
func (q *query) scheduleHedge(sh *shard) {
	if !sh.started.IsZero() {
		return
	}
	sh.started = time.Now()
	if q.e.enabled.baseline {
		return
	}
	if q.s.PassThrough != nil {
		sh.hedgeAt = sh.started.Add(q.s.PassThrough.HedgeAfter - q.confirmLead())
		q.wakeAt(sh.hedgeAt)
		return
	}
	quantile, ok := q.e.client.LatencyQuantile(q.workload, sh.name)
	if !ok {
		return
	}
	sh.quantile = quantile
	sh.hedgeAt = sh.started.Add(hedge.Delay(quantile, q.hedgeFill))
	q.wakeAt(sh.hedgeAt)
}

// rescheduleHedges bounds the latency quantiles of open shards by the time in which most
// shards of this search replied, and schedules their hedges accordingly. It does so once
// per search.
func (q *query) rescheduleHedges() {
	if q.hedgesRescheduled || q.e.enabled.baseline || q.s.PassThrough != nil || !hedge.Quorum(q.counts[covered], len(q.plan)) {
		return
	}
	q.hedgesRescheduled = true
	quorum := time.Since(q.start)
	for _, sh := range q.plan {
		if sh.status != open || sh.started.IsZero() || sh.hedged {
			continue
		}
		sh.quantile = hedge.BoundQuantile(sh.quantile, quorum)
		sh.hedgeAt = sh.started.Add(hedge.Delay(sh.quantile, q.hedgeFill))
		q.wakeAt(sh.hedgeAt)
	}
}

// do runs an attempt in its own goroutine and sends it on events.
func (q *query) do(ctx context.Context, at *attempt, t Ticket) {
	defer at.cancel()
	ctx, span := q.startSpan(ctx, at)
	at.result = q.e.client.Do(ctx, t, q.clientAttempt(at))
	endSpan(span, &at.result)
	if at.result.Class != upstream.NotSent {
		q.counters.sent.Inc()
	}
	select {
	case q.events <- at: // full only after more repeats than events has capacity for
		return
	default:
	}
	select {
	case q.events <- at:
	case <-q.ctx.Done():
	}
}

// clientAttempt returns the attempt in the form that the upstream client takes.
func (q *query) clientAttempt(at *attempt) upstream.Attempt {
	a := upstream.Attempt{
		Kind:      upstream.Search,
		Workload:  q.workload,
		Shard:     at.shard.name,
		RequestID: at.id,
		Snapshot:  at.pin,
		Deadline:  q.answerBy,
		Body:      q.body,
		Hedge:     at.hedge,
		Watcher:   q.s.Watcher,
	}
	if p := q.s.PassThrough; p != nil {
		a.Kind, a.PassThrough, a.Route, a.Deadline = upstream.PassThrough, p.Request, q.workload, q.s.Deadline
		a.MaxReplyBytes = maxPartBytes
	}
	return a
}

func (q *query) startSpan(ctx context.Context, at *attempt) (context.Context, trace.Span) {
	if !q.sampled {
		return ctx, nil
	}
	return otel.Tracer("sardinespindle/gather").Start(ctx, "subrequest", trace.WithAttributes(
		attribute.String("shard", at.shard.name),
		attribute.String("address", at.address),
		attribute.Bool("hedge", at.hedge),
	))
}

var classNames = map[upstream.Class]string{
	upstream.OK: "ok", upstream.Shed: "shed", upstream.NotSent: "not_sent", upstream.Lost: "lost",
	upstream.TimedOut: "timed_out", upstream.Canceled: "canceled", upstream.InvalidReply: "garbled",
	upstream.Failed: "failed",
}

func endSpan(span trace.Span, res *upstream.Result) {
	if span == nil {
		return
	}
	span.SetAttributes(attribute.String("class", classNames[res.Class]))
	if res.Reply != nil {
		s := res.Reply.Snapshot
		span.SetAttributes(attribute.String("snapshot", strconv.Itoa(s.Index)+"."+strconv.Itoa(s.Map)))
	}
	span.End()
}

// runDue runs the picks and hedges that are due at now.
func (q *query) runDue(now time.Time) {
	if q.s.PassThrough != nil {
		defer q.sendConfirmed(now)
	}
	for _, sh := range q.plan {
		if sh.status != open {
			continue
		}
		if !sh.pickAt.IsZero() && !now.Before(sh.pickAt) {
			sh.pickAt = time.Time{}
			if q.s.PassThrough != nil {
				q.updateStatus(sh)
				q.repeatOrGiveUp(sh, upstream.Lost)
			} else {
				q.launch(sh, q.pin)
			}
		}
		if !sh.hedgeAt.IsZero() && !now.Before(sh.hedgeAt) {
			sh.hedgeAt = time.Time{}
			if q.s.PassThrough != nil {
				q.hedgePassThrough(sh)
			} else {
				q.hedge(sh, now)
			}
		}
		q.wakeForShard(sh)
	}
}

func (q *query) wakeForShard(sh *shard) {
	if !sh.pickAt.IsZero() {
		q.wakeAt(sh.pickAt)
	}
	if !sh.hedgeAt.IsZero() {
		q.wakeAt(sh.hedgeAt)
	}
}

// hedge sends a hedge for a slow shard if the policy, budget and replicas allow.
func (q *query) hedge(sh *shard, now time.Time) {
	allowed := hedge.Allowed(hedge.Shard{
		Hedged:    sh.hedged,
		Losses:    q.losses,
		Remaining: q.answerBy.Sub(now),
	})
	if !allowed || len(sh.inflight) != 1 || len(sh.tried) >= maxAttempts || q.trial.shard == sh {
		return
	}
	if due := sh.started.Add(hedge.Delay(sh.quantile, q.hedgeFill)); now.Before(due) {
		sh.hedgeAt = due
		return
	}
	if !q.takeHedgeToken() {
		sh.hedgeAt = now.Add(sh.quantile / hedgePollsPerQuantile)
		return
	}
	t, err := q.e.client.Pick(q.s.Workload, sh.name, sh.tried, true)
	if err != nil {
		q.returnHedgeToken()
		sh.failedHedgePicks++
		sh.hedged, sh.hedgedAt = sh.failedHedgePicks == maxHedgeTries, now
		sh.hedgeAt = now.Add(sh.quantile)
		return
	}
	sh.hedged, sh.hedgedAt = true, now
	q.counters.hedged.Inc()
	q.send(sh, t, q.pin, true)
}

func (q *query) takeHedgeToken() (paid bool) {
	q.e.workloads.Update(q.workload, func(w *workloadState) {
		paid = w.hedge.Take()
		q.hedgeFill = w.hedge.Fill()
	})
	return paid
}

func (q *query) returnHedgeToken() {
	q.e.workloads.Update(q.workload, func(w *workloadState) { w.hedge.Refund() })
}
