package forward

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/catalog"
	"github.com/sardinespindle/sardinespindle/internal/gather"
	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/internal/peer"
	"github.com/sardinespindle/sardinespindle/internal/policy/repeat"
	"github.com/sardinespindle/sardinespindle/internal/policy/route"
	"github.com/sardinespindle/sardinespindle/internal/policy/takeover"
	"github.com/sardinespindle/sardinespindle/internal/single"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/peer"
)

// cutOff is a VM whose requests all end with an outcome, as it reaches no upstream.
type cutOff struct {
	o    outcome.Outcome
	runs int
}

func (c *cutOff) Search(context.Context, gather.Search) outcome.Outcome {
	c.runs++
	return c.o
}

func (c *cutOff) Run(context.Context, single.Request) outcome.Outcome {
	c.runs++
	return c.o
}

// replies are VMs that reply to a delegated request with an outcome each; others answer it.
type replies struct {
	by    map[string]outcome.Outcome
	asked []string
	got   []*gen.Delegate
}

func (r *replies) Delegate(_ context.Context, vm string, d *gen.Delegate, _ peer.Watch) (*gen.Message, error) {
	r.asked, r.got = append(r.asked, vm), append(r.got, d)
	o, ok := r.by[vm]
	switch {
	case ok:
	case d.ShardsHash != 0:
		o = answered([]string{"s1", "s2"})
	default:
		o = outcome.Outcome{Kind: caller.OutcomeAnswered, ResultStatus: 200}
	}
	reply := toDelegated(&o)
	reply.Version = d.Version
	return &gen.Message{Delegated: reply}, nil
}

var _ = Describe("A VM that reaches no upstream", func() {
	notRun := outcome.NotRun(outcome.Unreachable, "none", time.Second)
	unknown := outcome.Unknown(outcome.Unreachable, "lost on the way", time.Second)
	var local *cutOff
	var others *replies
	var reached bool // as known before a request
	var s *Server
	var lost []string
	newRequest := func(sharded bool) *request {
		r := &route.Route{Name: "find", Objective: 100 * time.Millisecond, MaxAttempts: 2, Targets: []route.Target{{Service: "s1", Weight: 1}}}
		if sharded {
			r.Shards, r.Targets = []string{"s1", "s2"}, nil
		}
		return &request{id: "id", start: time.Now(), route: r, shards: r.Shards, service: "s1", deadline: time.Now().Add(time.Second), catalog: &catalog.Catalog{
			Config: &catalog.Config{Version: 1}, Manifest: &manifest.Manifest{Workloads: map[string]*manifest.Workload{"s1": {}}},
			ZoneCoverage: map[string]map[string]float64{"find": {"a": 1, "b": 1}},
		}}
	}
	BeforeEach(func() {
		local, others, reached = &cutOff{o: notRun}, &replies{by: map[string]outcome.Outcome{}}, false
		lost = nil
		byZone := map[string][]string{"a": {"vm-1"}, "b": {"vm-2", "vm-3"}}
		s = New(Options{
			Searcher: local, Runner: local, Peers: others, VM: "vm-0", Zone: "a", Log: log.New(GinkgoWriter), Poison: noPoison{},
			VMs: func(string) int { return 4 }, Repeats: repeat.Limits{Ratio: 0.2, Slack: 100, Window: 10 * time.Second},
			Now:        func() time.Duration { return time.Second },
			Gatherers:  func() (map[string][]string, bool) { return byZone, reached },
			Reach:      func() Reach { return Reach{Reached: reached, Others: byZone, ZoneVMs: 1} },
			ReportLost: func(vm string) { lost = append(lost, vm) },
		})
	})
	run := func(q *request) outcome.Outcome {
		return s.runOrDelegate(context.Background(), q, &upstream.PassThroughRequest{})
	}

	DescribeTable("passes requests on without trying them, to a VM of its zone while all of it is left", func(sharded bool) {
		Expect(run(newRequest(sharded)).Kind).To(Equal(caller.OutcomeAnswered))
		Expect(others.asked).To(Equal([]string{"vm-1"}))
		Expect(local.runs).To(BeZero())
	}, Entry("searches", true), Entry("requests to a single service", false))

	DescribeTable("passes requests on that found it out and did not run", func(sharded bool) {
		reached = true
		local.o = notRun
		s.o.Reach = func() Reach {
			return Reach{Reached: local.runs == 0, Others: map[string][]string{"a": {"vm-2"}}, ZoneVMs: 1}
		}
		s.o.Gatherers = func() (map[string][]string, bool) { return map[string][]string{"a": {"vm-2"}}, local.runs == 0 }
		q := newRequest(sharded)
		Expect(run(q).Kind).To(Equal(caller.OutcomeAnswered))
		Expect(local.runs).To(Equal(1))
		Expect(others.asked).To(Equal([]string{"vm-2"}))
	}, Entry("searches", true), Entry("requests to a single service", false))

	// An order that may have run must not run again.
	It("passes no request on that may have run and is not idempotent", func() {
		reached = true
		local.o = unknown
		Expect(run(newRequest(false))).To(HaveField("Kind", caller.OutcomeUnknown))
		Expect(others.asked).To(BeEmpty())
	})

	It("passes on what was under way, with the upstreams that it may have been sent to", func() {
		lose := func() {
			others.asked, others.got, local.o, local.runs = nil, nil, unknown, 0
			s.o.Reach = func() Reach {
				return Reach{Reached: local.runs == 0, Others: map[string][]string{"a": {"vm-1"}}, ZoneVMs: 1}
			}
		}
		lose()
		s.o.Gatherers = func() (map[string][]string, bool) { return map[string][]string{"a": {"vm-1"}}, local.runs == 0 }
		local.o.MaybeSent = takeover.Record{{7}, nil}
		Expect(run(newRequest(true)).Kind).To(Equal(caller.OutcomeAnswered))
		Expect(others.got[0].Replicas).To(Equal(gen.Replicas{{0, 7}}))
		Expect(others.got[0].ConfirmFirst).To(BeTrue())

		single := func(sent int) (*request, outcome.Outcome) {
			lose()
			local.o.Cost.Sent = sent
			q := newRequest(false)
			q.route.Idempotent = true
			return q, run(q)
		}
		_, o := single(1)
		Expect(o.Kind).To(Equal(caller.OutcomeAnswered))
		Expect(others.got[0].Attempts).To(Equal(1))
		Expect(others.got[0].Resent).To(BeTrue())
		_, o = single(2)
		Expect(o.Kind).To(Equal(caller.OutcomeUnknown))
		Expect(others.asked).To(BeEmpty(), "two upstreams may run it")
	})

	// Attempts that upstreams turn away count against maxAttempts and the budget too.
	It("passes a request on to VMs that hold limits while upstreams turned away fewer attempts than it may make", func() {
		reached = true
		s.o.Holders = func(*manifest.Workload) []string { return []string{"vm-1", "vm-3", "gone"} }
		local.o = outcome.NotRun(outcome.Overloaded, "refused", time.Second)
		for sent, want := range []caller.Outcome{caller.OutcomeAnswered, caller.OutcomeAnswered, caller.OutcomeNotRun} {
			others.asked, others.got = nil, nil
			local.o.Cost.Sent = sent
			Expect(run(newRequest(false)).Kind).To(Equal(want))
			if want == caller.OutcomeAnswered {
				Expect(others.asked[0]).To(BeElementOf("vm-1", "vm-3"))
				Expect(others.got[0].Attempts).To(Equal(sent))
			}
		}
		Expect(others.asked).To(BeEmpty())
		busy := outcome.NotRun(outcome.Overloaded, "refused too", time.Second)
		others.by["vm-1"], others.by["vm-3"] = busy, busy
		local.o.Cost.Sent = 0
		Expect(run(newRequest(false)).Kind).To(Equal(caller.OutcomeNotRun))
		Expect(others.asked).To(ConsistOf("vm-1", "vm-3"))
		local.o = outcome.NotRun(outcome.CrashSuspected, "blocked", time.Second)
		others.asked = nil
		Expect(run(newRequest(false)).Kind).To(Equal(caller.OutcomeNotRun))
		Expect(others.asked).To(BeEmpty())
	})

	// Load pattern: 19 of 20 upstreams of a service reset the connections of one zone's VMs for 8 s.
	It("passes requests on to another zone while it reaches upstreams, but all that it sends to one service fails", func() {
		reached = true
		local.o = outcome.Unknown(outcome.UpstreamError, "reset", time.Second)
		local.o.Cost.Sent = 2
		now, served := time.Second, 0
		s.o.Now = func() time.Duration { return now }
		for range 40 {
			now += 200 * time.Millisecond
			q := newRequest(false)
			q.route.Idempotent = true
			if run(q).Kind == caller.OutcomeAnswered {
				served++
			}
		}
		Expect(served).To(BeNumerically(">=", 40*2/3), "other zones serve all, and those cut off owe two thirds of that")
	})

	It("counts what another VM used that was cut off too", func() {
		lostToo := unknown
		lostToo.Cost.Sent = 1
		others.by["vm-1"] = lostToo
		q := newRequest(false)
		q.route.Idempotent = true
		Expect(run(q).Kind).To(Equal(caller.OutcomeAnswered))
		Expect(others.got[1].Attempts).To(Equal(1))
		others.by["vm-1"] = unknown
		others.asked = nil
		Expect(run(newRequest(false)).Kind).To(Equal(caller.OutcomeUnknown))
		Expect(others.asked).To(HaveLen(1))
	})

	It("goes to the next VM if one finds that it reaches none either, with a search also if that may have run it", func() {
		others.by["vm-1"] = notRun
		Expect(run(newRequest(false)).Kind).To(Equal(caller.OutcomeAnswered))
		Expect(others.asked).To(HaveLen(2))
		others.asked, others.by["vm-1"] = nil, unknown
		q := newRequest(true)
		Expect(run(q).Kind).To(Equal(caller.OutcomeAnswered))
		Expect(others.asked).To(HaveLen(2))
		Expect(q.sent.Sent()).To(BeTrue())
		Expect(lost).To(BeEmpty(), "the VM is alive")
	})

	// Load pattern: VMs restart one by one; one that has just started counts fewer gatherers than the others do.
	It("takes no search while it is no gatherer by what it knows itself", func() {
		c := newRequest(true).catalog
		r := &route.Route{Name: "find", Host: "h", Prefix: "/", Shards: []string{"s1"}, MaxAttempts: 2, Objective: time.Second, Timeout: time.Second}
		c.Table = route.NewTable([]*route.Route{r})
		s.o.Catalog = func() *catalog.Catalog { return c }
		s.o.Reach = func() Reach { return Reach{Reached: true, Others: nil, ZoneVMs: 1} }
		local.o = outcome.Outcome{Kind: caller.OutcomeAnswered, Coverage: &caller.Coverage{}}
		taken := func(gatherer bool) bool {
			s.o.Gatherers = func() (map[string][]string, bool) { return nil, gatherer }
			d := &gen.Delegate{Version: 1, Host: "h", Target: "/x", GiveUpUs: 1e6, AnswerUs: 1e6, ShardsHash: takeover.HashShards(r.Shards)}
			return s.Handle(context.Background(), "vm-1", &gen.Message{Delegate: d}).Delegated.Taken
		}
		Expect(taken(false)).To(BeFalse())
		Expect(taken(true)).To(BeTrue())
	})

	It("refuses if no other VM is known, and takes no request of others", func() {
		s.o.Reach = func() Reach { return Reach{Reached: false, Others: nil, ZoneVMs: 1} }
		s.o.Gatherers = func() (map[string][]string, bool) { return nil, false }
		for _, sharded := range []bool{true, false} {
			o := run(newRequest(sharded))
			Expect(o.Kind).To(Equal(caller.OutcomeNotRun))
			Expect(o.RetryAfter).To(Equal(time.Second))
		}
		s.o.Catalog = func() *catalog.Catalog { return newRequest(true).catalog }
		reply := s.Handle(context.Background(), "vm-1", &gen.Message{Delegate: &gen.Delegate{Version: 1}})
		Expect(reply.Delegated.Taken).To(BeFalse())
	})
})
