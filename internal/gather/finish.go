package gather

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/internal/policy/answer"
	"github.com/sardinespindle/sardinespindle/internal/policy/hedge"
	"github.com/sardinespindle/sardinespindle/internal/policy/snapshot"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
	manifestgen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
)

const (
	// Callers are told to resend after minRetryAfter plus a random part of retryAfterSpread.
	// The wait is longer if an upstream asks for that, or if plan.Decide expects a
	// pass-through search to take longer to its minimum share.
	minRetryAfter    = 200 * time.Millisecond
	retryAfterSpread = 300 * time.Millisecond
	// crashRetryAfter is for a request that is suspected to crash upstreams.
	crashRetryAfter = 10 * time.Second
)

func crashSuspected() outcome.Outcome {
	return outcome.Unknown(outcome.CrashSuspected,
		"this request is suspected to crash upstreams", crashRetryAfter)
}

// retryAfter returns the wait before a resend, with jitter so that callers do not all
// resend at once.
func (q *query) retryAfter() time.Duration {
	return max(q.maxRetryAfter, minRetryAfter) + rand.N(retryAfterSpread)
}

// notRun is the outcome of a search for which no replica could be picked, or whose
// attempts all ended without running.
func (q *query) notRun() outcome.Outcome {
	if q.cost.Shed > 0 {
		return outcome.NotRun(outcome.Overloaded, "every upstream refused", q.retryAfter())
	}
	return outcome.NotRun(outcome.NoUpstream, "no upstream takes new work", q.retryAfter())
}

// decide returns the outcome, and whether the search ends now.
func (q *query) decide() (outcome.Outcome, bool) {
	now := time.Now()
	if q.s.PassThrough != nil {
		return q.decidePassThrough(now)
	}
	s := q.state(now)
	if answer.Decide(s) == answer.Wait {
		return outcome.Outcome{}, false
	}
	return q.finish(s.TimeUp), true
}

func (q *query) state(now time.Time) answer.State {
	s := answer.State{
		Trade:   q.s.Grant.Trade,
		Minimum: q.s.Grant.MinimumCoverage,
		Total:   len(q.plan),
		Covered: q.counts[covered],
		Pending: q.counts[open],
		TimeUp:  !now.Before(q.answerBy),
	}
	if s.Trade == manifestgen.GrantTradePartial && answer.FewMissing(s) && !q.e.enabled.baseline {
		s.AllLate = q.late(now)
	}
	return s
}

// late reports whether every open shard was hedged long enough ago that nearly all hedges
// would have a reply by now. If one was hedged too recently, late schedules a wake-up.
func (q *query) late(now time.Time) bool {
	for _, sh := range q.plan {
		if sh.status != open {
			continue
		}
		if !sh.hedged {
			return false
		}
		if at := hedge.LateAt(sh.hedgedAt, sh.quantile); now.Before(at) {
			q.wakeAt(at)
			return false
		}
	}
	return true
}

// finish answers with the snapshot of the best coverage, or returns why there is no
// answer.
func (q *query) finish(timeUp bool) outcome.Outcome {
	id, ok := q.best()
	if !ok {
		return q.noParts(timeUp)
	}
	cov := q.coverageOf(id)
	q.counters.coverage.Observe(coverageRatio(cov))
	verdict := answer.Decide(answer.State{
		Trade: q.s.Grant.Trade, Minimum: q.s.Grant.MinimumCoverage,
		Total: cov.ShardsTotal, Covered: cov.ShardsCovered, TimeUp: true,
	})
	var out outcome.Outcome
	switch {
	case verdict == answer.Send:
		out.Kind = caller.OutcomeAnswered
		out.Documents = q.merge.Top(id, q.s.Query.Limit)
	case q.suspected():
		out = crashSuspected()
	default:
		out = outcome.Unknown(outcome.CoverageTooLow, coverageDetail(cov), q.retryAfter())
	}
	out.Snapshot = &caller.Snapshot{Index: id.Index, Map: id.Map}
	out.Coverage = &cov
	return out
}

func coverageDetail(c caller.Coverage) string {
	return fmt.Sprintf("%d of %d shards covered", c.ShardsCovered, c.ShardsTotal)
}

func coverageRatio(c caller.Coverage) float64 {
	if c.ShardsTotal == 0 {
		return 0
	}
	return float64(c.ShardsCovered) / float64(c.ShardsTotal)
}

// best returns the snapshot of which the largest share of parts has arrived.
func (q *query) best() (snapshot.ID, bool) {
	return snapshot.Best(q.merge.Snapshots(nil), func(id snapshot.ID) (snapshot.Score, bool) {
		pm, ok := q.s.Workload.Maps[id.Map]
		if !ok {
			return snapshot.Score{}, false
		}
		n := q.merge.Count(id)
		return snapshot.Score{Total: len(pm.Shards), Replied: n, Likely: n, Possible: n}, true
	})
}

func (q *query) coverageOf(id snapshot.ID) caller.Coverage {
	if !q.e.enabled.coverage {
		return q.merge.Unchecked(id)
	}
	now := q.e.now()
	return q.merge.Report(id, q.s.Workload.Maps[id.Map], func(shard string) (n int, known bool) {
		q.e.shards.View(q.key(shard), func(st *shardState) { n, known = st.counts.Held(id, now) })
		return n, known
	})
}

// noParts is the outcome of a search that has no part of a known partition map.
func (q *query) noParts(timeUp bool) outcome.Outcome {
	switch {
	case !q.mayHaveRun && q.inflight == 0:
		return q.notRun()
	case q.suspected():
		return crashSuspected()
	case q.replied:
		return q.unknown(outcome.CoverageUnknown, "no reply is a whole part of a known partition map")
	case timeUp:
		return q.unknown(outcome.DeadlineExceeded, "no shard replied in time")
	case q.losses > 0:
		return q.unknown(outcome.ConnectionLost, "connections to upstreams were lost")
	default:
		return q.unknown(outcome.UpstreamError, "every attempt failed")
	}
}

// unknown returns the outcome of a search that may have run, but has no answer.
func (q *query) unknown(r outcome.Reason, detail string) outcome.Outcome {
	return outcome.Unknown(r, detail, q.retryAfter())
}
