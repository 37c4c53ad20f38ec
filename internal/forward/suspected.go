package forward

import (
	"context"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/internal/poison"
	policy "github.com/sardinespindle/sardinespindle/internal/policy/poison"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
)

// checkSuspicion refuses a request of a caller that is known to end upstreams.
func (s *Server) checkSuspicion(q *request, p *upstream.PassThroughRequest) (o outcome.Outcome, refused bool) {
	if q.fingerprint == "" {
		q.fingerprint = fingerprint(p)
	}
	verdict, retryAfter := s.o.Poison.Check(q.fingerprint)
	q.suspected = verdict == policy.Ask
	if verdict != policy.Refuse {
		return outcome.Outcome{}, false
	}
	return suspectedNotRun(retryAfter), true
}

func suspectedNotRun(retryAfter time.Duration) outcome.Outcome {
	return outcome.NotRun(outcome.CrashSuspected, "requests like this one ended upstreams", retryAfter)
}

// recordReply records that upstreams replied to a request of a caller. The VMs that ran parts of it know only of those.
func (s *Server) recordReply(q *request, o *outcome.Outcome) {
	if o.Kind == caller.OutcomeAnswered || o.Coverage != nil && o.Coverage.ShardsCovered > 0 {
		s.o.Poison.RecordReply(q.poisonRequest())
	}
}

// run runs a request on this VM, unless it is suspected to end upstreams and may not run now.
func (s *Server) run(ctx context.Context, q *request, p *upstream.PassThroughRequest) outcome.Outcome {
	if q.fingerprint == "" {
		q.fingerprint = fingerprint(p)
	}
	admission := s.o.Poison.Admit(q.poisonRequest())
	if admission.Refused {
		return suspectedNotRun(admission.RetryAfter)
	}
	q.run, q.trial, q.suspects, q.trySuspects = admission.Run, admission.Trial, admission.Suspects, admission.TrySuspects
	o := s.dispatch(ctx, q, p)
	q.run.End(ctx)
	return o
}

func (q *request) poisonRequest() poison.Request {
	return poison.Request{Fingerprint: q.fingerprint, ID: q.id, Search: q.route.Sharded(), Slow: q.hedgeAfter()}
}
