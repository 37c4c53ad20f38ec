package gather

import (
	"context"
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
	// pickBackoff is the wait before a failed pick is tried again; it doubles.
	pickBackoff = 5 * time.Millisecond
	// maxPicks is the most picks of one shard that may fail in a row.
	maxPicks = 3
	// maxReasks is the most times a shard is asked again for another snapshot.
	maxReasks = 2
	// maxHedgeTries is how often a hedge that is due may find no token or no replica.
	maxHedgeTries = 3
	// maxAttempts is the most attempts of one shard in one search.
	maxAttempts = 1 + 1 + retry.PerShard + maxReasks
)

// launchAll sends the first attempt of each shard.
func (q *query) launchAll() {
	scout := -1
	q.e.budgets.Do(q.workload, func(b *budget) {
		b.hedge.Earn(len(q.plan), q.s.Grant.HedgePercent)
		b.cursor++
		scout = b.cursor % len(q.plan)
	})
	for i, sh := range q.plan {
		want := q.want()
		if i == scout {
			want = nil
		}
		q.launch(sh, want)
	}
}

// want is the snapshot that an attempt asks for; nil for the newest.
func (q *query) want() *snapshot.ID {
	if !q.hasTarget {
		return nil
	}
	id := q.target
	return &id
}

// launch picks a replica that this search has not tried and sends. Where there is
// none it comes back a little later.
func (q *query) launch(sh *shard, want *snapshot.ID) bool {
	t, err := q.e.up.Pick(q.s.Workload, sh.name, sh.tried, false)
	if err != nil && sh.picks > 0 {
		t, err = q.e.up.Pick(q.s.Workload, sh.name, sh.barred, false)
	}
	if err != nil {
		q.pickLater(sh)
		return false
	}
	sh.picks = 0
	q.send(sh, t, want, false)
	return true
}

func (q *query) pickLater(sh *shard) {
	sh.picks++
	sh.given = sh.picks > maxPicks
	if !sh.given {
		sh.pickAt = time.Now().Add(pickBackoff << (sh.picks - 1))
		q.wakeAt(sh.pickAt)
	}
	q.touch(sh)
}

func (q *query) send(sh *shard, t Ticket, want *snapshot.ID, hedged bool) {
	q.attempts++
	at := &attempt{
		id:      q.s.ID + "." + strconv.Itoa(q.attempts),
		address: t.Address(),
		want:    want,
		hedge:   hedged,
	}
	ctx, cancel := context.WithCancel(q.ctx)
	at.cancel = cancel
	sh.tried = append(sh.tried, at.address)
	sh.flying = append(sh.flying, at)
	q.inflight++
	q.touch(sh)
	q.planHedge(sh)
	go q.do(ctx, sh, at, t)
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
	delay, ok := hedge.Delay(q.e.up.HedgeDelay(q.workload, sh.name))
	if !ok {
		return
	}
	sh.delay = delay
	sh.hedgeAt = sh.started.Add(delay)
	q.wakeAt(sh.hedgeAt)
}

// do runs in the attempt's own goroutine.
func (q *query) do(ctx context.Context, sh *shard, at *attempt, t Ticket) {
	defer at.cancel()
	ctx, span := q.startSpan(ctx, sh, at)
	res := q.e.up.Do(ctx, t, upstream.Attempt{
		Kind:      upstream.Search,
		Workload:  q.workload,
		Shard:     sh.name,
		RequestID: at.id,
		Snapshot:  at.want,
		Deadline:  q.answerBy,
		Body:      q.body,
		Hedge:     at.hedge,
	})
	endSpan(span, res)
	if res.Class != upstream.NotSent {
		q.e.metrics.count(q.workload, kindSent, 1)
	}
	select {
	case q.events <- event{sh, at, res}:
	case <-q.ctx.Done():
	}
}

func (q *query) startSpan(ctx context.Context, sh *shard, at *attempt) (context.Context, trace.Span) {
	if !trace.SpanContextFromContext(ctx).IsSampled() {
		return ctx, nil
	}
	return otel.Tracer("sardinespindle/gather").Start(ctx, "subrequest", trace.WithAttributes(
		attribute.String("shard", sh.name),
		attribute.String("address", at.address),
		attribute.Bool("hedge", at.hedge),
	))
}

var classNames = map[upstream.Class]string{
	upstream.OK: "ok", upstream.Shed: "shed", upstream.NotSent: "not_sent", upstream.Lost: "lost",
	upstream.TimedOut: "timed_out", upstream.Canceled: "canceled", upstream.Garbled: "garbled",
	upstream.Failed: "failed",
}

func endSpan(span trace.Span, res upstream.Result) {
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
			q.launch(sh, q.want())
		}
		if !sh.hedgeAt.IsZero() && !now.Before(sh.hedgeAt) {
			sh.hedgeAt = time.Time{}
			q.hedge(sh, now)
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
	t, ok := q.hedgeTicket(sh)
	if !ok {
		sh.hedgeTries++
		sh.hedged = sh.hedgeTries == maxHedgeTries
		sh.hedgeAt = now.Add(sh.delay)
		return
	}
	sh.hedged = true
	q.e.metrics.count(q.workload, kindHedged, 1)
	q.send(sh, t, q.want(), true)
}

// hedgeTicket pays for a hedge and picks another replica; false where either fails.
func (q *query) hedgeTicket(sh *shard) (Ticket, bool) {
	paid := false
	q.e.budgets.Do(q.workload, func(b *budget) { paid = b.hedge.Take() })
	if !paid {
		return nil, false
	}
	t, err := q.e.up.Pick(q.s.Workload, sh.name, sh.tried, true)
	if err != nil {
		q.e.budgets.Do(q.workload, func(b *budget) { b.hedge.GiveBack() })
		return nil, false
	}
	return t, true
}
