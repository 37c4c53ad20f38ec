// Package single runs a request to a workload that is not sharded. An idempotent request
// may be retried and hedged at other upstreams. Any other request is not retried once it
// may have run, and must win the claim on its idempotency key unless it is a pass-through
// request. A Runner may be used concurrently: a request shares with others only its
// workload's hedge budget, and the budgets are locked.
package single

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/sardinespindle/sardinespindle/internal/claims"
	"github.com/sardinespindle/sardinespindle/internal/clock"
	"github.com/sardinespindle/sardinespindle/internal/gather"
	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/internal/poison"
	"github.com/sardinespindle/sardinespindle/internal/policy/hedge"
	"github.com/sardinespindle/sardinespindle/internal/sharded"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
)

const (
	// maxAttempts bounds the attempts of one request, not counting hedges.
	maxAttempts = 4
	// recordTimeout bounds how long Run waits until the outcome is recorded.
	recordTimeout = 2 * time.Second
	// retryAfter is sent to the caller if neither upstream nor claim gave a time.
	retryAfter = time.Second
)

// errClaimEnded stops an attempt whose claim ended before the request was written.
var errClaimEnded = errors.New("the claim on the key has ended")

// Request is one request of a caller.
type Request struct {
	// ID is unique for each request; the ids of its attempts start with it.
	ID string
	// Fingerprint is the hash of workload and body.
	Fingerprint string
	Workload    *manifest.Workload
	Caller      string
	Body        []byte
	// Key is the idempotency key; empty for none.
	Key string
	// HedgePercent is the number of hedges allowed per 100 other attempts.
	HedgePercent float64
	// FirstAttempt is set if the caller states that it has not sent this request before.
	FirstAttempt bool
	Deadline     time.Time
	// Watcher watches the attempts; may be nil.
	Watcher upstream.Watcher
	// PassThrough is set for a request that goes to upstreams unchanged.
	PassThrough *PassThrough

	trial bool // the request may end its upstream: one attempt runs at most
}

// Claims claims idempotency keys, so that at most one VM runs the request of a key.
type Claims interface {
	Claim(ctx context.Context, r claims.Request) claims.Decision
}

// maxWorkloads bounds the number of hedge budgets, one for each workload.
const maxWorkloads = 4096

// Options configures a Runner.
type Options struct {
	Upstream gather.Upstream
	Claims   Claims
	Poison   gather.Poison
	NoHedge  bool
}

// Runner runs requests and keeps the hedge budget of each workload.
type Runner struct {
	o       Options
	budgets *sharded.Map[string, hedge.Bucket]
}

// New returns a Runner.
func New(o Options) *Runner {
	return &Runner{o: o, budgets: sharded.New[string, hedge.Bucket](maxWorkloads)}
}

// Run runs a request and returns its final outcome.
func (r *Runner) Run(ctx context.Context, q Request) outcome.Outcome {
	if q.PassThrough != nil {
		return r.runPassThrough(ctx, q)
	}
	if q.Workload.Idempotent {
		return r.runIdempotent(ctx, q)
	}
	return r.runOnce(ctx, q)
}

// runIdempotent runs a request that may run more than once.
func (r *Runner) runIdempotent(ctx context.Context, q Request) outcome.Outcome {
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	a := r.admit(&q)
	if a.Refused {
		return outcome.Unknown(outcome.CrashSuspected, "requests like this one crashed upstreams", retryAfter)
	}
	defer a.Run.End(ctx)
	return r.attempts(ctx, q, nil)
}

// runOnce runs a request that is not idempotent. It continues if the caller disconnects,
// so that a resend finds the recorded outcome.
func (r *Runner) runOnce(ctx context.Context, q Request) outcome.Outcome {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), q.Deadline)
	defer cancel()
	d := r.claim(ctx, q)
	if d.Verdict != claims.Won {
		return claimOutcome(d, q.FirstAttempt)
	}
	o := r.runClaimed(ctx, q, d.Hold)
	rctx, stop := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer stop()
	err := d.Hold.Record(rctx, o.Encode())
	if err != nil && o.Kind == caller.OutcomeNotRun {
		return outcome.Unknown(outcome.NoQuorum, "the refusal could not be recorded", retryAfter)
	}
	return o
}

// claim claims the request's key, which is qualified by the caller's name.
func (r *Runner) claim(ctx context.Context, q Request) claims.Decision {
	ctx, span := otel.Tracer("sardinespindle/single").Start(ctx, "claim")
	defer span.End()
	d := r.o.Claims.Claim(ctx, claims.Request{
		Key:         q.Caller + "/" + q.Key,
		Fingerprint: q.Fingerprint,
		Window:      q.Workload.ResendWindow(),
	})
	span.SetAttributes(attribute.String("verdict", d.Verdict.String()))
	return d
}

// runClaimed runs a request whose key this VM has claimed. An outcome "not run" is final,
// because runOnce records it for the key and no later attempt with that key runs.
func (r *Runner) runClaimed(ctx context.Context, q Request, h *claims.Hold) outcome.Outcome {
	a := r.admit(&q)
	if a.Refused {
		return outcome.NotRun(outcome.CrashSuspected, "requests like this one crashed upstreams; the key is closed", retryAfter)
	}
	defer a.Run.End(ctx)
	return r.attempts(ctx, q, func() error {
		if !h.StillValid(clock.Boot()) {
			return errClaimEnded
		}
		return nil
	})
}

// An idle upstream replies within the time of a request divided by slowDivisor.
const slowDivisor = 4

// admit decides whether a request may run, and has its run watch the attempts.
func (r *Runner) admit(q *Request) poison.Admission {
	a := r.o.Poison.Admit(poison.Request{Fingerprint: q.Fingerprint, ID: q.ID, Slow: time.Until(q.Deadline) / slowDivisor})
	q.Watcher, q.trial = a.Run, a.Trial
	return a
}

// attempts makes up to maxAttempts attempts, until one succeeds, ctx ends, no upstream can
// be picked, or no retry is allowed (see mayRetry). beforeWrite, unless it is nil, is
// called right before the first byte of an attempt is written; its error stops the attempt.
func (r *Runner) attempts(ctx context.Context, q Request, beforeWrite func() error) outcome.Outcome {
	state := &attemptState{}
	last := outcome.NotRun(outcome.NoUpstream, "no upstream is eligible", retryAfter)
	for range maxAttempts {
		if ctx.Err() != nil {
			break
		}
		t, err := r.o.Upstream.Pick(q.Workload, "", state.excluded, false)
		if err != nil {
			state.cost.Shed++ // a failed pick counts like an attempt that an upstream shed
			break
		}
		res := r.attempt(ctx, q, t, state, beforeWrite)
		last = attemptOutcome(res)
		if res.Class == upstream.OK || q.trial && res.Class.MayHaveRun() || !r.mayRetry(q, res.Class) {
			break
		}
	}
	if state.mayHaveRun && last.Kind == caller.OutcomeNotRun {
		last = outcome.Unknown(last.Reason, last.Detail, last.RetryAfter)
	}
	last.Cost = state.cost
	return last
}

// attempt makes one attempt, and may hedge it if the request is idempotent.
func (r *Runner) attempt(ctx context.Context, q Request, t gather.Ticket, state *attemptState, beforeWrite func() error) upstream.Result {
	if q.Workload.Idempotent && !q.trial {
		return r.sendHedged(ctx, q, t, state)
	}
	res := r.send(ctx, q, t, state.start(t), beforeWrite)
	state.recordResult(res)
	return res
}

// mayRetry reports whether a retry may follow an attempt of this class. A request that is
// not idempotent is retried only if the attempt can't have run.
func (r *Runner) mayRetry(q Request, c upstream.Class) bool {
	switch c {
	case upstream.Shed, upstream.NotSent:
		return true
	case upstream.Lost:
		return q.Workload.Idempotent && !r.o.Poison.Refused(q.Fingerprint)
	case upstream.InvalidReply, upstream.Failed:
		return q.Workload.Idempotent
	default:
		return false
	}
}

// send sends one attempt and reports a lost connection as a possible crash.
func (r *Runner) send(ctx context.Context, q Request, t gather.Ticket, number int, beforeWrite func() error) upstream.Result {
	ctx, span := otel.Tracer("sardinespindle/single").Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	id := fmt.Sprintf("%s-%d", q.ID, number)
	res := r.o.Upstream.Do(ctx, t, upstream.Attempt{
		Kind:           upstream.Single,
		Workload:       string(q.Workload.Name),
		RequestID:      id,
		Deadline:       q.Deadline,
		Body:           q.Body,
		IdempotencyKey: q.Key,
		Watcher:        q.Watcher,
		BeforeWrite:    beforeWrite,
	})
	span.SetAttributes(attribute.String("upstream", t.Address()), attribute.Int("class", int(res.Class)))
	if res.Class == upstream.Lost {
		r.o.Poison.RecordLoss(q.Fingerprint, id)
	}
	return res
}
