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
	// minComeBack and comeBackSpread bound the time after which a caller may come back.
	minComeBack    = 200 * time.Millisecond
	comeBackSpread = 300 * time.Millisecond
	// crashComeBack is when to come back with a request that is held to crash upstreams.
	crashComeBack = 10 * time.Second
)

func crashSuspected() outcome.Outcome {
	return outcome.Unknown(outcome.CrashSuspected,
		"this request is suspected to crash upstreams", crashComeBack)
}

// comeBack spreads the returns of refused callers.
func (q *query) comeBack() time.Duration {
	return max(q.after, minComeBack) + rand.N(comeBackSpread)
}

// nothingSent is the outcome where no replica could be picked.
func (q *query) nothingSent() outcome.Outcome {
	if q.cost.Shed > 0 {
		return outcome.NotRun(outcome.Overloaded, "every upstream refused", q.comeBack())
	}
	return outcome.NotRun(outcome.NoUpstream, "no upstream takes new work", q.comeBack())
}

func (q *query) decide() (outcome.Outcome, bool) {
	now := time.Now()
	if q.s.Pass != nil {
		return q.decidePassed(now)
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
		Open:    q.counts[open],
		TimeUp:  !now.Before(q.answerBy),
	}
	if s.Trade == manifestgen.GrantTradePartial && answer.Few(s) && !q.e.mode.baseline {
		s.Late = q.late(now)
	}
	return s
}

// late reports whether each open shard is past the time in which nearly all hedges
// are answered; else it wakes the search when that may be so.
func (q *query) late(now time.Time) bool {
	for _, sh := range q.plan {
		if sh.class != open {
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

// finish answers with the snapshot of best coverage, or says why there is no answer.
func (q *query) finish(timeUp bool) outcome.Outcome {
	id, ok := q.best()
	if !ok {
		return q.noParts(timeUp)
	}
	cov := q.report(id)
	q.counters.coverage.Observe(ratio(cov))
	verdict := answer.Decide(answer.State{
		Trade: q.s.Grant.Trade, Minimum: q.s.Grant.MinimumCoverage,
		Total: cov.ShardsTotal, Covered: cov.ShardsCovered, TimeUp: true,
	})
	var out outcome.Outcome
	switch {
	case verdict == answer.Give:
		out.Kind = caller.OutcomeAnswered
		out.Documents = q.merge.Top(id, q.s.Query.Limit)
	case q.suspected():
		out = crashSuspected()
	default:
		out = outcome.Unknown(outcome.CoverageTooLow, tooLow(cov), q.comeBack())
	}
	out.Snapshot = &caller.Snapshot{Index: id.Index, Map: id.Map}
	out.Coverage = &cov
	return out
}

func tooLow(c caller.Coverage) string {
	return fmt.Sprintf("%d of %d shards covered", c.ShardsCovered, c.ShardsTotal)
}

func ratio(c caller.Coverage) float64 {
	if c.ShardsTotal == 0 {
		return 0
	}
	return float64(c.ShardsCovered) / float64(c.ShardsTotal)
}

// best returns the snapshot of which the largest share of shards is there.
func (q *query) best() (snapshot.ID, bool) {
	return snapshot.Best(q.merge.Snapshots(nil), func(id snapshot.ID) (snapshot.Score, bool) {
		pm, ok := q.s.Workload.Maps[id.Map]
		if !ok {
			return snapshot.Score{}, false
		}
		n := q.merge.Count(id)
		return snapshot.Score{Total: len(pm.Shards), Have: n, Likely: n, Possible: n}, true
	})
}

func (q *query) report(id snapshot.ID) caller.Coverage {
	if !q.e.mode.coverage {
		return q.merge.Unchecked(id)
	}
	now := q.e.now()
	return q.merge.Report(id, q.s.Workload.Maps[id.Map], func(shard string) (n int, known bool) {
		q.e.memories.View(q.key(shard), func(m *memory) { n, known = m.held.Held(id, now) })
		return n, known
	})
}

// noParts is the outcome of a search that holds no part of a known partition map.
func (q *query) noParts(timeUp bool) outcome.Outcome {
	switch {
	case !q.ran && q.inflight == 0:
		return q.nothingSent()
	case q.suspected():
		return crashSuspected()
	case q.replied:
		return q.unfinished(outcome.CoverageUnknown, "no reply is a whole part of a known partition map")
	case timeUp:
		return q.unfinished(outcome.DeadlineExceeded, "no shard replied in time")
	case q.losses > 0:
		return q.unfinished(outcome.ConnectionLost, "connections to upstreams were lost")
	default:
		return q.unfinished(outcome.UpstreamError, "every attempt failed")
	}
}

func (q *query) unfinished(r outcome.Reason, detail string) outcome.Outcome {
	return outcome.Unknown(r, detail, q.comeBack())
}
