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
	// pickBackoff is the wait before a failed pick is tried again; it doubles a few times.
	pickBackoff  = 2 * time.Millisecond
	maxDoublings = 2
	// maxPicks is the most picks of one shard that may fail in a row.
	maxPicks = 3
	// maxReasks is the most times a shard is asked again for another snapshot.
	maxReasks = 2
	// maxHedgeTries is how often a hedge that is due may find no other replica.
	maxHedgeTries = 3
	// hedgePolls is how often in a quantile a hedge that is due asks for a token.
	hedgePolls = 4
	// maxPilots is the most shards asked again while every reply names an unknown map.
	maxPilots = 2
	// maxAttempts is the most attempts of one shard in one search.
	maxAttempts = 1 + 1 + retry.PerShard + maxReasks
)

// launchAll sends the first attempt of each shard.
func (q *query) launchAll() {
	if q.s.Pass != nil {
		q.launchPassed()
		return
	}
	q.e.budgets.Do(q.workload, func(b *budget) {
		b.hedge.Earn(len(q.plan), q.s.Grant.HedgePercent)
		q.fill = b.hedge.Fill()
	})
	for i, sh := range q.plan {
		want := q.wanted
		if i == q.cursor%len(q.plan) {
			want = nil // learns of a newer snapshot
		}
		q.launch(sh, want)
	}
	q.exploreMap()
}

// exploreMap asks one shard that only the newest partition map has, so that a
// repartition is found out. The search does not wait for it.
func (q *query) exploreMap() {
	newest := q.s.Workload.Newest
	if !q.hasTarget || newest == q.pmap || q.e.mode.baseline {
		return
	}
	sh := q.shard(string(newest.Shards[q.cursor%len(newest.Shards)].Name))
	if sh.planned || !q.payHedge() {
		return
	}
	t, err := q.e.up.Pick(q.s.Workload, sh.name, nil, true)
	if err != nil {
		q.refundHedge()
		return
	}
	q.send(sh, t, nil, true)
}

// launch picks a replica that this search has not tried and sends. Where there is
// none it comes back a little later.
func (q *query) launch(sh *shard, want *snapshot.ID) bool {
	t, err := q.e.up.Pick(sh.workload, sh.key, sh.tried, false)
	if err != nil && sh.picks > 0 && q.s.Pass == nil {
		t, err = q.e.up.Pick(sh.workload, sh.key, sh.barred, false)
	}
	if err != nil {
		q.pickLater(sh, err)
		return false
	}
	sh.picks = 0
	q.send(sh, t, want, false)
	return true
}

// pickLater plans the next pick of a shard. A replica at its limit is waited for as
// long as there is time; where there is none at all, a few picks later replicas that
// were tried are taken again.
func (q *query) pickLater(sh *shard, err error) {
	sh.picks++
	if errors.Is(err, upstream.ErrLimited) {
		if sh.picks == 1 {
			q.cost.Shed++
		}
	} else if len(sh.tried) == 0 || sh.picks > maxPicks {
		sh.given = true
		q.touch(sh)
		return
	}
	wait := pickBackoff << min(sh.picks-1, maxDoublings)
	sh.pickAt = time.Now().Add(wait + rand.N(pickBackoff))
	q.wakeAt(sh.pickAt)
	q.touch(sh)
}

func (q *query) send(sh *shard, t Ticket, want *snapshot.ID, hedged bool) {
	q.attempts++
	at := &sh.first
	if len(sh.tried) > 0 {
		at = &attempt{}
	}
	ctx, cancel := context.WithCancel(q.ctx)
	*at = attempt{
		id:      q.s.ID + "." + strconv.Itoa(q.attempts),
		address: t.Address(),
		want:    want,
		hedge:   hedged,
		cancel:  cancel,
		shard:   sh,
	}
	sh.tried = append(sh.tried, at.address)
	if q.s.Pass != nil {
		sh.ran++
		sh.barred = append(sh.barred, at.address)
	}
	sh.flying = append(sh.flying, at)
	q.inflight++
	q.touch(sh)
	q.planHedge(sh)
	go q.do(ctx, at, t)
}

// planHedge notes when a hedge of the first attempt is due.
func (q *query) planHedge(sh *shard) {
	if !sh.started.IsZero() {
		return
	}
	sh.started = time.Now()
	if q.e.mode.baseline {
		return
	}
	if q.s.Pass != nil {
		sh.hedgeAt = sh.started.Add(q.s.Pass.HedgeAfter)
		q.wakeAt(sh.hedgeAt)
		return
	}
	quantile, ok := q.e.up.HedgeDelay(q.workload, sh.name)
	if !ok {
		return
	}
	sh.quantile = quantile
	sh.hedgeAt = sh.started.Add(hedge.Delay(quantile, q.fill))
	q.wakeAt(sh.hedgeAt)
}

// judgeBySiblings plans hedges by the time that most shards of this search took. It
// does so once.
func (q *query) judgeBySiblings() {
	if q.judged || q.e.mode.baseline || q.s.Pass != nil || !hedge.Quorum(q.counts[covered], len(q.plan)) {
		return
	}
	q.judged = true
	quorum := time.Since(q.begun)
	for _, sh := range q.plan {
		if sh.class != open || sh.started.IsZero() || sh.hedged {
			continue
		}
		sh.quantile = hedge.Judge(sh.quantile, quorum)
		sh.hedgeAt = sh.started.Add(hedge.Delay(sh.quantile, q.fill))
		q.wakeAt(sh.hedgeAt)
	}
}

// do runs in the attempt's own goroutine.
func (q *query) do(ctx context.Context, at *attempt, t Ticket) {
	defer at.cancel()
	ctx, span := q.startSpan(ctx, at)
	at.result = q.e.up.Do(ctx, t, q.describe(at))
	endSpan(span, &at.result)
	if at.result.Class != upstream.NotSent {
		q.counters.sent.Inc()
	}
	select {
	case q.events <- at: // there is room, but for many extra attempts
		return
	default:
	}
	select {
	case q.events <- at:
	case <-q.ctx.Done():
	}
}

// describe returns the attempt as the upstream client takes it.
func (q *query) describe(at *attempt) upstream.Attempt {
	a := upstream.Attempt{
		Kind:      upstream.Search,
		Workload:  q.workload,
		Shard:     at.shard.name,
		RequestID: at.id,
		Snapshot:  at.want,
		Deadline:  q.answerBy,
		Body:      q.body,
		Hedge:     at.hedge,
	}
	if p := q.s.Pass; p != nil {
		a.Kind, a.Pass, a.Route, a.Deadline = upstream.Pass, p.Request, q.workload, q.s.Deadline
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
	upstream.TimedOut: "timed_out", upstream.Canceled: "canceled", upstream.Garbled: "garbled",
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

// fire does what is due at now: hedges and picks.
func (q *query) fire(now time.Time) {
	for _, sh := range q.plan {
		if sh.class != open {
			continue
		}
		if !sh.pickAt.IsZero() && !now.Before(sh.pickAt) {
			sh.pickAt = time.Time{}
			if q.s.Pass != nil {
				q.touch(sh)
				q.retryPassed(sh, upstream.NotSent)
			} else {
				q.launch(sh, q.wanted)
			}
		}
		if !sh.hedgeAt.IsZero() && !now.Before(sh.hedgeAt) {
			sh.hedgeAt = time.Time{}
			if q.s.Pass != nil {
				q.hedgePassed(sh)
			} else {
				q.hedge(sh, now)
			}
		}
		q.wakeFor(sh)
	}
}

func (q *query) wakeFor(sh *shard) {
	if !sh.pickAt.IsZero() {
		q.wakeAt(sh.pickAt)
	}
	if !sh.hedgeAt.IsZero() {
		q.wakeAt(sh.hedgeAt)
	}
}

// hedge sends a second attempt of a slow shard, if policy, budget and replicas allow.
func (q *query) hedge(sh *shard, now time.Time) {
	allowed := hedge.Allowed(hedge.Shard{
		Hedged: sh.hedged,
		Losses: q.losses,
		Left:   q.answerBy.Sub(now),
	})
	if !allowed || len(sh.flying) != 1 || len(sh.tried) >= maxAttempts {
		return
	}
	if due := sh.started.Add(hedge.Delay(sh.quantile, q.fill)); now.Before(due) {
		sh.hedgeAt = due
		return
	}
	if !q.payHedge() {
		sh.hedgeAt = now.Add(sh.quantile / hedgePolls)
		return
	}
	t, err := q.e.up.Pick(q.s.Workload, sh.name, sh.tried, true)
	if err != nil {
		q.refundHedge()
		sh.hedgeTries++
		sh.hedged, sh.hedgedAt = sh.hedgeTries == maxHedgeTries, now
		sh.hedgeAt = now.Add(sh.quantile)
		return
	}
	sh.hedged, sh.hedgedAt = true, now
	q.counters.hedged.Inc()
	q.send(sh, t, q.wanted, true)
}

func (q *query) payHedge() (paid bool) {
	q.e.budgets.Do(q.workload, func(b *budget) {
		paid = b.hedge.Take()
		q.fill = b.hedge.Fill()
	})
	return paid
}

func (q *query) refundHedge() {
	q.e.budgets.Do(q.workload, func(b *budget) { b.hedge.GiveBack() })
}
