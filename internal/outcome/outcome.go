// Package outcome holds the typed result of a caller's request. Outcomes are
// values: no part of the request path reports a refusal by panicking.
package outcome

import (
	"net/http"
	"time"

	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
)

// Reason says in one word why an outcome is not answered.
type Reason string

// Reasons of outcomes other than answered.
const (
	BadRequest       Reason = "bad_request"
	Unauthorized     Reason = "unauthorized"
	Forbidden        Reason = "forbidden"
	UnknownWorkload  Reason = "unknown_workload"
	TooLarge         Reason = "too_large"
	HeadTooLarge     Reason = "head_too_large"
	MissingKey       Reason = "missing_idempotency_key"
	BadKey           Reason = "bad_idempotency_key"
	KeyReused        Reason = "idempotency_key_reused"
	KeyExpired       Reason = "idempotency_key_expired"
	RateLimited      Reason = "rate_limited"
	Overloaded       Reason = "overloaded"
	NoManifest       Reason = "no_manifest"
	NoUpstream       Reason = "no_upstream"
	NoQuorum         Reason = "no_quorum"
	InProgress       Reason = "in_progress"
	ClaimHeld        Reason = "claim_held"
	CoverageTooLow   Reason = "coverage_too_low"
	CoverageUnknown  Reason = "coverage_unknown"
	DeadlineExceeded Reason = "deadline_exceeded"
	ConnectionLost   Reason = "connection_lost"
	CrashSuspected   Reason = "crash_suspected"
	UpstreamError    Reason = "upstream_error"
	Stopping         Reason = "stopping"
	Canceled         Reason = "canceled"
	OutcomeTooLarge  Reason = "outcome_too_large"
)

// Outcome is the final result of one request.
type Outcome struct {
	// Kind is one of answered, not_run, unknown and rejected.
	Kind caller.Outcome
	// Reason is empty where Kind is answered.
	Reason Reason
	// Detail explains the reason to a person.
	Detail string
	// RetryAfter says when to come back; 0 where coming back is of no use.
	RetryAfter time.Duration
	// Snapshot and Coverage belong to an answered search.
	Snapshot *caller.Snapshot
	Coverage *caller.Coverage
	// Documents found by a search, best first.
	Documents []caller.Document
	// Result is the upstream's reply to a request of a single workload.
	Result       []byte
	ResultStatus int
	// Header is the header of an upstream's reply that is passed through unchanged.
	Header http.Header
	// Signatures names the parts of an answer to a search that was passed through;
	// Result holds its records.
	Signatures []string
	// Replayed says that the result was recorded by an earlier attempt.
	Replayed bool
	// Cost is what the request cost the upstreams.
	Cost Cost
}

// Cost counts the attempts made for one request.
type Cost struct {
	// Sent counts attempts that reached an upstream.
	Sent int
	// Shed counts attempts that an upstream refused or that found no free replica.
	Shed int
}

// NotRun says that the request did not run and no attempt of it can still run.
func NotRun(r Reason, detail string, retryAfter time.Duration) Outcome {
	return Outcome{Kind: caller.OutcomeNotRun, Reason: r, Detail: detail, RetryAfter: retryAfter}
}

// Unknown says that the request may have run.
func Unknown(r Reason, detail string, retryAfter time.Duration) Outcome {
	return Outcome{Kind: caller.OutcomeUnknown, Reason: r, Detail: detail, RetryAfter: retryAfter}
}

// Rejected says that the request is not acceptable as it is.
func Rejected(r Reason, detail string) Outcome {
	return Outcome{Kind: caller.OutcomeRejected, Reason: r, Detail: detail}
}
