// Package single runs a request to a single workload. An idempotent request may be
// tried again at another upstream; any other wins its key's claim first and is
// written at most once. The hedge budgets are kept a workload apart, each under its
// own lock.
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
	"github.com/sardinespindle/sardinespindle/internal/policy/hedge"
	"github.com/sardinespindle/sardinespindle/internal/sharded"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
)

const (
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 4
	// recordTime bounds the storing of an outcome.
	recordTime = 2 * time.Second
	// comeBack is when to come back where nothing better is known.
	comeBack = time.Second
)

// errClaimEnded says that a claim ended before the request was written.
var errClaimEnded = errors.New("the claim on the key has ended")

// Request is one request of a caller.
type Request struct {
	// ID is unique for each request; ids of attempts start with it.
	ID string
	// Fingerprint is the hash of workload and body.
	Fingerprint string
	Workload    *manifest.Workload
	Caller      string
	Body        []byte
	// Key is the idempotency key, empty for none.
	Key string
	// HedgePercent is the share of extra attempts allowed, in percent.
	HedgePercent float64
	// First says that the caller marked the attempt as its first.
	First    bool
	Deadline time.Time
	// Pass is set for a request that goes to the upstream unchanged.
	Pass *Pass
}

// Claims wins idempotency keys.
type Claims interface {
	Claim(ctx context.Context, r claims.Request) claims.Decision
}

// maxWorkloads bounds the workloads whose hedge budget is kept.
const maxWorkloads = 4096

// Options configures a Runner.
type Options struct {
	Upstream gather.Upstream
	Claims   Claims
	Poison   gather.Poison
	// NoHedge turns hedging off.
	NoHedge bool
}

// Runner runs requests.
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
	if q.Pass != nil {
		return r.runPassed(ctx, q)
	}
	if q.Workload.Idempotent {
		return r.runIdempotent(ctx, q)
	}
	return r.runOnce(ctx, q)
}

func (r *Runner) runIdempotent(ctx context.Context, q Request) outcome.Outcome {
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	if r.o.Poison.Crashes(q.Fingerprint) {
		return outcome.Unknown(outcome.CrashSuspected, "requests like this one crashed upstreams", comeBack)
	}
	return r.attempts(ctx, q, nil)
}

// runOnce runs a request that is not idempotent. It goes on when the caller hangs
// up, so that a resend finds the outcome.
func (r *Runner) runOnce(ctx context.Context, q Request) outcome.Outcome {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), q.Deadline)
	defer cancel()
	d := r.claim(ctx, q)
	if d.Verdict != claims.Won {
		return refused(d, q.First)
	}
	o := r.runHeld(ctx, q, d.Hold)
	rctx, stop := context.WithTimeout(context.WithoutCancel(ctx), recordTime)
	defer stop()
	err := d.Hold.Record(rctx, o.Encode())
	if err != nil && o.Kind == caller.OutcomeNotRun {
		return outcome.Unknown(outcome.NoQuorum, "the refusal could not be recorded", comeBack)
	}
	return o
}

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

// runHeld runs a request whose key this VM holds. A refusal is final for the key,
// since it is recorded: the key never runs after it.
func (r *Runner) runHeld(ctx context.Context, q Request, h *claims.Hold) outcome.Outcome {
	if r.o.Poison.Crashes(q.Fingerprint) {
		return outcome.NotRun(outcome.CrashSuspected, "requests like this one crashed upstreams; the key is closed", comeBack)
	}
	return r.attempts(ctx, q, func() error {
		if !h.StillValid(clock.Boot()) {
			return errClaimEnded
		}
		return nil
	})
}

// attempts makes attempts until one may have run, where the request is not
// idempotent, or until one is answered, where it is. The check, where there is one,
// is asked right before the first byte of each.
func (r *Runner) attempts(ctx context.Context, q Request, check func() error) outcome.Outcome {
	tr := &tries{}
	last := outcome.NotRun(outcome.NoUpstream, "no upstream is eligible", comeBack)
	for range maxAttempts {
		if ctx.Err() != nil {
			break
		}
		t, err := r.o.Upstream.Pick(q.Workload, "", tr.excluded, false)
		if err != nil {
			tr.cost.Shed++
			break
		}
		res := r.attempt(ctx, q, t, tr, check)
		last = judge(res)
		if res.Class == upstream.OK || !r.again(q, res.Class) {
			break
		}
	}
	if tr.ran && last.Kind == caller.OutcomeNotRun {
		last = outcome.Unknown(last.Reason, last.Detail, last.RetryAfter)
	}
	last.Cost = tr.cost
	return last
}

// attempt makes one attempt, hedged where the request is idempotent.
func (r *Runner) attempt(ctx context.Context, q Request, t gather.Ticket, tr *tries, check func() error) upstream.Result {
	if q.Workload.Idempotent {
		return r.race(ctx, q, t, tr)
	}
	res := r.send(ctx, q, t, tr.next(t), check)
	tr.count(res)
	return res
}

// again reports whether another attempt may follow one of this class.
func (r *Runner) again(q Request, c upstream.Class) bool {
	switch c {
	case upstream.Shed, upstream.NotSent:
		return true
	case upstream.Lost:
		return q.Workload.Idempotent && !r.o.Poison.Crashes(q.Fingerprint)
	case upstream.Garbled, upstream.Failed:
		return q.Workload.Idempotent
	default:
		return false
	}
}

func (r *Runner) send(ctx context.Context, q Request, t gather.Ticket, try int, check func() error) upstream.Result {
	ctx, span := otel.Tracer("sardinespindle/single").Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	id := fmt.Sprintf("%s-%d", q.ID, try)
	res := r.o.Upstream.Do(ctx, t, upstream.Attempt{
		Kind:           upstream.Single,
		Workload:       string(q.Workload.Name),
		RequestID:      id,
		Deadline:       q.Deadline,
		Body:           q.Body,
		IdempotencyKey: q.Key,
		Check:          check,
	})
	span.SetAttributes(attribute.String("upstream", t.Address()), attribute.Int("class", int(res.Class)))
	if res.Class == upstream.Lost {
		r.o.Poison.Crashed(q.Fingerprint, id)
	}
	return res
}
