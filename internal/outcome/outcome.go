// Package outcome defines the typed result of a caller's request, and its encoding for
// the caller and for the record of an idempotency key. Every failure on the request path is
// returned as an Outcome, not raised as a panic. Outcomes are plain values without locks.
package outcome

import (
	"net/http"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/policy/takeover"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
)

// Reason is the code that tells callers why their request is not answered.
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
	Unreachable      Reason = "upstreams_unreachable" // this VM reaches no upstream; others may
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
	InternalError    Reason = "internal_error" // a fault of this VM, which the log describes
)

// Outcome is the final result of one request.
type Outcome struct {
	Kind caller.Outcome
	// Reason is empty where Kind is answered.
	Reason Reason
	// Detail explains Reason to a person. In an incomplete answer to a pass-through search,
	// it counts the causes of missing parts.
	Detail string
	// RetryAfter is how long to wait before a resend; 0 where a resend is of no use.
	RetryAfter time.Duration
	// Snapshot and Coverage are set for searches only.
	Snapshot *caller.Snapshot
	Coverage *caller.Coverage
	// Documents are what a search found, best first.
	Documents []caller.Document
	// Result and ResultStatus are the body and status of the upstream's reply to a
	// request of a single workload; for a pass-through search, Result holds the merged
	// records.
	Result       []byte
	ResultStatus int
	// Header is set where an upstream's reply is passed through unchanged.
	Header http.Header
	// Signatures are the signatures of the replies merged into the answer to a pass-through
	// search.
	Signatures []string
	// Replayed means that an earlier request with the same idempotency key recorded the
	// outcome.
	Replayed bool
	// MaybeSent is set for a pass-through search with reason Unreachable: the replicas that it may
	// have been sent to.
	MaybeSent takeover.Record
	Cost      Cost
}

// Cost counts the attempts made for one request.
type Cost struct {
	// Sent counts attempts that reached an upstream or may have.
	Sent int
	// Shed counts attempts that an upstream shed, or for which no replica had a free slot.
	Shed int
}

// NotRun returns the outcome of a request that did not run and of which no attempt can
// still run.
func NotRun(r Reason, detail string, retryAfter time.Duration) Outcome {
	return Outcome{Kind: caller.OutcomeNotRun, Reason: r, Detail: detail, RetryAfter: retryAfter}
}

// Unknown returns the outcome of a request that may have run.
func Unknown(r Reason, detail string, retryAfter time.Duration) Outcome {
	return Outcome{Kind: caller.OutcomeUnknown, Reason: r, Detail: detail, RetryAfter: retryAfter}
}

// Rejected returns the outcome of a request that is invalid or not permitted.
func Rejected(r Reason, detail string) Outcome {
	return Outcome{Kind: caller.OutcomeRejected, Reason: r, Detail: detail}
}
