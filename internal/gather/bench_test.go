package gather_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/gather"
	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/policy/answer"
	"github.com/sardinespindle/sardinespindle/internal/policy/snapshot"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/upstream"
)

var fanOuts = []int{20, 80, 320}

// instant is an upstream client that replies at once and keeps no state.
type instant struct {
	docs []gen.Document
}

func (instant) Pick(w *manifest.Workload, shard string, _ []string, _ bool) (fakeTicket, error) {
	return fakeTicket(w.Replicas[shard][0].Address), nil
}

func (i instant) Do(_ context.Context, t fakeTicket, a upstream.Attempt) upstream.Result {
	r := reply(a, v5, 1000, i.docs...)
	r.Address = string(t)
	return r
}

func (instant) LatencyQuantile(string, string) (time.Duration, bool) {
	return 10 * time.Millisecond, true
}

// BenchmarkGather measures whole searches; ns/subrequest is the time divided by the fan-out.
func BenchmarkGather(b *testing.B) {
	for _, n := range fanOuts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w := workload(map[int][]string{1: names("s", n)})
			up := instant{}
			for i := range 10 {
				up.docs = append(up.docs, gen.Document{Id: fmt.Sprint(i), Score: float64(-i)})
			}
			e := gather.New(gather.Options{Upstream: gather.Adapt(up)})
			s := search(w, complete, 0, time.Hour)
			b.ReportAllocs()
			for b.Loop() {
				if out := e.Search(context.Background(), s); !out.Coverage.Complete {
					b.Fatal(out)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/subrequest")
		})
	}
}

// BenchmarkDecide measures only the policy decisions of a search.
func BenchmarkDecide(b *testing.B) {
	for _, n := range fanOuts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				decideAll(n)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/subrequest")
		})
	}
}

func decideAll(n int) {
	ids := []snapshot.ID{{Index: 5, Map: 1}, {Index: 6, Map: 1}}
	_, _ = snapshot.Best(ids, func(snapshot.ID) (snapshot.Score, bool) {
		s := snapshot.Score{Total: n}
		for range n {
			s.Add(snapshot.Holds)
		}
		return s, true
	})
	for i := range n {
		answer.Decide(answer.State{Trade: partial, Total: n, Covered: i, Pending: n - i})
	}
}

func (i instant) PickPassThrough(w *manifest.Workload, _ string, exclude []string) (fakeTicket, time.Duration, error) {
	t, err := i.Pick(w, "", exclude, false)
	return t, 0, err
}
