package single

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/gather"
	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
)

// PassThrough describes a request that goes to upstreams unchanged. It has no idempotency
// key, so a resend by the caller counts as a new request.
type PassThrough struct {
	Request    *upstream.PassThroughRequest
	Route      string
	Idempotent bool
	// HedgeAfter is the time from the first attempt to a hedge; it is used for idempotent
	// requests only.
	HedgeAfter time.Duration
	// MaxAttempts is the maximum number of upstreams that the request is sent to.
	MaxAttempts int
	// Used is how many of them other VMs may have sent it to.
	Used int
	// Repeat takes budget for one attempt beyond the first: a hedge or a retry. It reports
	// false if the budget is used up.
	Repeat func(hedge bool) bool
}

// runPassThrough makes attempts until one succeeds or no further attempt is allowed.
// A request that is not idempotent is not attempted again once it may have run.
func (r *Runner) runPassThrough(ctx context.Context, q Request) outcome.Outcome {
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	run := &passThroughRun{Runner: r, q: q, results: make(chan upstream.Result, maxStarts)}
	if !run.start(ctx, false) {
		return outcome.NotRun(run.reason(outcome.NoUpstream), fmt.Sprintf("nothing sent: %v", run.startErr), cmp.Or(upstream.WaitLeft(run.startErr), retryAfter))
	}
	timer := time.NewTimer(q.PassThrough.HedgeAfter)
	defer timer.Stop()
	var failed *upstream.Result
	for run.inFlight > 0 {
		select {
		case <-timer.C:
			if q.PassThrough.Idempotent {
				run.start(ctx, true)
			}
		case res := <-run.results:
			run.inFlight--
			run.state.recordResult(res)
			if res.Class == upstream.OK {
				return run.finish(attemptOutcome(res), &res)
			}
			failed = preferMayHaveRun(failed, res)
			if run.mayRetry(res.Class) && ctx.Err() == nil {
				run.start(ctx, false)
			}
		}
	}
	return run.finish(attemptOutcome(*failed), failed)
}

// passThroughRun is one pass-through request in progress. Only the request's own goroutine
// uses it, except for results, to which the attempts send.
type passThroughRun struct {
	*Runner
	q        Request
	state    attemptState
	inFlight int
	results  chan upstream.Result
	startErr error // from the last pick that found no upstream
}

// maxStarts bounds all attempts of a request, including those that reached no upstream
// and therefore don't count towards PassThrough.MaxAttempts.
const maxStarts = 6

// start starts one more attempt. It reports false if the limit of attempts is reached,
// no upstream can be picked or the budget is used up.
func (p *passThroughRun) start(ctx context.Context, hedged bool) bool {
	// An attempt that reached no upstream doesn't count, so its successor needs no budget.
	attempts := p.q.PassThrough.Used + p.state.cost.Sent + p.inFlight
	if attempts >= max(p.q.PassThrough.MaxAttempts, 1) || p.state.started >= maxStarts {
		return false
	}
	t, _, err := p.o.Upstream.PickPassThrough(p.q.Workload, p.q.PassThrough.Route, p.state.excluded)
	if err != nil {
		p.startErr = err
		return false
	}
	if attempts > 0 && !p.q.PassThrough.Repeat(hedged) {
		t.Cancel()
		return false
	}
	p.state.start(t)
	p.inFlight++
	go func() { p.results <- p.sendPassThrough(ctx, t, hedged) }()
	return true
}

func (p *passThroughRun) sendPassThrough(ctx context.Context, t gather.Ticket, hedged bool) upstream.Result {
	return p.o.Upstream.Do(ctx, t, upstream.Attempt{
		Kind:        upstream.PassThrough,
		Workload:    string(p.q.Workload.Name),
		RequestID:   p.q.ID,
		Deadline:    p.q.Deadline,
		PassThrough: p.q.PassThrough.Request,
		Route:       p.q.PassThrough.Route,
		Hedge:       hedged,
		Watcher:     p.q.Watcher,
	})
}

// mayRetry reports whether another attempt may follow one of this class. A request that
// is not idempotent is retried only if the failed attempt can't have run.
func (p *passThroughRun) mayRetry(c upstream.Class) bool {
	switch c {
	case upstream.Shed, upstream.NotSent:
		return p.inFlight == 0
	case upstream.Lost, upstream.InvalidReply, upstream.Failed:
		return p.q.PassThrough.Idempotent && p.inFlight == 0 && p.state.losses < maxLosses
	default:
		return false
	}
}

// maxLosses is the number of lost connections after which a request is not retried,
// because the request itself may be crashing the upstreams.
const maxLosses = 2

// retryAfter returns when the request may come back: once the first upstream ends the pause that it
// asked for, if all of them did; else after what one of them asked for, but retryAfter at most.
func (p *passThroughRun) retryAfter(asked time.Duration) time.Duration {
	t, _, err := p.o.Upstream.PickPassThrough(p.q.Workload, p.q.PassThrough.Route, nil)
	if err == nil {
		t.Cancel()
	}
	return cmp.Or(upstream.WaitLeft(err), min(asked, retryAfter))
}

// reason returns the reason of a request without an answer, which is otherwise r.
func (p *passThroughRun) reason(r outcome.Reason) outcome.Reason {
	if errors.Is(p.startErr, upstream.ErrUnreachable) {
		return outcome.Unreachable
	}
	return r
}

// PromisesNotRun reports whether callers take a status as the promise that their request has not run and
// will not. An upstream makes that promise by a header.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// finish returns the outcome of the request. res is the result of the deciding attempt and
// o its outcome. o is replaced if res carries a reply or reports a crash, or if o is "not run" and
// an earlier attempt may have run.
func (p *passThroughRun) finish(o outcome.Outcome, res *upstream.Result) outcome.Outcome {
	replied := res.Class == upstream.OK || res.Class == upstream.Failed && res.Header != nil
	switch {
	case replied && !p.q.PassThrough.Idempotent && PromisesNotRun(res.Status):
		o = outcome.Unknown(outcome.UpstreamError, fmt.Sprintf("the upstream failed with status %d, but does not say that it did not run the request", res.Status), retryAfter)
	case replied:
		o = outcome.Outcome{
			Kind: caller.OutcomeAnswered, Result: res.Body, ResultStatus: res.Status, Header: res.Header,
		}
	case res.Crashed:
		o = outcome.Unknown(outcome.CrashSuspected, "the upstream ended while it ran the request", retryAfter)
	case p.state.mayHaveRun && o.Kind == caller.OutcomeNotRun:
		o = outcome.Unknown(o.Reason, o.Detail, o.RetryAfter)
	}
	if o.Kind != caller.OutcomeAnswered {
		o.Reason = p.reason(o.Reason)
	}
	if o.Kind == caller.OutcomeNotRun {
		o.RetryAfter = p.retryAfter(o.RetryAfter)
	}
	o.Cost = p.state.cost
	return o
}
