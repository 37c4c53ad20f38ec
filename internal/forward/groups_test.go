package forward

import (
	"context"
	"fmt"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/catalog"
	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/internal/peer"
	"github.com/sardinespindle/sardinespindle/internal/policy/repeat"
	"github.com/sardinespindle/sardinespindle/internal/policy/route"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
)

// newWideSearch returns a search of 90 shards at a VM that delegates it to the three gatherers of zone b, or is one.
func newWideSearch(p Poison, self func() bool) (*Server, *request, *fakePeers, *fakeSearcher) {
	local, others := &fakeSearcher{}, &fakePeers{delays: map[string]time.Duration{}, errs: map[string]error{}}
	s := New(Options{
		Searcher: local, Peers: others, VM: "vm-0", Zone: "b", Log: log.New(GinkgoWriter), Poison: p,
		VMs: func(string) int { return 3 }, Repeats: repeat.Limits{Ratio: 0.2, Slack: 100, Window: 10 * time.Second},
		Now: func() time.Duration { return time.Second },
		Gatherers: func() (map[string][]string, bool) {
			return map[string][]string{"b": {"vm-1", "vm-2", "vm-3"}, "c": {"vm-9"}}, self()
		},
	})
	r := &route.Route{Name: "find", MinimumShare: 0.6, MaxRecords: 5, Objective: 200 * time.Millisecond}
	zones := map[string][]string{}
	for i := range 90 {
		r.Shards = append(r.Shards, fmt.Sprintf("s%02d", i))
		zones[r.Shards[i]] = []string{"b"}
	}
	q := &request{id: "id", start: time.Now(), route: r, deadline: time.Now().Add(time.Second), catalog: &catalog.Catalog{
		Config: &catalog.Config{Version: 1}, Manifest: &manifest.Manifest{},
		ServiceZones: zones, ZoneCoverage: map[string]map[string]float64{"find": {"b": 1}},
	}}
	return s, q, others, local
}

// The VM under test delegates searches of 90 shards to the three gatherers of zone b.
var _ = Describe("A wide search", func() {
	var local *fakeSearcher
	var others *fakePeers
	var s *Server
	var q *request
	var self bool
	BeforeEach(func() {
		self = false
		s, q, others, local = newWideSearch(noPoison{}, func() bool { return self })
	})
	run := func() outcome.Outcome {
		return s.runOrDelegate(context.Background(), q, &upstream.PassThroughRequest{})
	}
	runInFakeTime := func() (o outcome.Outcome, took time.Duration) {
		fakeTime(func() {
			start := time.Now()
			q.start, q.deadline = start, start.Add(time.Second)
			o = run()
			took = time.Since(start)
		})
		return o, took
	}

	It("is divided among the gatherers of a zone and merged here", func() {
		o := run()
		Expect(o.Kind).To(Equal(caller.OutcomeAnswered))
		Expect(o.Coverage.Complete).To(BeTrue())
		Expect(o.Signatures).To(HaveLen(90))
		Expect(string(o.Result[:3])).To(Equal("s89"))
		Expect(others.delegated).To(HaveLen(3))
		n := 0
		for _, d := range others.delegated {
			n += len(d.Shards)
		}
		Expect(n).To(Equal(90))
		Expect(local.searches).To(BeEmpty())
		Expect(q.ranElsewhere).To(BeTrue())
		Expect(q.decidedAt).NotTo(BeZero())
	})

	It("searches its own group here if this VM is one of the gatherers", func() {
		self = true
		o := run()
		Expect(o.Coverage.Complete).To(BeTrue())
		Expect(local.searches).To(HaveLen(1))
		Expect(len(others.delegated)).To(Equal(2))
	})

	It("has the group of a gatherer that was not reached searched by another one", func() {
		others.errs["vm-2"] = peer.ErrNotSent
		o := run()
		Expect(o.Coverage.Complete).To(BeTrue())
		Expect(others.delegated).To(HaveLen(4))
		Expect(local.searches).To(BeEmpty())
	})

	It("is answered without a late group if the others cover the minimum share", func() {
		others.delays["vm-1"] = time.Minute
		o, took := runInFakeTime()
		Expect(took).To(BeNumerically("<", 210*time.Millisecond))
		Expect(o.Kind).To(Equal(caller.OutcomeAnswered))
		Expect(o.Coverage.ShardsCovered).To(BeNumerically("~", 60, 12))
		Expect(o.Coverage.ShardsTotal).To(Equal(90))
	})

	It("waits for a late group beyond the objective if the minimum share depends on it", func() {
		q.route.MinimumShare = 0.95
		others.delays["vm-1"] = 400 * time.Millisecond
		o := run()
		Expect(o.Kind).To(Equal(caller.OutcomeAnswered))
		Expect(o.Coverage.Complete).To(BeTrue())
	})

	// Each group needed the minimum share of its own shards: with six groups, one search in four
	// of the slow windows waited beyond its objective for a group that lacked two of 23 shards.
	It("is answered in time if one group lacks more shards than it may, but all together do not", func() {
		q.route.MinimumShare = 0.95
		others.delays["vm-1"], others.missing = time.Minute, map[string]int{"vm-1": 3}
		o, took := runInFakeTime()
		Expect(took).To(BeNumerically("<", 200*time.Millisecond))
		Expect(o.Kind).To(Equal(caller.OutcomeAnswered))
		Expect(o.Coverage.ShardsCovered).To(Equal(87))
	})

	It("waits if all groups together lack too many shards", func() {
		q.route.MinimumShare = 0.95
		others.delays["vm-1"], others.missing = 400*time.Millisecond, map[string]int{"vm-1": 6}
		o := run()
		Expect(o.Coverage.Complete).To(BeTrue())
	})

	// A group that a second VM took over reported what the first one had covered. Asked to finish,
	// it replied with less, and the search was answered below its minimum share.
	It("is not answered if groups that were asked to finish cover less than they reported", func() {
		q.route.MinimumShare = 0.95
		others.delays["vm-1"], others.missing = time.Minute, map[string]int{"vm-1": 3}
		others.lacking = map[string]int{"vm-1": 4}
		o := run()
		Expect(o.Kind).To(Equal(caller.OutcomeUnknown))
		Expect(o.Reason).To(Equal(outcome.CoverageTooLow))
		Expect(o.Coverage.ShardsCovered).To(Equal(83))
		Expect(o.RetryAfter).To(BeNumerically(">", 0))
	})

	// Load pattern: the upstreams of one group are dark and those of another 8 times slower. The
	// caller waited for the slow group although the search had failed.
	It("ends at once when a group failed without which the minimum share is out of reach", func() {
		q.route.MinimumShare = 0.95
		others.failing = map[string]bool{"vm-1": true}
		others.delays["vm-2"] = time.Minute
		start := time.Now()
		o := run()
		Expect(time.Since(start)).To(BeNumerically("<", 100*time.Millisecond))
		Expect(o.Kind).To(Equal(caller.OutcomeUnknown))
	})

	It("waits after a refusal for groups that may be refused too", func() {
		q.route.MinimumShare = 0.95
		others.shed = true
		others.delays["vm-2"] = 20 * time.Millisecond
		Expect(run().Kind).To(Equal(caller.OutcomeNotRun))
	})

	Describe("while zones are evacuated", func() {
		// evacuate leaves the first n shards without upstreams.
		evacuate := func(n int) {
			q.catalog.Evacuated = []string{"d"}
			for _, shard := range q.route.Shards[:n] {
				q.catalog.ServiceZones[shard] = nil
			}
			q.catalog.ZoneCoverage["find"]["b"] = 1 - float64(n)/90
		}

		// A group needs the minimum share of its own shards, so that it would fail for those that no VM can search.
		It("is divided without the shards that have no upstreams left, which count as missing", func() {
			q.route.MinimumShare = 0.95
			evacuate(4)
			o := run()
			Expect(o.Kind).To(Equal(caller.OutcomeAnswered))
			Expect(o.Coverage.ShardsCovered).To(Equal(86))
			Expect(o.Coverage.ShardsTotal).To(Equal(90))
			Expect(o.Coverage.Complete).To(BeFalse())
			for _, d := range others.delegated {
				Expect(d.Shards).NotTo(ContainElement("s00"))
			}
		})

		It("is refused at once as not run if too few shards are left", func() {
			q.route.MinimumShare = 0.95
			evacuate(5)
			start := time.Now()
			o := run()
			Expect(time.Since(start)).To(BeNumerically("<", 100*time.Millisecond))
			Expect(o.Kind).To(Equal(caller.OutcomeNotRun))
			Expect(o.RetryAfter).To(BeNumerically(">", 0))
			Expect(others.delegated).To(BeEmpty())
			Expect(local.searches).To(BeEmpty())
		})

		It("is refused at once if no shard is left", func() {
			q.route.MinimumShare = 0
			evacuate(90)
			Expect(run().Kind).To(Equal(caller.OutcomeNotRun))
			Expect(others.delegated).To(BeEmpty())
		})
	})

	It("keeps the VMs that its groups tried apart", func() {
		q.tried = append(make([]string, 0, 4), "vm-7")
		a, b := q.part(nil, control{}, nil), q.part(nil, control{}, nil)
		a.tried = append(a.tried, "vm-1")
		b.tried = append(b.tried, "vm-2")
		Expect(a.tried).To(Equal([]string{"vm-7", "vm-1"}))
	})

	It("ends as unknown if a group was refused after others ran", func() {
		q.route.MinimumShare = 0.95
		others.shedBy = "vm-3"
		o := run()
		Expect(o.Kind).To(Equal(caller.OutcomeUnknown))
		Expect(o.Coverage.ShardsTotal).To(Equal(90))
	})
})
