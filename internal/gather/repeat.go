package gather

import (
	"slices"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/policy/plan"
	"github.com/sardinespindle/sardinespindle/internal/policy/takeover"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
)

// hedgePassThrough hedges a slow shard once, if its budget and replicas allow.
func (q *query) hedgePassThrough(sh *shard) {
	if sh.hedged || len(sh.inflight) != 1 || q.trial.shard == sh {
		return
	}
	sh.hedged = true
	q.repeat(sh, true)
}

// retryPassThrough decides what follows an attempt that gave no part: another one, after
// lossDelay if the reply was lost, or giving the shard up.
func (q *query) retryPassThrough(sh *shard, c upstream.Class) {
	if sh.status != idle {
		return
	}
	if q.judgeTrial(sh, c) {
		sh.gaveUp, sh.missingCause = true, classNames[c]
		return
	}
	if c == upstream.Lost && sh.pickAt.IsZero() {
		// A request that crashes upstreams crashes all that run it at about the same time:
		// wait for lossDelay to see whether others are lost too.
		sh.missingCause, sh.pickAt = classNames[c], time.Now().Add(lossDelay)
		q.wakeAt(sh.pickAt)
		q.updateStatus(sh)
		return
	}
	q.repeatOrGiveUp(sh, c)
}

// repeatOrGiveUp sends a shard's request to another replica after an attempt of class c, or
// gives the shard up.
func (q *query) repeatOrGiveUp(sh *shard, c upstream.Class) {
	if q.crashesUpstreams() {
		sh.gaveUp, sh.missingCause = true, "crashed"
		q.updateStatus(sh)
		return
	}
	if q.repeat(sh, false) {
		q.counters.retried.Inc()
		return
	}
	sh.gaveUp, sh.missingCause = true, classNames[c]
	q.moveTrial()
	q.askLeftOut()
}

// unblock records that an attempt did not run. Its replica stays blocked only until another
// replica does not run the request either.
func (q *query) unblock(sh *shard, at *attempt, c upstream.Class) {
	if c.MayHaveRun() {
		return
	}
	q.ledger.RecordNotRun(sh.index, takeover.Hash(at.address))
	sh.blocked = slices.DeleteFunc(sh.blocked, func(a string) bool { return a == sh.notRunBy })
	sh.notRunBy = at.address
}

// askLeftOut asks shards that launchPassThrough left out, the fastest first, while the
// minimum share depends on them.
func (q *query) askLeftOut() {
	for q.counts[covered]+q.counts[open] < q.minShards() {
		var best *shard
		var ticket Ticket
		least := plan.Never
		for _, sh := range q.plan {
			if len(sh.tried) > 0 || sh.announced != nil || q.trial.failed && q.onTrial(sh) {
				continue
			}
			t, expected, err := q.pickPassThrough(sh)
			if err != nil {
				continue
			}
			if expected >= least {
				t.Cancel()
				continue
			}
			if ticket != nil {
				ticket.Cancel()
			}
			best, ticket, least = sh, t, expected
		}
		if best == nil {
			return
		}
		q.sendOrAnnounce(best, ticket, announced{paid: true})
	}
}

const (
	// lossDelay is the time between a lost reply and the retry of a pass-through request.
	lossDelay = 8 * time.Millisecond
	// A pass-through request is suspected when at least minCrashed of its attempts, and at
	// least crashedPercent of them, crashed their upstream. When an availability zone fails,
	// the share is smaller.
	minCrashed     = 3
	crashedPercent = 40
)

// crashesUpstreams reports whether a pass-through request is suspected to crash the
// upstreams that run it.
func (q *query) crashesUpstreams() bool {
	return q.crashedAttempts >= minCrashed && 100*q.crashedAttempts >= crashedPercent*q.attempts
}

// maxSends is the most attempts of one shard of a pass-through search, including those that
// a replica did not run.
const maxSends = 4

// repeat sends the shard's request to one more replica, or announces it, and reports whether it
// did. If not, sh.repeatDenied holds the reason.
func (q *query) repeat(sh *shard, hedge bool) bool {
	t, denied := q.pickRepeat(sh)
	if denied != "" {
		sh.repeatDenied = denied
		return false
	}
	// If no attempt reached a replica, this one counts as the first.
	a := announced{hedge: hedge, paid: sh.reachedAttempts == 0 && len(sh.inflight) == 0}
	if hedge {
		a.notFrom = sh.started.Add(q.s.PassThrough.HedgeAfter)
	}
	return q.sendOrAnnounce(sh, t, a)
}

// pickRepeat picks a replica for one more attempt; denied is the reason if there is none,
// and empty otherwise.
func (q *query) pickRepeat(sh *shard) (t Ticket, denied string) {
	p := q.s.PassThrough
	now := time.Now()
	if len(sh.tried) >= maxSends || !now.Before(p.GiveUpAt) {
		return nil, "attempts"
	}
	t, expected, err := q.pickPassThrough(sh)
	if err != nil {
		if _, limited := q.ledger.Only(sh.index); limited {
			return nil, "attempts"
		}
		return nil, "replica"
	}
	reach := q.counts[covered] + q.counts[open]
	if !plan.RepeatWorthwhile(expected, p.AnswerAt.Sub(now), reach, q.minShards()) {
		t.Cancel()
		return nil, "late"
	}
	return t, ""
}
