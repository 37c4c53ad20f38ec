package single

import (
	"github.com/sardinespindle/sardinespindle/internal/claims"
	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
)

// attemptOutcome returns the outcome of a request that made only this attempt.
func attemptOutcome(res upstream.Result) outcome.Outcome {
	after := res.RetryAfter
	if after == 0 {
		after = retryAfter
	}
	detail := ""
	if res.Err != nil {
		detail = res.Err.Error()
	}
	switch res.Class {
	case upstream.OK:
		return outcome.Outcome{Kind: caller.OutcomeAnswered, Result: res.Body, ResultStatus: res.Status}
	case upstream.Shed:
		return outcome.NotRun(outcome.Overloaded, detail, after)
	case upstream.NotSent:
		return outcome.NotRun(outcome.NoUpstream, detail, after)
	case upstream.Lost:
		return outcome.Unknown(outcome.ConnectionLost, detail, after)
	case upstream.TimedOut:
		return outcome.Unknown(outcome.DeadlineExceeded, detail, after)
	case upstream.Canceled:
		return outcome.Unknown(outcome.Canceled, detail, after)
	default:
		return outcome.Unknown(outcome.UpstreamError, detail, after)
	}
}

// claimOutcome returns the outcome of a request whose claim was not won. First is
// Request.FirstAttempt.
func claimOutcome(d claims.Decision, first bool) outcome.Outcome {
	switch d.Verdict {
	case claims.Recorded:
		return recordedOutcome(d)
	case claims.Mismatch:
		return outcome.Rejected(outcome.KeyReused, d.Detail)
	case claims.Malformed, claims.Future:
		return outcome.Rejected(outcome.BadKey, d.Detail)
	case claims.Expired:
		return outcome.Unknown(outcome.KeyExpired, d.Detail, 0)
	}
	reason := outcome.NoQuorum
	if d.Verdict == claims.InProgress {
		reason = outcome.InProgress
	}
	after := d.RetryAfter
	if after == 0 {
		after = retryAfter
	}
	if d.NotRun(first) {
		return outcome.NotRun(reason, d.Detail, after)
	}
	return outcome.Unknown(reason, d.Detail, after)
}

// recordedOutcome returns the outcome that an earlier attempt with the key recorded.
func recordedOutcome(d claims.Decision) outcome.Outcome {
	if d.Outcome == "" {
		return outcome.Unknown(outcome.OutcomeTooLarge, "the request ran; its outcome was too large to keep", 0)
	}
	o, err := outcome.Decode(d.Outcome)
	if err != nil {
		return outcome.Unknown(outcome.UpstreamError, err.Error(), 0)
	}
	return o
}
