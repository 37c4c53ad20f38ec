// Package gather runs searches over sharded workloads: it sends a sub-request to each
// shard as the policies decide and merges the parts of one snapshot into one outcome.
// An Engine is safe for concurrent use and Search returns by the deadline. A search runs
// in the calling goroutine, with one more per attempt and per loss report. Searches share
// state in sharded maps; none of their locks is held while a sub-request is sent.
package gather

import (
	"context"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/poison"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
	manifestgen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
	upstreamgen "github.com/sardinespindle/sardinespindle/schema/gen/upstream"
)

// Search is one caller's search.
type Search struct {
	// ID is unique for each search; the request ids of its attempts start with it.
	ID string
	// Fingerprint is a hash of workload and body.
	Fingerprint string
	Workload    *manifest.Workload
	Grant       *manifestgen.Grant
	Caller      string
	Query       upstreamgen.Query
	Deadline    time.Time
	// Watcher watches the attempts; may be nil.
	Watcher upstream.Watcher
	// Trial means that the request may end the upstreams that run it: it is sent to one shard, to one replica, and
	// to the others once that has replied. A pass-through search without a reply at AnswerAt fails.
	Trial bool
	// PassThrough is set for a pass-through search, which does not use Grant and Query.
	PassThrough *PassThrough
}

// Ticket is a slot reserved at a picked replica; Cancel frees it unused.
type Ticket interface {
	Address() string
	Cancel()
}

// Upstream picks replicas and sends attempts.
type Upstream interface {
	Pick(w *manifest.Workload, shard string, exclude []string, hedge bool) (Ticket, error)
	// PickPassThrough picks a replica for a pass-through request of a route, and returns the
	// expected time to its reply.
	PickPassThrough(w *manifest.Workload, route string, exclude []string) (Ticket, time.Duration, error)
	Do(ctx context.Context, t Ticket, a upstream.Attempt) upstream.Result
	// LatencyQuantile returns a high quantile of the shard's latency; false where not known.
	LatencyQuantile(workload, shard string) (time.Duration, bool)
}

// Poison tracks requests that are suspected to crash upstreams.
type Poison interface {
	// Admit decides whether a request may run; the caller ends the run that it returns.
	Admit(q poison.Request) poison.Admission
	// Refused reports whether a request must not be retried. If not, the retry counts as another run.
	Refused(fingerprint string) bool
	// RecordLoss records that a connection was lost while the request ran.
	RecordLoss(fingerprint, requestID string)
}

// Client is an Upstream with its own ticket type; Adapt adapts it.
type Client[T Ticket] interface {
	Pick(w *manifest.Workload, shard string, exclude []string, hedge bool) (T, error)
	PickPassThrough(w *manifest.Workload, route string, exclude []string) (T, time.Duration, error)
	Do(ctx context.Context, t T, a upstream.Attempt) upstream.Result
	LatencyQuantile(workload, shard string) (time.Duration, bool)
}

// Adapt adapts a Client to an Upstream. Do panics on a ticket of another type than T.
func Adapt[T Ticket](c Client[T]) Upstream { return adapter[T]{c} }

type adapter[T Ticket] struct {
	Client[T]
}

func (a adapter[T]) Pick(w *manifest.Workload, shard string, exclude []string, hedge bool) (Ticket, error) {
	t, err := a.Client.Pick(w, shard, exclude, hedge)
	if err != nil {
		return nil, err
	}
	return t, nil
}

func (a adapter[T]) PickPassThrough(w *manifest.Workload, route string, exclude []string) (Ticket, time.Duration, error) {
	t, expected, err := a.Client.PickPassThrough(w, route, exclude)
	if err != nil {
		return nil, 0, err
	}
	return t, expected, nil
}

func (a adapter[T]) Do(ctx context.Context, t Ticket, at upstream.Attempt) upstream.Result {
	own, ok := t.(T)
	if !ok {
		panic("gather: ticket of another client")
	}
	return a.Client.Do(ctx, own, at)
}
