// Package gather runs one search over a sharded workload: it asks the policies,
// sends the sub-requests through its upstream interface and merges the parts of one
// snapshot into one outcome. Each search runs in its caller's goroutine, with one
// goroutine an attempt; what outlives a search is in sharded tables, each shard of
// which has its own lock. No lock is held while a sub-request is sent.
package gather

import (
	"context"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
	manifestgen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
	upstreamgen "github.com/sardinespindle/sardinespindle/schema/gen/upstream"
)

// Search is one caller's search.
type Search struct {
	// ID is unique for each search; ids of sub-requests start with it.
	ID string
	// Fingerprint is a hash of workload and body.
	Fingerprint string
	Workload    *manifest.Workload
	Grant       *manifestgen.Grant
	Caller      string
	Query       upstreamgen.Query
	Deadline    time.Time
	// Pass is set for a search whose request goes to each shard unchanged; Grant and
	// Query are then not used.
	Pass *Pass
}

// Ticket is a replica picked, with a slot taken.
type Ticket interface {
	Address() string
	Cancel()
}

// Upstream picks replicas and sends attempts.
type Upstream interface {
	Pick(w *manifest.Workload, shard string, exclude []string, hedge bool) (Ticket, error)
	// PickPassed picks a replica for a passed request of a kind, and tells when its reply
	// is expected.
	PickPassed(w *manifest.Workload, route string, exclude []string) (Ticket, time.Duration, error)
	Do(ctx context.Context, t Ticket, a upstream.Attempt) upstream.Result
	HedgeDelay(workload, shard string) (time.Duration, bool)
}

// Poison knows which requests crash upstreams.
type Poison interface {
	// Crashes reports whether requests with this fingerprint are refused.
	Crashes(fingerprint string) bool
	// Crashed reports that a connection was lost while a request ran.
	Crashed(fingerprint, requestID string)
}

// Client is an upstream client with a ticket type of its own.
type Client[T Ticket] interface {
	Pick(w *manifest.Workload, shard string, exclude []string, hedge bool) (T, error)
	PickPassed(w *manifest.Workload, route string, exclude []string) (T, time.Duration, error)
	Do(ctx context.Context, t T, a upstream.Attempt) upstream.Result
	HedgeDelay(workload, shard string) (time.Duration, bool)
}

// From makes an Upstream of a Client.
func From[T Ticket](c Client[T]) Upstream { return adapter[T]{c} }

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

func (a adapter[T]) PickPassed(w *manifest.Workload, route string, exclude []string) (Ticket, time.Duration, error) {
	t, expected, err := a.Client.PickPassed(w, route, exclude)
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
