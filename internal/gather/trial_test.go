package gather_test

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/gather"
	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
)

// A search that is suspected to end upstreams was sent to all shards at once, and ended one of each.
var _ = Describe("A pass-through search on trial", func() {
	const objective = 200 * time.Millisecond
	var f *fake
	var first, served atomic.Int32
	// serve has all replicas serve the first attempt by one function, and the others by another.
	serve := func(firstBy, othersBy func(context.Context, upstream.Attempt) upstream.Result) {
		f = &fake{serve: map[string]func(context.Context, upstream.Attempt) upstream.Result{}}
		first.Store(0)
		served.Store(0)
		for _, replica := range []string{"s0-a", "s0-b", "s1-a", "s1-b", "s2-a", "s2-b"} {
			f.serve[replica] = func(ctx context.Context, a upstream.Attempt) upstream.Result {
				if first.Add(1) == 1 {
					return firstBy(ctx, a)
				}
				return othersBy(ctx, a)
			}
		}
	}
	run := func() outcome.Outcome {
		s := passThroughSearch(objective, time.Second)
		s.Trial, s.PassThrough.HedgeAfter = true, 20*time.Millisecond
		return gather.New(gather.Options{Upstream: gather.Adapt(f)}).Search(context.Background(), s)
	}
	result := func(r upstream.Result) func(context.Context, upstream.Attempt) upstream.Result {
		return func(context.Context, upstream.Attempt) upstream.Result { return r }
	}
	silent := func(ctx context.Context, _ upstream.Attempt) upstream.Result {
		<-ctx.Done()
		return upstream.Result{Class: upstream.Canceled, Err: ctx.Err()}
	}

	It("asks one shard, and the others once that has replied", func() {
		replied := atomic.Bool{}
		serve(func(ctx context.Context, a upstream.Attempt) upstream.Result {
			time.Sleep(30 * time.Millisecond)
			Expect(f.total()).To(Equal(1))
			replied.Store(true)
			return replyPart(ctx, a)
		}, func(ctx context.Context, a upstream.Attempt) upstream.Result {
			Expect(replied.Load()).To(BeTrue())
			return replyPart(ctx, a)
		})
		o := run()
		Expect(o.Kind).To(Equal(caller.OutcomeAnswered))
		Expect(o.Coverage.Complete).To(BeTrue())
		Expect(f.total()).To(Equal(3))
	})

	DescribeTable("asks no other if the first does not reply", func(by func(context.Context, upstream.Attempt) upstream.Result, latest time.Duration) {
		serve(by, replyPart)
		start := time.Now()
		o := run()
		Expect(o.Reason).To(Equal(outcome.CrashSuspected))
		Expect(o.Kind).To(Equal(caller.OutcomeUnknown))
		Expect(f.total()).To(Equal(1))
		Expect(time.Since(start)).To(BeNumerically("<", latest))
	},
		Entry("since its connection is lost", result(upstream.Result{Class: upstream.Lost, Err: errNone}), objective/2),
		Entry("since its upstream has ended", result(upstream.Result{Class: upstream.Lost, Crashed: true, Err: errNone}), objective/2),
		Entry("in time", silent, objective+100*time.Millisecond),
	)

	DescribeTable("goes on if the first does not run it, or fails it", func(class upstream.Class) {
		serve(result(upstream.Result{Class: class, Status: 500, Err: errNone}), replyPart)
		Expect(run().Kind).To(Equal(caller.OutcomeAnswered))
	},
		Entry("shed", upstream.Shed), Entry("not sent", upstream.NotSent), Entry("failed", upstream.Failed),
	)

	// Some shards' upstreams ended each time, and the search was answered without them.
	DescribeTable("of some shards asks the others at once", func(try bool, by func(context.Context, upstream.Attempt) upstream.Result, sent, covered int) {
		serve(replyPart, replyPart)
		for _, replica := range []string{"s0-a", "s0-b", "s1-a", "s1-b"} {
			f.serve[replica] = by
		}
		s := passThroughSearch(objective, time.Second)
		s.PassThrough.Suspects, s.PassThrough.TrySuspects, s.PassThrough.MinimumShare = []string{"s0", "s1"}, try, 0.3
		o := gather.New(gather.Options{Upstream: gather.Adapt(f)}).Search(context.Background(), s)
		Expect(o.Kind).To(Equal(caller.OutcomeAnswered))
		Expect(o.Coverage.ShardsCovered).To(Equal(covered))
		Expect(f.total()).To(Equal(sent))
	},
		Entry("and none of those, without a permission", false, replyPart, 1, 1),
		Entry("and those in turn, with one", true, replyPart, 3, 3),
		Entry("and one of those, if it ends its upstream", true, result(upstream.Result{Class: upstream.Lost, Crashed: true, Err: errNone}), 2, 1),
		Entry("and one of those, if it falls silent", true, silent, 2, 1),
	)

	It("is not run if no shard takes it", func() {
		shed := result(upstream.Result{Class: upstream.Shed, Status: 503, Err: errNone})
		serve(shed, shed)
		o := run()
		Expect(o.Kind).To(Equal(caller.OutcomeNotRun), "%+v", o)
		Expect(o.Reason).NotTo(Equal(outcome.CrashSuspected))
	})
})
