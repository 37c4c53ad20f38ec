// Package upstream sends requests to upstreams: it picks a replica, keeps the
// connection budget, carries deadlines and cancellation, and classifies what came
// back. It never retries; whether another attempt is made is its caller's decision.
package upstream

import (
	"net/http"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/policy/forecast"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/upstream"
)

// Class says what became of one attempt.
type Class int

// Classes of attempts. Only the first says that a reply may be used.
const (
	// OK: a whole, well-formed reply to this very attempt arrived.
	OK Class = iota
	// Shed: the upstream refused before it ran anything.
	Shed
	// NotSent: no byte reached the upstream (no connection, local limit, lease expired).
	NotSent
	// Lost: the connection was lost after the first byte was written; the request may have run.
	Lost
	// TimedOut: the deadline passed after the first byte was written; the request may have run.
	TimedOut
	// Canceled: the attempt was cancelled by this VM after the first byte was written.
	Canceled
	// Garbled: the reply was cut short, malformed, or for another attempt; the request may have run.
	Garbled
	// Failed: the upstream replied with an error of its own; the request may have run.
	Failed
)

// MayHaveRun reports whether the upstream may have run the attempt.
func (c Class) MayHaveRun() bool { return c != Shed && c != NotSent }

// Kind says which interface of the upstream an attempt uses.
type Kind int

// Kinds of attempts.
const (
	// Search asks one shard for its part.
	Search Kind = iota
	// Single passes a body to a single workload.
	Single
	// Pass passes a caller's request through unchanged.
	Pass
)

// Attempt is one request to one upstream.
type Attempt struct {
	Kind      Kind
	Workload  string
	Shard     string // empty for Single
	RequestID string // unique for each attempt
	// Snapshot wanted; nil for the newest.
	Snapshot *gen.Snapshot
	Deadline time.Time
	Body     []byte
	// Pass is the request of kind Pass; the fields above that it holds itself are not used.
	Pass *Passed
	// Route names the kind of a passed request, whose usual time is learned.
	Route string
	// IdempotencyKey is passed on where set.
	IdempotencyKey string
	// Hedge marks an extra attempt, which never goes to a shedding or suspect replica.
	Hedge bool
	// Check is asked right before the first byte is written, where set; an error
	// stops the attempt, which is then NotSent. It must not block.
	Check func() error
}

// Result is what became of one attempt.
type Result struct {
	Class   Class
	Address string
	Status  int
	// Reply is set for a Search of class OK.
	Reply *gen.Reply
	// Body is set for a Single or Pass that got a reply.
	Body []byte
	// Header and Signature are set for a Pass that got a reply.
	Header    http.Header
	Signature string
	// RetryAfter as the upstream asked; 0 where it did not.
	RetryAfter time.Duration
	// Latency from picking the replica to the end of the reply.
	Latency time.Duration
	// Err explains every class but OK.
	Err error
	// Crashed says that a Pass was lost and that its upstream refuses connections since:
	// it has ended, where a loss alone may have other causes.
	Crashed bool

	load forecast.Load // reported with a reply to a Pass
}
