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
	"github.com/sardinespindle/sardinespindle/internal/policy/backoff"
	"github.com/sardinespindle/sardinespindle/internal/policy/coverage"
	"github.com/sardinespindle/sardinespindle/internal/policy/plan"
	"github.com/sardinespindle/sardinespindle/internal/policy/takeover"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
)

// PassThrough describes a pass-through search: its request goes to each shard unchanged,
// and its parts are bodies of fixed-size records. Each shard is a workload of its own. The
// only snapshot is the newest partition map of Search.Workload, so parts of two maps never
// mix.
type PassThrough struct {
	Request *upstream.PassThroughRequest
	// Shards holds the workload that serves each shard, by the shard's name.
	Shards map[string]*manifest.Workload
	// Top is the number of records that the caller wants.
	Top int
	// MinimumShare is the minimum share of shards, 0 to 1.
	MinimumShare float64
	// From AnswerAt on, an answer with the parts at hand is worth more than a later complete
	// one, so the search is answered as soon as the parts reach the minimum share.
	// At GiveUpAt, it ends in any case.
	AnswerAt, GiveUpAt time.Time
	// HedgeAfter is the time from a shard's first attempt to its hedge.
	HedgeAfter time.Duration
	// MaxAttempts is the most replicas of a shard that may run the request.
	MaxAttempts int
	// Before holds the replicas that other VMs may have sent the request to, by the index of the
	// shard; nil for none. First attempts of those shards take from the budget of repeats.
	Before takeover.Record
	// Announce announces replicas that the request may be sent to, in place of those announced
	// before, and calls onConfirmed, on any goroutine, once they may be used. Nil if no other VM
	// can take the search over. With ConfirmFirst, first attempts are announced too.
	Announce     func(u takeover.Update, onConfirmed func())
	ConfirmFirst bool
	// OnDue is called once with the number of shards covered if they are too few to answer at
	// AnswerAt; may be nil. When Finish is closed, the search is answered with what there is;
	// may be nil.
	OnDue  func(covered int)
	Finish <-chan struct{}
	// Suspects are the shards whose upstreams the request may end. With TrySuspects, they are on trial as with Search.Trial,
	// while the other shards are asked; else they are left out.
	Suspects    []string
	TrySuspects bool
	// CallerResent means that the request was shed before and the caller sent it again.
	CallerResent bool
	// TakeRepeat takes one repeat from the budget of a service and reports whether the budget
	// allowed it. With hedge, the first attempt is slow; without, an attempt failed or another
	// VM may have sent the request (see Before).
	TakeRepeat func(service string, hedge bool) bool
}

// assignWorkload sets the workload whose upstreams serve the shard.
func (q *query) assignWorkload(sh *shard) {
	if q.s.PassThrough != nil {
		sh.workload = q.s.PassThrough.Shards[sh.name]
		return
	}
	sh.workload, sh.key = q.s.Workload, sh.name
	sh.replicas = len(q.s.Workload.Replicas[sh.name])
}

// launchPassThrough sends the first attempt of each shard that plan.Decide chooses, or announces
// it. If plan.Decide sheds the search, nothing is sent.
func (q *query) launchPassThrough() {
	now := time.Now()
	for i, sh := range q.plan {
		sh.index = i
	}
	q.ledger = takeover.NewLedger(takeover.Options{
		Shards: len(q.plan), MaxAttempts: q.s.PassThrough.MaxAttempts, Before: q.s.PassThrough.Before,
		Alone: q.s.PassThrough.Announce == nil, ConfirmFirst: q.s.PassThrough.ConfirmFirst,
	})
	tickets := make([]Ticket, len(q.plan))
	s := plan.Search{
		Expected: make([]time.Duration, len(q.plan)), MinShards: q.minShards(),
		UntilLate: q.s.PassThrough.AnswerAt.Sub(now), UntilGiveUp: q.s.PassThrough.GiveUpAt.Sub(now), CallerResent: q.s.PassThrough.CallerResent,
	}
	for i, sh := range q.plan {
		t, expected, err := q.pickPassThrough(sh)
		if err == nil && q.ledger.MaybeSent(i) && !q.s.PassThrough.TakeRepeat(sh.name, false) {
			t.Cancel()
			t, err = nil, errNoBudget
		}
		if err != nil {
			expected = plan.Never
		}
		tickets[i], s.Expected[i] = t, expected
		switch {
		case errors.Is(err, errNoBudget):
			sh.missingCause = "no_budget"
		case errors.Is(err, upstream.ErrUnreachable):
			sh.missingCause = "unreachable"
		}
		if cause := upstream.WaitReason(err); cause != "" {
			sh.missingCause, q.waitSeen = cause, true
		}
	}
	q.startTrial()
	v := plan.Decide(s)
	q.maxRetryAfter = max(q.maxRetryAfter, v.TimeToMinShare)
	for i, sh := range q.plan {
		switch t := tickets[i]; {
		case t == nil:
			sh.gaveUp, sh.missingCause = true, cmp.Or(sh.missingCause, "no_replica")
		case v.Ask[i] && !v.Shed:
			q.askFirst(sh, t)
		default:
			sh.gaveUp, sh.missingCause = true, "expected_late"
			t.Cancel()
		}
	}
	q.moveTrial()
}

// askFirst sends the first attempt of a shard, unless it has to wait for a trial.
func (q *query) askFirst(sh *shard, t Ticket) {
	if !q.mayAsk(sh) {
		t.Cancel()
		return
	}
	q.sendOrAnnounce(sh, t, announced{paid: true})
}

// untilEnough returns how long it takes until enough replicas that want a pause, or are at their
// limit, take requests for the minimum share; 0 if it does not depend on them.
func (q *query) untilEnough() time.Duration {
	if !q.waitSeen {
		return 0
	}
	need := q.minShards()
	var waits []time.Duration
	for _, sh := range q.plan {
		if sh.workload == nil {
			continue
		}
		t, _, err := q.e.client.PickPassThrough(sh.workload, q.workload, nil)
		if err == nil {
			t.Cancel()
			need--
		} else if wait := upstream.WaitLeft(err); wait > 0 {
			waits = append(waits, wait)
		}
	}
	return backoff.UntilEnough(need, waits)
}

var (
	errNotPublished = errors.New("gather: shard is not published")
	errNoBudget     = errors.New("gather: budget of repeats is spent")
)

func (q *query) pickPassThrough(sh *shard) (Ticket, time.Duration, error) {
	if sh.workload == nil {
		return nil, 0, errNotPublished
	}
	t, expected, err := q.e.client.PickPassThrough(sh.workload, q.workload, q.excluded(sh))
	q.unreachable = q.unreachable || errors.Is(err, upstream.ErrUnreachable)
	return t, expected, err
}

// excluded returns the replicas that get no attempt of a shard: those blocked, and those that may
// not be used beside the ones that may have received the request.
func (q *query) excluded(sh *shard) []string {
	only, limited := q.ledger.Only(sh.index)
	if !limited {
		return sh.blocked
	}
	excluded := slices.Clone(sh.blocked)
	for _, u := range sh.workload.Upstreams {
		if !slices.Contains(only, takeover.Hash(u.Address)) {
			excluded = append(excluded, u.Address)
		}
	}
	return excluded
}

// minShards returns the least number of parts that reaches the search's minimum.
func (q *query) minShards() int {
	if q.s.PassThrough == nil {
		return answer.MinShards(answer.State{Minimum: q.s.Grant.MinimumCoverage, Total: len(q.plan)})
	}
	return answer.MinShards(answer.State{Minimum: q.s.PassThrough.MinimumShare, Total: len(q.plan)})
}

// handlePassThroughReply adds a shard's part and cancels its other attempts.
func (q *query) handlePassThroughReply(sh *shard, r *upstream.Result) {
	q.replied = true
	q.goodReplies++
	q.merge.Add(q.pmap, coverage.Part{
		Shard: sh.name, Snapshot: q.target, Signature: r.Signature, Records: r.Body,
	})
	q.updateStatus(sh)
	if sh.status == covered {
		q.cancelAttempts(sh)
	}
	q.judgeTrial(sh, upstream.OK)
}

// decidePassThrough returns the outcome, and whether the search ends now.
func (q *query) decidePassThrough(now time.Time) (outcome.Outcome, bool) {
	p := q.s.PassThrough
	if !now.Before(p.AnswerAt) {
		q.endTrial(false)
	}
	s := answer.State{
		Minimum: p.MinimumShare, Total: len(q.plan), Covered: q.counts[covered], Pending: q.counts[open],
		TimeUp: !now.Before(p.AnswerAt),
	}
	switch answer.DecideAllowLate(s) {
	case answer.Send:
		return q.answerPassThrough(), true
	case answer.Fail:
		return q.failPassThrough(), true
	case answer.Wait:
	}
	if q.finishRequested && s.Covered > 0 {
		return q.answerPassThrough(), true
	}
	if s.TimeUp && !q.dueReported {
		q.dueReported = true
		if p.OnDue != nil {
			p.OnDue(s.Covered)
		}
	}
	if !now.Before(p.GiveUpAt) {
		return q.failPassThrough(), true
	}
	if s.TimeUp {
		q.wakeAt(p.GiveUpAt)
	} else {
		q.wakeAt(p.AnswerAt)
	}
	return outcome.Outcome{}, false
}

// answerPassThrough answers with the greatest records of all parts.
func (q *query) answerPassThrough() outcome.Outcome {
	parts := q.merge.Parts(q.target)
	out := outcome.Outcome{Kind: caller.OutcomeAnswered}
	bodies := make([][]byte, 0, len(parts))
	for _, p := range parts {
		out.Signatures = append(out.Signatures, p.Signature)
		bodies = append(bodies, p.Records)
	}
	out.Result = coverage.TopRecords(bodies, q.s.PassThrough.Top)
	out.Coverage = &caller.Coverage{
		ShardsTotal: len(q.plan), ShardsCovered: len(parts), Complete: len(parts) == len(q.plan),
	}
	if !out.Coverage.Complete {
		out.Detail = q.missingCauses()
	}
	return out
}

// missingCauses lists the causes of missing parts with their counts, as in
// "no_replica:1 slow:2", for Outcome.Detail.
func (q *query) missingCauses() string {
	counts := map[string]int{}
	for _, sh := range q.plan {
		switch {
		case sh.status == covered:
		case sh.missingCause == "" || len(sh.inflight) > 0:
			counts[slowCause(sh)]++
		default:
			counts[sh.missingCause]++
		}
	}
	var out []string
	for _, cause := range slices.Sorted(maps.Keys(counts)) {
		out = append(out, fmt.Sprintf("%s:%d", cause, counts[cause]))
	}
	return strings.Join(out, " ")
}

// slowCause returns the cause for a shard that has not replied; it includes why no repeat
// was sent, if one was denied.
func slowCause(sh *shard) string {
	if sh.repeatDenied == "" || len(sh.inflight) > 1 {
		return "slow"
	}
	return "slow_no_" + sh.repeatDenied
}

// failPassThrough is the outcome of a search that does not reach the minimum share.
func (q *query) failPassThrough() outcome.Outcome {
	cov := caller.Coverage{ShardsTotal: len(q.plan), ShardsCovered: q.counts[covered]}
	detail := coverageDetail(cov) + ": " + q.missingCauses()
	q.maxRetryAfter = max(q.maxRetryAfter, q.untilEnough())
	out := outcome.NotRun(outcome.Overloaded, detail, q.retryAfter())
	if q.crashesUpstreams() || q.trial.ofAll && q.trial.failed && (q.mayHaveRun || q.inflight > 0) {
		out = crashSuspected()
	} else if q.mayHaveRun || q.inflight > 0 {
		out = outcome.Unknown(outcome.CoverageTooLow, detail, q.retryAfter())
	}
	if q.unreachable {
		out.Reason, out.MaybeSent = outcome.Unreachable, q.ledger.Record()
	}
	out.Coverage = &cov
	return out
}
