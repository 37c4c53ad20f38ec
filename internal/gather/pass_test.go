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
	"github.com/sardinespindle/sardinespindle/internal/policy/takeover"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
	manifestgen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
)

// passThroughSearch is a pass-through search over three shards with two replicas each, at
// the addresses "SHARD-a" and "SHARD-b".
func passThroughSearch(objective, timeout time.Duration) gather.Search {
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
			Workload:  manifestgen.Workload{Name: manifestgen.Name(name)},
			Upstreams: us,
			Replicas:  map[string][]*manifestgen.Upstream{"": us},
		}
	}
	for i := range pm.Shards {
		pm.ByName[string(pm.Shards[i].Name)] = &pm.Shards[i]
	}
	now := time.Now()
	return gather.Search{
		ID: "id", Deadline: now.Add(timeout),
		Workload: &manifest.Workload{
			Workload: manifestgen.Workload{Name: "find"}, NewestMap: pm, Maps: map[int]*manifest.PartitionMap{1: pm},
		},
		PassThrough: &gather.PassThrough{
			Request: &upstream.PassThroughRequest{ID: "id"}, Shards: shards, Top: 5, MinimumShare: 1, MaxAttempts: 2,
			AnswerAt: now.Add(objective), GiveUpAt: now.Add(timeout), HedgeAfter: timeout,
			TakeRepeat: func(string, bool) bool { return true },
		},
	}
}

func replyPart(context.Context, upstream.Attempt) upstream.Result {
	return upstream.Result{Class: upstream.OK, Status: 200, Signature: "s", Body: []byte("0123456789abcdef")}
}

var _ = Describe("A pass-through search", func() {
	var f *fake
	BeforeEach(func() {
		f = &fake{serve: map[string]func(context.Context, upstream.Attempt) upstream.Result{}}
		for i := range 3 {
			f.serve[fmt.Sprintf("s%d-a", i)], f.serve[fmt.Sprintf("s%d-b", i)] = replyPart, replyPart
		}
	})
	// The text of errors was among the records of answers.
	DescribeTable("takes no signed failure for a part", func(status int) {
		fail := func(context.Context, upstream.Attempt) upstream.Result {
			return upstream.Result{Class: upstream.OK, Status: status, Signature: "s", Body: []byte("zzzz: no such document")}
		}
		f.serve["s0-a"], f.serve["s1-a"], f.serve["s1-b"] = fail, fail, fail
		s := passThroughSearch(200*time.Millisecond, time.Second)
		s.PassThrough.MinimumShare = 0.5
		o := gather.New(gather.Options{Upstream: gather.Adapt(f)}).Search(context.Background(), s)
		Expect(o.Kind).To(Equal(caller.OutcomeAnswered))
		Expect(o.Coverage.ShardsCovered).To(Equal(2), "s0 has another replica, s1 has none")
		Expect(string(o.Result)).NotTo(ContainSubstring("zzzz"))
	}, Entry("that refuses the request", 404), Entry("that sends it elsewhere", 302))

	run := func(s gather.Search) outcome.Outcome {
		return gather.New(gather.Options{Upstream: gather.Adapt(f)}).Search(context.Background(), s)
	}

	It("sends nothing and is not_run with a RetryAfter when a shard has no replica", func() {
		delete(f.serve, "s1-a")
		delete(f.serve, "s1-b")
		o := run(passThroughSearch(50*time.Millisecond, 2*time.Second))
		Expect(o.Kind).To(Equal(caller.OutcomeNotRun))
		Expect(o.RetryAfter).To(BeNumerically(">", 0))
		Expect(o.RetryAfter).To(BeNumerically("<", 2*time.Second))
		Expect(o.Detail).To(ContainSubstring("no_replica:1"))
		Expect(f.total()).To(BeZero())
	})

	// After all VMs restart together, upstreams still hold the old connections and refuse
	// new ones, and the budget of repeats is spent.
	It("asks another replica without a token when the first was not reached", func() {
		for i := range 3 {
			f.serve[fmt.Sprintf("s%d-a", i)] = func(context.Context, upstream.Attempt) upstream.Result {
				return upstream.Result{Class: upstream.NotSent, Err: errNone}
			}
		}
		s := passThroughSearch(time.Second, 2*time.Second)
		s.PassThrough.TakeRepeat = func(string, bool) bool { return false }
		Expect(run(s).Kind).To(Equal(caller.OutcomeAnswered))
	})

	It("reports no_budget when another VM may have sent the request and no budget is left", func() {
		s := passThroughSearch(time.Second, 2*time.Second)
		s.PassThrough.Before, s.PassThrough.TakeRepeat = takeover.Record(nil).WithUnknown(3), func(string, bool) bool { return false }
		Expect(run(s).Detail).To(ContainSubstring("no_budget:3"))
	})

	It("retries lost attempts, but not those of a request that crashes upstreams", func() {
		lost := func(crashed bool) func(context.Context, upstream.Attempt) upstream.Result {
			return func(context.Context, upstream.Attempt) upstream.Result {
				return upstream.Result{Class: upstream.Lost, Crashed: crashed, Err: errNone}
			}
		}
		for i := range 3 {
			f.serve[fmt.Sprintf("s%d-a", i)] = lost(false)
		}
		Expect(run(passThroughSearch(time.Second, 2*time.Second)).Kind).To(Equal(caller.OutcomeAnswered))
		for i := range 3 {
			f.serve[fmt.Sprintf("s%d-a", i)] = lost(true)
		}
		sent := f.total()
		o := run(passThroughSearch(time.Second, 2*time.Second))
		Expect(o.Reason).To(Equal(outcome.CrashSuspected))
		Expect(f.total() - sent).To(Equal(3))
	})

	It("reports a shard as lost if its reply was lost and no budget is left", func() {
		for i := range 3 {
			f.serve[fmt.Sprintf("s%d-a", i)] = endsWith(upstream.Lost)
		}
		fakeTime(func(g Gomega) {
			s := passThroughSearch(100*time.Millisecond, 200*time.Millisecond)
			s.PassThrough.TakeRepeat = func(string, bool) bool { return false }
			g.Expect(run(s).Detail).To(ContainSubstring("lost:3"))
		})
	})

	It("reports a shard as lost if the search failed before its retry was decided", func() {
		f.serve["s0-a"] = endsWith(upstream.Lost)
		for _, a := range []string{"s1-a", "s2-a"} {
			f.serve[a] = func(context.Context, upstream.Attempt) upstream.Result {
				time.Sleep(4 * time.Millisecond) // half of the delay before a retry
				return upstream.Result{Class: upstream.Lost, Err: errNone}
			}
		}
		fakeTime(func(g Gomega) {
			s := passThroughSearch(100*time.Millisecond, 200*time.Millisecond)
			s.PassThrough.TakeRepeat = func(string, bool) bool { return false }
			g.Expect(run(s).Detail).To(ContainSubstring("lost:3"))
		})
	})

	// used is the record of a search that another VM has hedged at s1, may have sent to one replica
	// of s0, and has not sent to s2.
	used := func() takeover.Record {
		hash := func(address string) int { return int(takeover.Hash(address)) }
		r, ok := takeover.NewRecord(3).Apply(takeover.Update{{0, 0}, {1, hash("s1-b"), hash("s1-c")}})
		Expect(ok).To(BeTrue())
		return r
	}

	It("stays within the replicas that another VM has used, once they are as many as may be", func() {
		repeats := map[string]int{} // tokens taken
		s := passThroughSearch(time.Second, 2*time.Second)
		s.PassThrough.Before = used()
		s.PassThrough.TakeRepeat = func(service string, _ bool) bool { repeats[service]++; return true }
		Expect(run(s).Kind).To(Equal(caller.OutcomeAnswered))
		Expect(f.count("s1-a")).To(BeZero())
		Expect(f.count("s1-b")).To(Equal(1))
		Expect(repeats).To(Equal(map[string]int{"s0": 1, "s1": 1}), "the other VM has not sent s2")
	})

	It("announces each replica that the record does not name before it takes a search over", func() {
		var announced []takeover.Update
		sent := -1 // attempts sent when it announces
		s := passThroughSearch(time.Second, 2*time.Second)
		s.PassThrough.Before = used()
		s.PassThrough.Announce = func(u takeover.Update, onConfirmed func()) {
			announced = append(announced, u)
			time.AfterFunc(30*time.Millisecond, func() {
				sent = f.total()
				onConfirmed()
			})
		}
		Expect(run(s).Kind).To(Equal(caller.OutcomeAnswered))
		Expect(announced).To(Equal([]takeover.Update{{
			{0, 0, int(takeover.Hash("s0-a"))}, {2, int(takeover.Hash("s2-a"))},
		}}))
		Expect(sent).To(Equal(1), "s1 needs no announcement")
	})

	It("sends its first attempts at once, and a hedge once both replicas are confirmed", func() {
		f.serve["s1-a"] = hang
		var announced []takeover.Update
		var confirm func()
		s := passThroughSearch(time.Second, 2*time.Second)
		s.PassThrough.HedgeAfter = 40 * time.Millisecond
		s.PassThrough.Announce = func(u takeover.Update, onConfirmed func()) {
			announced, confirm = append(announced, u), onConfirmed
			time.AfterFunc(60*time.Millisecond, func() {
				defer GinkgoRecover()
				Expect(f.total()).To(Equal(3))
				confirm()
			})
		}
		start := time.Now()
		Expect(run(s).Kind).To(Equal(caller.OutcomeAnswered))
		Expect(time.Since(start)).To(BeNumerically(">", 90*time.Millisecond))
		Expect(announced).To(Equal([]takeover.Update{{{1, int(takeover.Hash("s1-a")), int(takeover.Hash("s1-b"))}}}))
		Expect(f.count("s1-b")).To(Equal(1))
	})

	It("does not hedge before the hedge is due, although it is confirmed earlier", func() {
		f.serve["s1-a"] = hang
		fakeTime(func(g Gomega) {
			s := passThroughSearch(time.Second, 2*time.Second)
			s.PassThrough.HedgeAfter = 100 * time.Millisecond
			s.PassThrough.Announce = func(_ takeover.Update, onConfirmed func()) { onConfirmed() }
			start := time.Now()
			g.Expect(run(s).Kind).To(Equal(caller.OutcomeAnswered))
			g.Expect(time.Since(start)).To(BeNumerically("~", 105*time.Millisecond, 5*time.Millisecond))
		})
	})

	It("asks another replica at once if the first did not run the request, without an announcement", func() {
		f.serve["s1-a"] = endsWith(upstream.Shed)
		s := passThroughSearch(time.Second, 2*time.Second)
		s.PassThrough.Announce = func(takeover.Update, func()) { Fail("announced") }
		Expect(run(s).Kind).To(Equal(caller.OutcomeAnswered))
		Expect(f.count("s1-b")).To(Equal(1))
	})

	It("is answered without a shard whose retry is not confirmed, from the objective on", func() {
		f.serve["s1-a"] = endsWith(upstream.Lost)
		s := passThroughSearch(60*time.Millisecond, 2*time.Second)
		s.PassThrough.MinimumShare = 0.6
		s.PassThrough.Announce = func(takeover.Update, func()) {}
		start := time.Now()
		o := run(s)
		Expect(o.Kind).To(Equal(caller.OutcomeAnswered))
		Expect(o.Coverage.ShardsCovered).To(Equal(2))
		Expect(time.Since(start)).To(BeNumerically("<", 200*time.Millisecond))
	})

	It("reports that its decision is due, and is answered with too few shards when asked to finish", func() {
		f.serve["s1-a"], f.serve["s1-b"] = hang, hang
		finish := make(chan struct{})
		s := passThroughSearch(50*time.Millisecond, 2*time.Second)
		s.PassThrough.Finish = finish
		s.PassThrough.OnDue = func(covered int) {
			Expect(covered).To(Equal(2))
			close(finish)
		}
		start := time.Now()
		o := run(s)
		Expect(time.Since(start)).To(BeNumerically("~", 60*time.Millisecond, 30*time.Millisecond))
		Expect(o.Kind).To(Equal(caller.OutcomeAnswered))
		Expect(o.Coverage.ShardsCovered).To(Equal(2))
	})
})
