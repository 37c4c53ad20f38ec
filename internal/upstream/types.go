// Package upstream sends requests to upstreams: it picks a replica, stays within this
// VM's share of connections, propagates deadlines and cancellation, and classifies the
// result. It never sends an attempt again after its first byte; hedges and retries are
// left to packages gather and single. A Client is safe for concurrent use; a Ticket
// serves one attempt.
package upstream

import (
	"net/http"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/policy/forecast"
	"github.com/sardinespindle/sardinespindle/internal/policy/poison"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/upstream"
)

// Class is the result of one attempt.
type Class int

// Classes of attempts. Only OK comes with a reply to use; Failed comes with the body of
// the upstream's error reply.
const (
	// OK: a complete, valid reply to this attempt arrived.
	OK Class = iota
	// Shed: the upstream, or another one at its address, replied that it ran nothing.
	Shed
	// NotSent: no byte was written (for example no connection, lease expired or BeforeWrite
	// failed).
	NotSent
	// Lost: the connection was lost after the first byte was written and before a byte of
	// the reply was read; the request may have run.
	Lost
	// TimedOut: the deadline passed after the first byte was written; the request may have run.
	TimedOut
	// Canceled: this VM cancelled the attempt after the first byte was written; the
	// request may have run.
	Canceled
	// InvalidReply: the reply was truncated, malformed, unsigned (PassThrough), or for another
	// attempt or shard; the request may have run.
	InvalidReply
	// Failed: the upstream replied with an error status; the request may have run.
	Failed
)

// MayHaveRun reports whether the upstream may have run the attempt.
func (c Class) MayHaveRun() bool { return c != Shed && c != NotSent }

// Kind is the kind of request that an attempt sends.
type Kind int

// Kinds of attempts.
const (
	// Search queries one shard.
	Search Kind = iota
	// Single sends a body to a workload that is not sharded.
	Single
	// PassThrough forwards a caller's request unchanged.
	PassThrough
)

// Attempt is one request to one upstream.
type Attempt struct {
	Kind      Kind
	Workload  string
	Shard     string // empty for Single
	RequestID string // unique for each attempt
	// Snapshot to search; nil for the newest.
	Snapshot *gen.Snapshot
	Deadline time.Time
	Body     []byte
	// PassThrough is the request of an attempt of kind PassThrough. Of the fields above, such
	// an attempt uses only Kind and Deadline.
	PassThrough *PassThroughRequest
	// MaxReplyBytes is the largest body of a reply; 0 for 8 MiB.
	MaxReplyBytes int64
	// Route groups pass-through requests of similar latency, which is estimated for each
	// route.
	Route string
	// IdempotencyKey is sent to the upstream if set, except with kind PassThrough.
	IdempotencyKey string
	// Hedge marks a hedge. Do ignores it, and Pick has an argument for it.
	Hedge bool
	// Watcher, if set, is told what becomes of the upstream.
	Watcher Watcher
	// BeforeWrite, if set, is called right before the first byte is written. An error ends
	// the attempt as NotSent. It must not block.
	BeforeWrite func() error

	takenAt time.Duration  // when a PassThrough was counted for its upstream: at the pick, then at the write
	watched WatchedAttempt // set by Watcher; nil before the first byte
	reused  bool           // its connection carried another request before
}

// Watcher watches the attempts of one request. Its method must not block.
type Watcher interface {
	// Sending is called before the first byte of an attempt is sent; shard is empty for a single service. It may
	// return nil.
	Sending(u poison.Upstream, shard string, now time.Duration) WatchedAttempt
}

// WatchedAttempt is an attempt that a Watcher watches. Its methods must not block.
type WatchedAttempt interface {
	// Sent is called after the attempt, if its connection was lost some time after, with what is known of the upstream.
	Sent(f poison.Fate, now time.Duration)
	// Gone is called when the upstream has ended, if its fate was unknown and it has replied to nothing since.
	Gone(now time.Duration)
}

// Result is the outcome of one attempt.
type Result struct {
	Class   Class
	Address string
	Status  int
	// Reply is set for a Search of class OK.
	Reply *gen.Reply
	// Body is set for a PassThrough that got a complete reply, for a Single of class OK and
	// for class Failed.
	Body []byte
	// Header is set for a PassThrough that got a complete reply, Signature only if its class
	// is OK.
	Header    http.Header
	Signature string
	// RetryAfter is the upstream's Retry-After; 0 if it sent none.
	RetryAfter time.Duration
	// Latency runs from picking the replica to the end of the attempt.
	Latency time.Duration
	// Err is set for every class but OK.
	Err error
	// Crashed says that a PassThrough was lost and that its upstream then refused a
	// connection, so the upstream's process has ended. A lost connection alone may have
	// other causes.
	Crashed bool

	load forecast.Load // reported with the reply to a PassThrough
}
