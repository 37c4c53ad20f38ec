package gather

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/internal/policy/answer"
	"github.com/sardinespindle/sardinespindle/internal/policy/coverage"
	"github.com/sardinespindle/sardinespindle/internal/policy/plan"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
)

// Pass describes a search whose request goes to each shard unchanged and whose parts are
// bodies of fixed-size records. Each shard is a workload of its own. Its snapshot is the
// set of shards that the search's workload names, so parts of two sets never mix.
type Pass struct {
	Request *upstream.Passed
	// Shards finds the workload that serves a shard, by the shard's name.
	Shards map[string]*manifest.Workload
	// Top is the number of records that the caller wants.
	Top int
	// Minimum is the least share of shards of an answer, 0 to 1.
	Minimum float64
	// AnswerAt is when an answer with the parts at hand is worth more than a later one
	// with all of them; GiveUpAt is when the caller is answered in any case.
	AnswerAt, GiveUpAt time.Time
	// HedgeAfter is how long after its first attempt a shard is hedged.
	HedgeAfter time.Duration
	// Attempts is the most replicas of a shard that may run the request.
	Attempts int
	// Resent says that another VM may have sent the request to the shards before, so that
	// each first attempt is paid for as a repeat.
	Resent bool
	// Returning says that the caller was refused before.
	Returning bool
	// Repeat pays for one attempt beyond a shard's first, because the first is slow (hedge)
	// or failed; false where the budget of the shard's service has none left for that.
	Repeat func(service string, hedge bool) bool
}

// place sets which workload's upstreams serve the shard.
func (q *query) place(sh *shard) {
	if q.s.Pass != nil {
		sh.workload = q.s.Pass.Shards[sh.name]
		return
	}
	sh.workload, sh.key = q.s.Workload, sh.name
	sh.replicas = len(q.s.Workload.Replicas[sh.name])
}

// launchPassed sends the first attempt of each shard, where enough of them can be sent.
func (q *query) launchPassed() {
	now := time.Now()
	tickets := make([]Ticket, len(q.plan))
	s := plan.Search{
		Expected: make([]time.Duration, len(q.plan)), Need: q.needPassed(),
		Left: q.s.Pass.AnswerAt.Sub(now), Most: q.s.Pass.GiveUpAt.Sub(now), Returning: q.s.Pass.Returning,
	}
	for i, sh := range q.plan {
		t, expected, err := q.pickPassed(sh)
		if err == nil && q.s.Pass.Resent && !q.s.Pass.Repeat(sh.name, false) {
			t.Cancel()
			t, err = nil, errUnpaid
		}
		if err != nil {
			expected = plan.Never
		}
		tickets[i], s.Expected[i] = t, expected
		if errors.Is(err, errUnpaid) {
			sh.cause = "no_budget"
		}
	}
	v := plan.Decide(s)
	q.after = max(q.after, v.Late)
	for i, sh := range q.plan {
		switch t := tickets[i]; {
		case t == nil:
			sh.given, sh.cause = true, cmp.Or(sh.cause, "no_replica")
		case v.Ask[i] && !v.Refuse:
			q.send(sh, t, q.wanted, false)
		default:
			sh.given, sh.cause = true, "expected_late"
			t.Cancel()
		}
	}
}

var (
	errNoService = errors.New("gather: shard is not published")
	errUnpaid    = errors.New("gather: budget of repeats is spent")
)

func (q *query) pickPassed(sh *shard) (Ticket, time.Duration, error) {
	if sh.workload == nil {
		return nil, 0, errNoService
	}
	return q.e.up.PickPassed(sh.workload, q.workload, sh.barred)
}

// needPassed is the least number of parts of an answer.
func (q *query) needPassed() int {
	return answer.Need(answer.State{Minimum: q.s.Pass.Minimum, Total: len(q.plan)})
}

// hedgePassed sends a second attempt of a slow shard, if budget and replicas allow.
func (q *query) hedgePassed(sh *shard) {
	if sh.hedged || len(sh.flying) != 1 {
		return
	}
	sh.hedged = true
	if q.repeat(sh, true) {
		q.counters.hedged.Inc()
	}
}

// retryPassed sends a shard's request to another replica after one gave no part.
func (q *query) retryPassed(sh *shard, c upstream.Class) {
	if sh.class != dead {
		return
	}
	if c == upstream.Lost && sh.pickAt.IsZero() {
		// A request that ends upstreams ends all of them at once: wait to see.
		sh.pickAt = time.Now().Add(lossPause)
		q.wakeAt(sh.pickAt)
		q.touch(sh)
		return
	}
	if q.endsUpstreams() {
		sh.given, sh.cause = true, "crashed"
		q.touch(sh)
		return
	}
	if q.repeat(sh, false) {
		q.counters.retried.Inc()
		return
	}
	sh.given, sh.cause = true, classNames[c]
	q.revive()
}

// unbar lets a replica that did not run the request be tried again, once another one
// has been.
func (q *query) unbar(sh *shard, at *attempt, c upstream.Class) {
	if c.MayHaveRun() {
		return
	}
	sh.ran--
	sh.barred = slices.DeleteFunc(sh.barred, func(a string) bool { return a == sh.refusedBy })
	sh.refusedBy = at.address
}

// revive asks shards that were left out, where the answer depends on them.
func (q *query) revive() {
	for q.counts[covered]+q.counts[open] < q.needPassed() {
		var best *shard
		var ticket Ticket
		least := plan.Never
		for _, sh := range q.plan {
			if len(sh.tried) > 0 {
				continue
			}
			t, expected, err := q.pickPassed(sh)
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
		q.send(best, ticket, q.wanted, false)
	}
}

const (
	// lossPause is the time between a lost connection and the next attempt.
	lossPause = 8 * time.Millisecond
	// endedLeast upstreams have ended, and endedShare of those asked in percent, where a
	// request is held to be the cause: a fault of a zone ends a smaller part.
	endedLeast = 3
	endedShare = 40
)

// endsUpstreams reports whether the request is held to end the upstreams that run it.
func (q *query) endsUpstreams() bool {
	return q.crashed >= endedLeast && 100*q.crashed >= endedShare*q.attempts
}

// mostSends is the most attempts of one shard, with those that a replica refused.
const mostSends = 4

// repeat sends the shard's request to one more replica, paid for where the shard may have
// had it before. Where it does not, the shard holds the reason.
func (q *query) repeat(sh *shard, hedge bool) bool {
	t, denied := q.another(sh, hedge)
	if denied != "" {
		sh.denied = denied
		return false
	}
	q.send(sh, t, q.wanted, hedge)
	return true
}

// another picks a replica for one more attempt, or says why there is none.
func (q *query) another(sh *shard, hedge bool) (t Ticket, denied string) {
	p := q.s.Pass
	now := time.Now()
	if sh.ran >= p.Attempts || len(sh.tried) >= mostSends || !now.Before(p.GiveUpAt) {
		return nil, "attempts"
	}
	t, expected, err := q.pickPassed(sh)
	if err != nil {
		return nil, "replica"
	}
	reach := q.counts[covered] + q.counts[open]
	if !plan.WorthRepeat(expected, p.AnswerAt.Sub(now), reach, q.needPassed()) {
		t.Cancel()
		return nil, "late"
	}
	// What reached no replica was no attempt, so the next one is the first.
	repeats := sh.arrived > 0 || len(sh.flying) > 0
	if repeats && !p.Repeat(string(sh.workload.Name), hedge) {
		t.Cancel()
		return nil, "budget"
	}
	return t, ""
}

// passedReply takes in a shard's part.
func (q *query) passedReply(sh *shard, r *upstream.Result) {
	q.replied = true
	q.good++
	q.merge.Add(q.pmap, coverage.Part{
		Shard: sh.name, Snapshot: q.target, Signature: r.Signature, Records: r.Body,
	})
	q.touch(sh)
	if sh.class == covered {
		q.drop(sh)
	}
}

// decidePassed says whether the search is answered now.
func (q *query) decidePassed(now time.Time) (outcome.Outcome, bool) {
	p := q.s.Pass
	s := answer.State{
		Minimum: p.Minimum, Total: len(q.plan), Covered: q.counts[covered], Open: q.counts[open],
		TimeUp: !now.Before(p.AnswerAt),
	}
	switch answer.Early(s) {
	case answer.Give:
		return q.answerPassed(), true
	case answer.Refuse:
		return q.failPassed(), true
	case answer.Wait:
	}
	if !now.Before(p.GiveUpAt) {
		return q.failPassed(), true
	}
	if s.TimeUp {
		q.wakeAt(p.GiveUpAt)
	} else {
		q.wakeAt(p.AnswerAt)
	}
	return outcome.Outcome{}, false
}

// answerPassed merges the greatest records of the parts.
func (q *query) answerPassed() outcome.Outcome {
	parts := q.merge.Parts(q.target)
	out := outcome.Outcome{Kind: caller.OutcomeAnswered}
	bodies := make([][]byte, 0, len(parts))
	for _, p := range parts {
		out.Signatures = append(out.Signatures, p.Signature)
		bodies = append(bodies, p.Records)
	}
	out.Result = coverage.TopRecords(bodies, q.s.Pass.Top)
	out.Coverage = &caller.Coverage{
		ShardsTotal: len(q.plan), ShardsCovered: len(parts), Complete: len(parts) == len(q.plan),
	}
	if !out.Coverage.Complete {
		out.Detail = q.causes()
	}
	return out
}

// causes counts why parts are missing, for the log.
func (q *query) causes() string {
	counts := map[string]int{}
	for _, sh := range q.plan {
		switch {
		case sh.class == covered:
		case sh.cause == "" || len(sh.flying) > 0:
			counts[slowCause(sh)]++
		default:
			counts[sh.cause]++
		}
	}
	var out []string
	for _, cause := range slices.Sorted(maps.Keys(counts)) {
		out = append(out, fmt.Sprintf("%s:%d", cause, counts[cause]))
	}
	return strings.Join(out, " ")
}

// slowCause tells of a shard that has not answered whether it was asked once more, and why
// not.
func slowCause(sh *shard) string {
	if sh.denied == "" || len(sh.flying) > 1 {
		return "slow"
	}
	return "slow_no_" + sh.denied
}

// failPassed is the outcome of a search that cannot reach the least share of shards.
func (q *query) failPassed() outcome.Outcome {
	cov := caller.Coverage{ShardsTotal: len(q.plan), ShardsCovered: q.counts[covered]}
	detail := tooLow(cov) + ": " + q.causes()
	out := outcome.NotRun(outcome.Overloaded, detail, q.comeBack())
	if q.endsUpstreams() {
		out = crashSuspected()
	} else if q.ran || q.inflight > 0 {
		out = outcome.Unknown(outcome.CoverageTooLow, detail, q.comeBack())
	}
	out.Coverage = &cov
	return out
}
