package gather_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/gather"
	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
	manifestgen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/upstream"
)

// fake is an upstream client in memory; serve holds the behaviour of each replica.
type fake struct {
	mu       sync.Mutex
	serve    map[string]func(ctx context.Context, a upstream.Attempt) upstream.Result
	sent     []string      // addresses in the order of sending
	quantile time.Duration // of the latency, as reported by LatencyQuantile; 0 if unknown
}

type fakeTicket string

func (t fakeTicket) Address() string { return string(t) }
func (fakeTicket) Cancel()           {}

var errNone = errors.New("no replica")

func (f *fake) Pick(w *manifest.Workload, shard string, exclude []string, _ bool) (fakeTicket, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range w.Replicas[shard] {
		if f.serve[u.Address] != nil && !slices.Contains(exclude, u.Address) {
			return fakeTicket(u.Address), nil
		}
	}
	return "", errNone
}

func (f *fake) Do(ctx context.Context, t fakeTicket, a upstream.Attempt) upstream.Result {
	f.mu.Lock()
	f.sent = append(f.sent, string(t))
	serve := f.serve[string(t)]
	f.mu.Unlock()
	r := serve(ctx, a)
	r.Address = string(t)
	return r
}

func (f *fake) LatencyQuantile(string, string) (time.Duration, bool) {
	return f.quantile, f.quantile > 0
}

func (f *fake) total() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.sent)
}

func (f *fake) count(address string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, a := range f.sent {
		if a == address {
			n++
		}
	}
	return n
}

// reply is a complete reply to a.
func reply(a upstream.Attempt, id gen.Snapshot, held int, docs ...gen.Document) upstream.Result {
	return upstream.Result{Class: upstream.OK, Status: 200, Reply: &gen.Reply{
		RequestId: a.RequestID, Shard: a.Shard, Snapshot: id, DocumentsHeld: held, Documents: docs,
	}}
}

// serving is a replica that serves the given snapshots, the newest last. It falls back to
// the newest where the attempt asks for none of them.
func serving(held int, ids ...gen.Snapshot) func(context.Context, upstream.Attempt) upstream.Result {
	return func(_ context.Context, a upstream.Attempt) upstream.Result {
		id := ids[len(ids)-1]
		if a.Snapshot != nil && slices.Contains(ids, *a.Snapshot) {
			id = *a.Snapshot
		}
		doc := gen.Document{Id: fmt.Sprintf("%s@%d.%d", a.Shard, id.Index, id.Map), Score: 1}
		return reply(a, id, held, doc)
	}
}

// hang is a replica that does not reply until the attempt is cancelled.
func hang(ctx context.Context, _ upstream.Attempt) upstream.Result {
	<-ctx.Done()
	return upstream.Result{Class: upstream.Canceled, Err: ctx.Err()}
}

// endsWith is a replica at which each attempt ends at once in class c.
func endsWith(c upstream.Class) func(context.Context, upstream.Attempt) upstream.Result {
	return func(context.Context, upstream.Attempt) upstream.Result {
		return upstream.Result{Class: c, Err: errNone}
	}
}

func address(shard string, replica int) string { return fmt.Sprintf("%s/%d", shard, replica) }

// workload has the given partition maps (shard names by version) and two replicas of each
// shard.
func workload(maps map[int][]string) *manifest.Workload {
	w := &manifest.Workload{
		Workload: manifestgen.Workload{Name: "parts", Kind: manifestgen.WorkloadKindSharded, Idempotent: true},
		Maps:     map[int]*manifest.PartitionMap{},
		Replicas: map[string][]*manifestgen.Upstream{},
	}
	for version, names := range maps {
		pm := &manifest.PartitionMap{ByName: map[string]*manifestgen.Shard{}}
		pm.Version = version
		for _, n := range names {
			pm.Shards = append(pm.Shards, manifestgen.Shard{Name: manifestgen.Name(n)})
			w.Replicas[n] = []*manifestgen.Upstream{{Address: address(n, 0)}, {Address: address(n, 1)}}
		}
		for i := range pm.Shards {
			pm.ByName[string(pm.Shards[i].Name)] = &pm.Shards[i]
		}
		w.Maps[version] = pm
		if w.NewestMap == nil || w.NewestMap.Version < version {
			w.NewestMap = pm
		}
	}
	return w
}

func names(prefix string, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("%s%d", prefix, i)
	}
	return out
}

func newFake(w *manifest.Workload, serve func(context.Context, upstream.Attempt) upstream.Result) *fake {
	f := &fake{serve: map[string]func(context.Context, upstream.Attempt) upstream.Result{}}
	for _, us := range w.Replicas {
		for _, u := range us {
			f.serve[u.Address] = serve
		}
	}
	return f
}

var searchCount int

func search(w *manifest.Workload, trade manifestgen.GrantTrade, minimum float64, deadline time.Duration) gather.Search {
	searchCount++
	return gather.Search{
		ID: fmt.Sprintf("search-%d", searchCount), Fingerprint: "fp", Workload: w,
		Grant: &manifestgen.Grant{Trade: trade, MinimumCoverage: minimum, HedgePercent: 100},
		Query: gen.Query{Query: "quill", Limit: 100}, Deadline: time.Now().Add(deadline),
	}
}

func (f *fake) PickPassThrough(w *manifest.Workload, _ string, exclude []string) (fakeTicket, time.Duration, error) {
	t, err := f.Pick(w, "", exclude, false)
	return t, 0, err
}
