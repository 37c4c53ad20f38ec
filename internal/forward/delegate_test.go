package forward

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/catalog"
	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/internal/peer"
	"github.com/sardinespindle/sardinespindle/internal/poison"
	policy "github.com/sardinespindle/sardinespindle/internal/policy/poison"
	"github.com/sardinespindle/sardinespindle/internal/policy/repeat"
	"github.com/sardinespindle/sardinespindle/internal/policy/route"
	"github.com/sardinespindle/sardinespindle/internal/policy/takeover"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/peer"
)

// noPoison admits every request.
type noPoison struct{}

func (noPoison) Admit(poison.Request) poison.Admission        { return poison.Admission{} }
func (noPoison) Check(string) (policy.Verdict, time.Duration) { return policy.Allow, 0 }
func (noPoison) RecordReply(poison.Request)                   {}

// The VM under test is not a gatherer and delegates each search to one of two gatherers.
var _ = Describe("A delegated search", func() {
	var local *fakeSearcher
	var others *fakePeers
	var s *Server
	var q *request
	BeforeEach(func() {
		local = &fakeSearcher{}
		others = &fakePeers{delays: map[string]time.Duration{}, errs: map[string]error{}}
		s = New(Options{
			Searcher: local, Peers: others, Zone: "a", Log: log.New(GinkgoWriter), Poison: noPoison{},
			VMs: func(string) int { return 3 }, Repeats: repeat.Limits{Ratio: 0.2, Slack: 100, Window: 10 * time.Second},
			Now: func() time.Duration { return time.Second },
			Gatherers: func() (map[string][]string, bool) {
				return map[string][]string{"b": {"vm-1", "vm-2"}}, false
			},
		})
		r := &route.Route{Name: "find", Shards: []string{"s1", "s2"}, Objective: 100 * time.Millisecond, MaxAttempts: 2}
		q = &request{id: "id", start: time.Now(), route: r, shards: r.Shards, deadline: time.Now().Add(time.Second), catalog: &catalog.Catalog{
			Config: &catalog.Config{Version: 1}, Manifest: &manifest.Manifest{}, ZoneCoverage: map[string]map[string]float64{"find": {"b": 1}},
		}}
	})
	run := func() outcome.Outcome {
		return s.runOrDelegate(context.Background(), q, &upstream.PassThroughRequest{})
	}

	It("waits for a gatherer that takes longer than the objective but answers before the deadline", func() {
		others.delays["vm-1"], others.delays["vm-2"] = 300*time.Millisecond, 300*time.Millisecond
		o := run()
		Expect(o.Kind).To(Equal(caller.OutcomeAnswered))
		Expect(others.delegated).To(HaveLen(1))
		Expect(local.searches).To(BeEmpty())
	})

	It("goes to another gatherer as not yet sent if the first did not receive it", func() {
		others.errs["vm-1"], others.errs["vm-2"] = peer.ErrNotSent, peer.ErrNotSent
		o := run()
		Expect(o.Kind).To(Equal(caller.OutcomeAnswered))
		Expect(others.delegated).To(HaveLen(2))
		Expect(others.delegated[1].Resent).To(BeFalse())
		Expect(local.searches).To(HaveLen(1))
	})

	It("goes to another gatherer as possibly sent if the first may have run it", func() {
		others.errs["vm-1"], others.errs["vm-2"] = peer.ErrSilent, peer.ErrSilent
		run()
		Expect(others.delegated).To(HaveLen(2))
		Expect(others.delegated[0].Resent).To(BeFalse())
		Expect(others.delegated[1].Resent).To(BeTrue())
		Expect(q.maybeSent).To(BeTrue())
	})

	// A not_run outcome would let the caller resend a request that may still run.
	It("ends as unknown, not as not_run, if a gatherer may have run it", func() {
		others.errs["vm-1"], others.shed = peer.ErrSilent, true
		for range 20 { // until the silent gatherer is chosen first
			q.tried, q.maybeSent, q.sent, others.delegated = nil, false, nil, nil
			s.peers.peers = nil
			o := run()
			if len(others.delegated) == 2 {
				Expect(o.Kind).To(Equal(caller.OutcomeUnknown))
				Expect(o.RetryAfter).To(Equal(time.Second))
				return
			}
			Expect(o.Kind).To(Equal(caller.OutcomeNotRun))
		}
		Fail("the silent gatherer was never chosen first")
	})

	// Every VM learned by itself that a gatherer was gone, with a search that waited in vain.
	It("reports a gatherer as lost once two requests in a row found it silent", func() {
		var lost []string
		s.o.ReportLost = func(vm string) { lost = append(lost, vm) }
		s.o.Gatherers = func() (map[string][]string, bool) { return map[string][]string{"b": {"vm-1"}}, false }
		others.errs["vm-1"] = peer.ErrSilent
		now := time.Second
		s.o.Now = func() time.Duration { return now }
		run()
		Expect(lost).To(BeEmpty())
		q.tried, now = nil, 3*time.Second
		run()
		Expect(lost).To(Equal([]string{"vm-1"}))
	})

	It("confirms what a gatherer announces, and passes it on to the next one", func() {
		others.errs["vm-1"], others.errs["vm-2"] = peer.ErrSilent, peer.ErrSilent
		others.announced = map[string]gen.Replicas{"vm-1": {{1, 7, 8}}, "vm-2": {{1, 7, 8}}}
		run()
		Expect(others.delegated[0].Replicas).To(BeEmpty())
		Expect(others.delegated[0].ConfirmFirst).To(BeFalse())
		Expect(others.delegated[1].Replicas).To(Equal(gen.Replicas{{0, 0}, {1, 7, 8}}))
		Expect(others.delegated[1].ConfirmFirst).To(BeTrue())
		Expect(others.confirmed).To(Equal(2))
		Expect(q.sent).To(Equal(takeover.Record{{takeover.Unknown}, {7, 8}}))
	})

	It("does not count a gatherer that had to announce first and did not", func() {
		others.errs["vm-1"], others.errs["vm-2"] = peer.ErrSilent, peer.ErrSilent
		run()
		Expect(others.delegated).To(HaveLen(2))
		Expect(q.sent).To(Equal(takeover.Record{{takeover.Unknown}, {takeover.Unknown}}))
	})

	It("has each replica announced where a single one may run the request", func() {
		q.route.MaxAttempts = 1
		others.errs["vm-1"], others.errs["vm-2"] = peer.ErrSilent, peer.ErrSilent
		run()
		Expect(others.delegated[0].ConfirmFirst).To(BeTrue())
		Expect(q.sent.Sent()).To(BeFalse())
		Expect(q.maybeSent).To(BeFalse())
		Expect(local.searches).To(HaveLen(1))
	})

	It("ignores an announcement that is older than the last one, or of other shards", func() {
		t := s.trackSent(q)
		var confirmed []int
		record := func(sequence, hash int, replicas gen.Replicas) {
			t.record(&gen.Announced{Sequence: sequence, ShardsHash: hash, Replicas: replicas}, func() { confirmed = append(confirmed, sequence) })
		}
		record(2, t.hash, gen.Replicas{{1, 7, 8}})
		record(1, t.hash, gen.Replicas{{1, 7, 9}})
		record(3, t.hash+1, gen.Replicas{{1, 7, 9}})
		record(4, t.hash, gen.Replicas{{2, 7, 9}})
		record(2, t.hash, gen.Replicas{{1, 7, 8}}) // repeated, as the confirmation may be under way
		Expect(confirmed).To(Equal([]int{2, 2}))
		Expect(t.sent).To(Equal(takeover.Record{{takeover.Unknown}, {7, 8}}))
	})

	It("joins the announcements of a search's parts by the indices of their shards", func() {
		var updates []takeover.Update
		q.announce = func(u takeover.Update, _ func()) { updates = append(updates, u) }
		announcements := newPartAnnouncements(q)
		a := q.part([]string{"s2"}, control{}, announcements)
		b := q.part([]string{"s1"}, control{}, announcements)
		a.announce(takeover.Update{{0, 7, 8}}, func() {})
		b.announce(takeover.Update{{0, 9, 6}}, func() {})
		Expect(updates[0]).To(Equal(takeover.Update{{1, 7, 8}}))
		Expect(updates[1]).To(ConsistOf([]int{0, 9, 6}, []int{1, 7, 8}))
	})

	It("lets the gatherer decide early enough for the answer to return in time", func() {
		// The time of the decision, since the request's start: what is left of it falls while the test runs.
		decidedUs := func(d *gen.Delegate) int { return d.ElapsedUs - int(hopSlack.Microseconds()) + d.AnswerUs }
		run()
		Expect(decidedUs(others.delegated[0])).To(BeNumerically("~", 83_000, 2_000), "objective 100 ms")
		for range 100 {
			s.returns.observe(true, 20*time.Millisecond)
		}
		run()
		Expect(decidedUs(others.delegated[1])).To(BeNumerically("~", 70_000, 5_000))
	})

	It("ends as unknown at its deadline if the gatherer has not answered", func() {
		others.delays["vm-1"], others.delays["vm-2"] = time.Minute, time.Minute
		q.deadline = time.Now().Add(50 * time.Millisecond)
		o := run()
		Expect(o.Kind).To(Equal(caller.OutcomeUnknown))
		Expect(o.Reason).To(Equal(outcome.DeadlineExceeded))
		Expect(others.delegated).To(HaveLen(1))
		Expect(local.searches).To(BeEmpty())
	})
})
