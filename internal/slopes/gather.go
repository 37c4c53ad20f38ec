package slopes

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/gather"
	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
	upstreamgen "github.com/sardinespindle/sardinespindle/schema/gen/upstream"
)

// GatherResult is the cost of searches without their I/O.
type GatherResult struct {
	FanOut   int `json:"fan_out"`
	Searches int `json:"searches"`
	// CPUMicros and Allocs are per sub-request.
	CPUMicros float64 `json:"cpu_us_per_subrequest"`
	Allocs    float64 `json:"allocations_per_subrequest"`
}

// Gather runs searches, each with fanOut sub-requests, against upstreams that reply
// at once.
func Gather(fanOut, searches int) (GatherResult, error) {
	head, texts, err := encodeManifest(1, gatherParts(fanOut))
	if err != nil {
		return GatherResult{}, err
	}
	m, err := manifest.NewBuilder().Build(head, texts)
	if err != nil {
		return GatherResult{}, err
	}
	e := gather.New(gather.Options{Upstream: gather.Adapt(instantClient{})})
	s := gather.Search{
		ID:       "s",
		Workload: m.Workloads["search"],
		Grant:    &gen.Grant{Workload: "search", DeadlineMs: 1000, Trade: gen.GrantTradePartial},
		Query:    upstreamgen.Query{Query: "jack", Limit: 10},
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu := cpuTime()
	for range searches {
		s.Deadline = time.Now().Add(time.Second)
		if o := e.Search(context.Background(), s); o.Coverage == nil || !o.Coverage.Complete {
			return GatherResult{}, fmt.Errorf("search of fan-out %d: %v", fanOut, o)
		}
	}
	runtime.ReadMemStats(&after)
	n := float64(searches * fanOut)
	return GatherResult{
		FanOut:    fanOut,
		Searches:  searches,
		CPUMicros: float64((cpuTime() - cpu).Microseconds()) / n,
		Allocs:    float64(after.Mallocs-before.Mallocs) / n,
	}, nil
}

func gatherParts(fanOut int) []gen.Part {
	p := workloadPart(fanOut)
	for i := range fanOut {
		p.Upstreams = append(p.Upstreams, exampleUpstream(i, fanOut))
	}
	return []gen.Part{p}
}

// instantClient is an upstream client whose attempts succeed at once, without I/O.
type instantClient struct{}

type instantTicket string

func (t instantTicket) Address() string { return string(t) }

func (instantTicket) Cancel() {}

func (instantClient) Pick(w *manifest.Workload, shard string, _ []string, _ bool) (instantTicket, error) {
	return instantTicket(w.Replicas[shard][0].Address), nil
}

func (instantClient) Do(_ context.Context, t instantTicket, a upstream.Attempt) upstream.Result {
	return upstream.Result{
		Class:   upstream.OK,
		Address: string(t),
		Reply: &upstreamgen.Reply{
			RequestId: a.RequestID, Shard: a.Shard,
			Snapshot:      upstreamgen.Snapshot{Index: 1, Map: 1},
			Documents:     []upstreamgen.Document{{Id: a.Shard, Score: 1}},
			DocumentsHeld: 10,
		},
	}
}

func (instantClient) LatencyQuantile(string, string) (time.Duration, bool) {
	return 10 * time.Millisecond, true
}

func (i instantClient) PickPassThrough(w *manifest.Workload, _ string, exclude []string) (instantTicket, time.Duration, error) {
	t, err := i.Pick(w, "", exclude, false)
	return t, 0, err
}
