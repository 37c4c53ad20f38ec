package gather_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/gather"
	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
	manifestgen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
)

// passed is a search over three shards of two replicas each, "SHARD-a" and "SHARD-b".
func passed(objective, most time.Duration) gather.Search {
	pm := &manifest.PartitionMap{ByName: map[string]*manifestgen.Shard{}}
	pm.Version = 1
	shards := map[string]*manifest.Workload{}
	for i := range 3 {
		name := fmt.Sprintf("s%d", i)
		pm.Shards = append(pm.Shards, manifestgen.Shard{Name: manifestgen.Name(name)})
		var us []*manifestgen.Upstream
		for _, r := range []string{"a", "b"} {
			us = append(us, &manifestgen.Upstream{Address: name + "-" + r})
		}
		shards[name] = &manifest.Workload{
			Workload: manifestgen.Workload{Name: manifestgen.Name(name)},
			Replicas: map[string][]*manifestgen.Upstream{"": us},
		}
	}
	for i := range pm.Shards {
		pm.ByName[string(pm.Shards[i].Name)] = &pm.Shards[i]
	}
	now := time.Now()
	return gather.Search{
		ID: "id", Deadline: now.Add(most),
		Workload: &manifest.Workload{
			Workload: manifestgen.Workload{Name: "find"}, Newest: pm, Maps: map[int]*manifest.PartitionMap{1: pm},
		},
		Pass: &gather.Pass{
			Request: &upstream.Passed{ID: "id"}, Shards: shards, Top: 5, Minimum: 1, Attempts: 2,
			AnswerAt: now.Add(objective), GiveUpAt: now.Add(most), HedgeAfter: most,
			Repeat: func(string, bool) bool { return true },
		},
	}
}

func part(context.Context, upstream.Attempt) upstream.Result {
	return upstream.Result{Class: upstream.OK, Signature: "s", Body: []byte("0123456789abcdef")}
}

var _ = Describe("A passed search", func() {
	var f *fake
	BeforeEach(func() {
		f = &fake{serve: map[string]func(context.Context, upstream.Attempt) upstream.Result{}}
		for i := range 3 {
			f.serve[fmt.Sprintf("s%d-a", i)], f.serve[fmt.Sprintf("s%d-b", i)] = part, part
		}
	})
	run := func(s gather.Search) outcome.Outcome {
		return gather.New(gather.Options{Upstream: gather.From(f)}).Search(context.Background(), s)
	}

	It("is refused at once, with a time to come back, where no replica can be asked", func() {
		delete(f.serve, "s1-a")
		delete(f.serve, "s1-b")
		o := run(passed(50*time.Millisecond, 2*time.Second))
		Expect(o.Kind).To(Equal(caller.OutcomeNotRun))
		Expect(o.RetryAfter).To(BeNumerically(">", 0))
		Expect(o.RetryAfter).To(BeNumerically("<", 2*time.Second))
		Expect(o.Detail).To(ContainSubstring("no_replica:1"))
		Expect(f.total()).To(BeZero())
	})

	// The load: a fleet that starts at once finds upstreams full of connections that it left
	// behind, and its budget is spent.
	It("asks another replica for nothing where the first was not reached", func() {
		for i := range 3 {
			f.serve[fmt.Sprintf("s%d-a", i)] = func(context.Context, upstream.Attempt) upstream.Result {
				return upstream.Result{Class: upstream.NotSent, Err: errNone}
			}
		}
		s := passed(time.Second, 2*time.Second)
		s.Pass.Repeat = func(string, bool) bool { return false }
		Expect(run(s).Kind).To(Equal(caller.OutcomeAnswered))
	})

	It("says that a search which another VM may have sent has no budget left", func() {
		s := passed(time.Second, 2*time.Second)
		s.Pass.Resent, s.Pass.Repeat = true, func(string, bool) bool { return false }
		Expect(run(s).Detail).To(ContainSubstring("no_budget:3"))
	})

	It("repeats lost replies, but not of a request that ends its upstreams", func() {
		lost := func(crashed bool) func(context.Context, upstream.Attempt) upstream.Result {
			return func(context.Context, upstream.Attempt) upstream.Result {
				return upstream.Result{Class: upstream.Lost, Crashed: crashed, Err: errNone}
			}
		}
		for i := range 3 {
			f.serve[fmt.Sprintf("s%d-a", i)] = lost(false)
		}
		Expect(run(passed(time.Second, 2*time.Second)).Kind).To(Equal(caller.OutcomeAnswered))
		for i := range 3 {
			f.serve[fmt.Sprintf("s%d-a", i)] = lost(true)
		}
		sent := f.total()
		o := run(passed(time.Second, 2*time.Second))
		Expect(o.Reason).To(Equal(outcome.CrashSuspected))
		Expect(f.total() - sent).To(Equal(3))
	})
})
