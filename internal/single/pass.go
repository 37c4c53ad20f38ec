package single

import (
	"context"
	"fmt"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/gather"
	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
)

// Pass describes a request that goes to one upstream unchanged. It has no idempotency
// key: each attempt of the caller is a request of its own.
type Pass struct {
	Request    *upstream.Passed
	Route      string
	Idempotent bool
	// HedgeAfter is how long after the first attempt an idempotent request is hedged.
	HedgeAfter time.Duration
	// Attempts is the most upstreams that the request may be sent to.
	Attempts int
	// Repeat pays for one attempt beyond the first, because the first is slow (hedge) or
	// failed; false where the budget has none left for that.
	Repeat func(hedge bool) bool
}

// runPassed makes attempts until one is answered, may have run without being
// idempotent, or none is left.
func (r *Runner) runPassed(ctx context.Context, q Request) outcome.Outcome {
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	run := &passRun{Runner: r, q: q, results: make(chan upstream.Result, mostStarts)}
	if !run.start(ctx, false) {
		return outcome.NotRun(outcome.NoUpstream, fmt.Sprintf("nothing sent: %v", run.refusal), comeBack)
	}
	late := time.NewTimer(q.Pass.HedgeAfter)
	defer late.Stop()
	var failed *upstream.Result
	for run.flying > 0 {
		select {
		case <-late.C:
			if q.Pass.Idempotent {
				run.start(ctx, true)
			}
		case res := <-run.results:
			run.flying--
			run.tries.count(res)
			if res.Class == upstream.OK {
				return run.finish(judge(res), &res)
			}
			failed = worse(failed, res)
			if run.again(res.Class) && ctx.Err() == nil {
				run.start(ctx, false)
			}
		}
	}
	return run.finish(judge(*failed), failed)
}

// passRun is one passed request in progress; only its own goroutine touches it.
type passRun struct {
	*Runner
	q       Request
	tries   tries
	flying  int
	results chan upstream.Result
	refusal error // why the last attempt was not started
}

// mostStarts bounds the attempts with those that reach no upstream.
const mostStarts = 6

// start makes one more attempt, if attempts, budget and upstreams allow.
func (p *passRun) start(ctx context.Context, hedged bool) bool {
	// What reached no upstream was no attempt, so the next one is the first.
	attempts := p.tries.cost.Sent + p.flying
	if attempts >= max(p.q.Pass.Attempts, 1) || p.tries.made >= mostStarts {
		return false
	}
	t, _, err := p.o.Upstream.PickPassed(p.q.Workload, p.q.Pass.Route, p.tries.excluded)
	if err != nil {
		p.refusal = err
		return false
	}
	if attempts > 0 && !p.q.Pass.Repeat(hedged) {
		t.Cancel()
		return false
	}
	p.tries.next(t)
	p.flying++
	go func() { p.results <- p.pass(ctx, t, hedged) }()
	return true
}

func (p *passRun) pass(ctx context.Context, t gather.Ticket, hedged bool) upstream.Result {
	return p.o.Upstream.Do(ctx, t, upstream.Attempt{
		Kind:      upstream.Pass,
		Workload:  string(p.q.Workload.Name),
		RequestID: p.q.ID,
		Deadline:  p.q.Deadline,
		Pass:      p.q.Pass.Request,
		Route:     p.q.Pass.Route,
		Hedge:     hedged,
	})
}

// again reports whether another attempt may follow one of this class. A request that
// is not idempotent goes on only where no attempt may have run.
func (p *passRun) again(c upstream.Class) bool {
	switch c {
	case upstream.Shed, upstream.NotSent:
		return p.flying == 0
	case upstream.Lost, upstream.Garbled, upstream.Failed:
		return p.q.Pass.Idempotent && p.flying == 0 && p.tries.losses < maxLosses
	default:
		return false
	}
}

// maxLosses is the number of lost connections after which a request is not sent again:
// the request may be what ends the upstreams.
const maxLosses = 2

// finish makes the outcome of the last attempt that of the request.
func (p *passRun) finish(o outcome.Outcome, res *upstream.Result) outcome.Outcome {
	switch {
	case res.Class == upstream.OK, res.Class == upstream.Failed && res.Header != nil:
		o = outcome.Outcome{
			Kind: caller.OutcomeAnswered, Result: res.Body, ResultStatus: res.Status, Header: res.Header,
		}
	case res.Crashed:
		o = outcome.Unknown(outcome.CrashSuspected, "the upstream ended while it ran the request", comeBack)
	case p.tries.ran && o.Kind == caller.OutcomeNotRun:
		o = outcome.Unknown(o.Reason, o.Detail, o.RetryAfter)
	}
	o.Cost = p.tries.cost
	return o
}
