package gather_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/sardinespindle/sardinespindle/internal/gather"
	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/internal/poison"
	"github.com/sardinespindle/sardinespindle/internal/policy/retry"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/upstream"
)

// fakePoison refuses requests after limit lost connections. Each call blocks for delay.
type fakePoison struct {
	limit, losses atomic.Int64
	delay         time.Duration
	trial         bool // requests that are admitted are on trial
}

func (p *fakePoison) Admit(q poison.Request) poison.Admission {
	return poison.Admission{Refused: p.Refused(q.Fingerprint), Trial: p.trial}
}

func (p *fakePoison) Refused(string) bool {
	time.Sleep(p.delay)
	return p.losses.Load() >= p.limit.Load()
}

func (p *fakePoison) RecordLoss(string, string) {
	time.Sleep(p.delay)
	p.losses.Add(1)
}

var _ = Describe("Search with failing replicas", func() {
	v6 := gen.Snapshot{Index: 6, Map: 1}
	ctx := context.Background()
	engine := func(f *fake, p gather.Poison) *gather.Engine {
		return gather.New(gather.Options{Upstream: gather.Adapt(f), Poison: p})
	}

	It("hedges a slow shard once and cancels the slower attempt", func() {
		fakeTime(func(g Gomega) {
			w := workload(map[int][]string{1: names("s", 10)})
			f := newFake(w, serving(7, v5))
			f.quantile = 2 * time.Millisecond
			var cancelled atomic.Bool
			f.serve[address("s3", 0)] = func(ctx context.Context, a upstream.Attempt) upstream.Result {
				defer cancelled.Store(true)
				return hang(ctx, a)
			}
			out := engine(f, nil).Search(ctx, search(w, complete, 0, 5*time.Second))
			g.Expect(out.Kind).To(Equal(caller.OutcomeAnswered))
			synctest.Wait()
			g.Expect(cancelled.Load()).To(BeTrue())
			g.Expect(f.count(address("s3", 1))).To(Equal(1))
			g.Expect(f.total()).To(Equal(11))
		})
	})

	It("hedges a slow shard of unknown latency by the latency of the other shards", func() {
		fakeTime(func(g Gomega) {
			w := workload(map[int][]string{1: names("s", 10)})
			f := newFake(w, serving(7, v5))
			f.serve[address("s3", 0)] = hang
			out := engine(f, nil).Search(ctx, search(w, complete, 0, 5*time.Second))
			g.Expect(out.Kind).To(Equal(caller.OutcomeAnswered))
			g.Expect(f.total()).To(Equal(11))
		})
	})

	It("leaks no goroutine when the deadline passes", func() {
		before := goleak.IgnoreCurrent()
		w := workload(map[int][]string{1: names("s", 10)})
		out := engine(newFake(w, hang), nil).Search(ctx, search(w, complete, 0, 50*time.Millisecond))
		Expect(out.Reason).To(Equal(outcome.DeadlineExceeded))
		Expect(goleak.Find(before)).To(Succeed())
	})

	It("sends at most one retry and no hedge after a connection was lost", func() {
		// Fake time: on a busy machine, hedges would come due before the first loss is seen.
		fakeTime(func(g Gomega) {
			w := workload(map[int][]string{1: names("s", 10)})
			f := newFake(w, endsWith(upstream.Lost))
			f.quantile = time.Millisecond
			out := engine(f, nil).Search(ctx, search(w, partial, 0, time.Second))
			g.Expect(out.Kind).To(Equal(caller.OutcomeUnknown))
			g.Expect(out.Reason).To(Equal(outcome.ConnectionLost))
			g.Expect(f.total()).To(BeNumerically("<=", 11))
		})
	})

	It("stops sending a request that crashes upstreams once two connections were lost", func() {
		w := workload(map[int][]string{1: {"s0"}})
		p := &fakePoison{}
		p.limit.Store(2)
		f := newFake(w, endsWith(upstream.Lost))
		e := engine(f, p)
		for range 3 {
			out := e.Search(ctx, search(w, fuller, 0, time.Second))
			Expect(out.Reason).To(Equal(outcome.CrashSuspected))
			Expect(out.Kind).To(Equal(caller.OutcomeUnknown))
			Expect(out.RetryAfter).To(BeNumerically(">", 0))
		}
		Expect(f.total()).To(Equal(2))
	})

	// A permitted search ended one upstream of each shard once more.
	It("asks one shard of a search on trial, and the others once that has replied", func() {
		w := workload(map[int][]string{1: names("s", 10)})
		trial := &fakePoison{trial: true}
		trial.limit.Store(2)
		f := newFake(w, serving(7, v5))
		out := engine(f, trial).Search(ctx, search(w, complete, 0, time.Second))
		Expect(out.Kind).To(Equal(caller.OutcomeAnswered))
		Expect(out.Coverage.Complete).To(BeTrue())
		for _, class := range []upstream.Class{upstream.Lost, upstream.TimedOut} {
			f = newFake(w, endsWith(class))
			out = engine(f, trial).Search(ctx, search(w, partial, 0, time.Second))
			Expect(out.Kind).To(Equal(caller.OutcomeUnknown))
			Expect(f.total()).To(Equal(1), "class %v", class)
		}
	})

	It("goes on with a search on trial if an upstream does not run it", func() {
		w := workload(map[int][]string{1: names("s", 3)})
		trial := &fakePoison{trial: true}
		trial.limit.Store(2)
		f := newFake(w, serving(7, v5))
		f.serve[address("s0", 0)] = endsWith(upstream.Shed)
		Expect(engine(f, trial).Search(ctx, search(w, complete, 0, time.Second)).Kind).To(Equal(caller.OutcomeAnswered))
	})

	It("retries a lost sub-request if the fleet permits it, and answers without its shard if not", func() {
		w := workload(map[int][]string{1: names("s", 5)})
		f := newFake(w, serving(7, v5))
		f.serve[address("s1", 0)] = endsWith(upstream.Lost)
		for limit, missing := range map[int64][]string{1: {"s1"}, 2: {}} {
			p := &fakePoison{delay: 20 * time.Millisecond}
			p.limit.Store(limit)
			out := engine(f, p).Search(ctx, search(w, partial, 0, time.Second))
			Expect(out.Kind).To(Equal(caller.OutcomeAnswered))
			Expect(out.Coverage.Missing).To(Equal(missing))
			Expect(p.losses.Load()).To(Equal(int64(1)))
		}
	})

	It("keeps retries within their budget while every upstream sheds", func() {
		w := workload(map[int][]string{1: names("s", 20)})
		f := newFake(w, endsWith(upstream.Shed))
		e := engine(f, nil)
		const searches = 50
		for range searches {
			out := e.Search(ctx, search(w, partial, 0, time.Second))
			Expect(out.Kind).To(Equal(caller.OutcomeNotRun))
			Expect(out.Reason).To(Equal(outcome.Overloaded))
		}
		Expect(f.total()).To(BeNumerically("<=", searches*20+int(retry.RetryBudget.Burst)))
	})

	It("answers with the newer index version while one replica serves an older one", func() {
		w := workload(map[int][]string{1: names("s", 5)})
		f := newFake(w, serving(7, v6))
		f.serve[address("s1", 0)] = serving(7, v5)
		e := engine(f, nil)
		for range 10 {
			out := e.Search(ctx, search(w, complete, 0, time.Second))
			Expect(out.Kind).To(Equal(caller.OutcomeAnswered))
			Expect(out.Snapshot.Index).To(Equal(6))
		}
	})

	It("does not count a shard as covered by the empty reply of a cold replica", func() {
		w := workload(map[int][]string{1: names("s", 5)})
		f := newFake(w, serving(7, v5))
		f.serve[address("s1", 0)] = func(_ context.Context, a upstream.Attempt) upstream.Result {
			return reply(a, v5, 0)
		}
		e := engine(f, nil)
		Expect(e.Search(ctx, search(w, complete, 0, time.Second)).Documents).To(HaveLen(5))
		f.serve[address("s1", 1)] = nil
		out := e.Search(ctx, search(w, partial, 0, time.Second))
		Expect(out.Coverage.Missing).To(Equal([]string{"s1"}))
	})

	It("fails after few re-asks when every reply names an unknown partition map", func() {
		const shards, askedAgain = 20, 4
		w := workload(map[int][]string{1: names("s", shards)})
		f := newFake(w, serving(7, gen.Snapshot{Index: 6, Map: 9}))
		out := engine(f, nil).Search(ctx, search(w, partial, 0, time.Second))
		Expect(out.Kind).To(Equal(caller.OutcomeUnknown))
		Expect(out.Reason).To(Equal(outcome.CoverageUnknown))
		Expect(f.total()).To(BeNumerically("<=", shards+askedAgain))
	})

	It("answers from the other replicas when those asked first are ahead of the manifest", func() {
		w := workload(map[int][]string{1: names("s", 20)})
		f := newFake(w, serving(7, v5))
		for shard := range w.Replicas {
			f.serve[address(shard, 0)] = serving(7, gen.Snapshot{Index: 6, Map: 9})
		}
		out := engine(f, nil).Search(ctx, search(w, complete, 0, time.Second))
		Expect(out.Kind).To(Equal(caller.OutcomeAnswered))
	})

	It("answers every search while replicas move to a newer index version and partition map", func() {
		fakeTime(func(g Gomega) {
			w := workload(map[int][]string{1: names("s", 5)})
			f := newFake(w, serving(7, v5))
			e := engine(f, nil)
			searchUntil := func(want gen.Snapshot) {
				const maxSearches, pause = 30, 10 * time.Millisecond
				for range maxSearches {
					time.Sleep(pause)
					out := e.Search(ctx, search(w, complete, 0, time.Second))
					g.Expect(out.Kind).To(Equal(caller.OutcomeAnswered), fmt.Sprint(out))
					if out.Snapshot.Index == want.Index && out.Snapshot.Map == want.Map {
						return
					}
				}
				g.Expect(want).To(BeNil(), "no answer of this snapshot")
			}
			searchUntil(v5)
			for a := range f.serve {
				f.serve[a] = serving(7, v5, v6)
			}
			searchUntil(v6)

			v6split := gen.Snapshot{Index: 6, Map: 2}
			w = workload(map[int][]string{1: names("s", 5), 2: {"s0", "s1", "s2", "s3", "s4a", "s4b"}})
			for shard, us := range w.Replicas {
				for _, u := range us {
					f.serve[u.Address] = serving(7, v6, v6split)
					if shard == "s4" {
						f.serve[u.Address] = serving(7, v6)
					}
					if shard == "s4a" || shard == "s4b" {
						f.serve[u.Address] = serving(7, v6split)
					}
				}
			}
			searchUntil(v6split)
		})
	})
})
