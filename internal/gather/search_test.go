package gather_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/gather"
	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
	manifestgen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/upstream"
)

var v5 = gen.Snapshot{Index: 5, Map: 1}

const (
	partial  = manifestgen.GrantTradePartial
	fuller   = manifestgen.GrantTradeFuller
	complete = manifestgen.GrantTradeComplete
)

var _ = Describe("Search", func() {
	run := func(f *fake, s gather.Search) outcome.Outcome {
		return gather.New(gather.Options{Upstream: gather.Adapt(f)}).Search(context.Background(), s)
	}

	It("answers with every shard of one snapshot", func() {
		w := workload(map[int][]string{1: names("s", 20)})
		out := run(newFake(w, serving(7, v5)), search(w, partial, 0, time.Second))
		Expect(out.Kind).To(Equal(caller.OutcomeAnswered))
		Expect(out.Coverage.Complete).To(BeTrue())
		Expect(*out.Coverage.DocumentsTotal).To(Equal(140))
		Expect(out.Documents).To(HaveLen(20))
		Expect(*out.Snapshot).To(Equal(caller.Snapshot{Index: 5, Map: 1}))
	})

	It("answers partially before the deadline and names the missing shard", func() {
		fakeTime(func(g Gomega) {
			w := workload(map[int][]string{1: names("s", 4)})
			f := newFake(w, serving(7, v5))
			f.serve[address("s2", 0)], f.serve[address("s2", 1)] = hang, hang
			start := time.Now()
			out := run(f, search(w, partial, 0, 100*time.Millisecond))
			g.Expect(time.Since(start)).To(BeNumerically("<", 100*time.Millisecond))
			g.Expect(out.Kind).To(Equal(caller.OutcomeAnswered))
			g.Expect(out.Coverage.Missing).To(Equal([]string{"s2"}))
			g.Expect(out.Coverage.Complete).To(BeFalse())
		})
	})

	It("fails a search for a complete answer as soon as one shard cannot be covered", func() {
		fakeTime(func(g Gomega) {
			w := workload(map[int][]string{1: names("s", 4)})
			f := newFake(w, serving(7, v5))
			f.serve[address("s2", 0)], f.serve[address("s2", 1)] = endsWith(upstream.Failed), endsWith(upstream.Failed)
			start := time.Now()
			out := run(f, search(w, complete, 0, 10*time.Second))
			g.Expect(time.Since(start)).To(BeNumerically("<", 100*time.Millisecond))
			g.Expect(out.Reason).To(Equal(outcome.CoverageTooLow))
			g.Expect(out.Coverage.ShardsCovered).To(Equal(3))
		})
	})

	It("is not_run when no replica can be picked, and unknown when every attempt failed", func() {
		w := workload(map[int][]string{1: names("s", 4)})
		f := newFake(w, nil)
		out := run(f, search(w, partial, 0, time.Second))
		Expect(out.Kind).To(Equal(caller.OutcomeNotRun))
		Expect(out.RetryAfter).To(BeNumerically(">", 0))
		out = run(newFake(w, endsWith(upstream.Failed)), search(w, partial, 0, time.Second))
		Expect(out.Kind).To(Equal(caller.OutcomeUnknown))
	})
})
