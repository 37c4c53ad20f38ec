package forward

import (
	"cmp"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
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
	"github.com/sardinespindle/sardinespindle/internal/testkit"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/peer"
)

// suite is the test that runs this package's specs; synctest needs it for fake time.
var suite *testing.T

func TestForward(t *testing.T) {
	suite = t
	testkit.Run(t, "forward")
}

// fakeTime runs f in fake time; a goroutine that f leaks fails the test.
func fakeTime(f func()) { synctest.Test(suite, func(*testing.T) { f() }) }

// recordSize is the size of one record in bytes.
const recordSize = 16

// fakeSearcher returns one record for each shard, which starts with the shard's name.
type fakeSearcher struct {
	mu       sync.Mutex // guards searches
	searches [][]string
}

func (s *fakeSearcher) Search(_ context.Context, q gather.Search) outcome.Outcome {
	var names []string
	for _, shard := range q.Workload.NewestMap.Shards {
		names = append(names, string(shard.Name))
	}
	s.mu.Lock()
	s.searches = append(s.searches, names)
	s.mu.Unlock()
	return answered(names)
}

func answered(names []string) outcome.Outcome {
	o := outcome.Outcome{Kind: caller.OutcomeAnswered, Coverage: &caller.Coverage{
		ShardsTotal: len(names), ShardsCovered: len(names), Complete: true,
	}}
	for _, name := range names {
		o.Result = append(o.Result, (name + strings.Repeat("-", recordSize))[:recordSize]...)
		o.Signatures = append(o.Signatures, "s-"+name)
	}
	return o
}

// fakePeers are VMs that reply to delegated searches, each after its own delay.
type fakePeers struct {
	delays map[string]time.Duration
	errs   map[string]error
	// announced is what each VM announces before it replies.
	announced map[string]gen.Replicas
	// missing is the number of shards that each VM lacks when its decision is due.
	missing map[string]int
	silent  bool
	shed    bool
	shedBy  string // the VM that sheds
	// failing are the VMs whose searches fail after they ran.
	failing map[string]bool
	// lacking is the number of shards that each VM lacks although it replies.
	lacking map[string]int
	// replies are whole replies of VMs.
	replies map[string]*gen.Delegated
	earlier bool // the VMs run an earlier build, which does not say by which version it ran a request

	mu        sync.Mutex // guards the fields below
	delegated []*gen.Delegate
	confirmed int
}

// announce has the VM announce, if it announces anything.
func (p *fakePeers) announce(vm string, d *gen.Delegate, w peer.Watch) {
	if replicas, ok := p.announced[vm]; ok {
		a := &gen.Announced{Sequence: 1, ShardsHash: d.ShardsHash, Replicas: replicas}
		w.OnNotice(&gen.Accepted{Running: true, Announced: a}, func() { p.confirmed++ })
	}
}

func (p *fakePeers) Delegate(ctx context.Context, vm string, d *gen.Delegate, w peer.Watch) (*gen.Message, error) {
	p.mu.Lock()
	p.delegated = append(p.delegated, d)
	p.mu.Unlock()
	p.announce(vm, d, w)
	covered := len(d.Shards)
	if missing, ok := p.missing[vm]; ok && missing < covered {
		time.AfterFunc(time.Duration(d.AnswerUs)*time.Microsecond, func() { w.OnNotice(&gen.Accepted{Running: true, Covered: covered - missing}, func() {}) })
	}
	select {
	case <-time.After(p.delays[vm]):
	case <-w.Finish:
		covered -= p.missing[vm]
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if p.silent || p.errs[vm] != nil {
		return nil, cmp.Or(p.errs[vm], peer.ErrSilent)
	}
	reply := func(r *gen.Delegated) (*gen.Message, error) {
		if r.Version = d.Version; p.earlier {
			r.Version = 0
		}
		return &gen.Message{Delegated: r}, nil
	}
	if r := p.replies[vm]; r != nil {
		return reply(r)
	}
	o := answered(d.Shards[:covered-p.lacking[vm]])
	o.Coverage.ShardsTotal = len(d.Shards)
	if p.shed || vm == p.shedBy {
		o = outcome.NotRun(outcome.Overloaded, "too many", time.Second)
	}
	if p.failing[vm] {
		o = outcome.Unknown(outcome.CoverageTooLow, "too few", time.Second)
	}
	return reply(toDelegated(&o))
}

var _ = Describe("A search whose shards are in several zones", func() {
	var local *fakeSearcher
	var others *fakePeers
	var s *Server
	var q *request
	var far []string // shards without a replica in this VM's zone
	BeforeEach(func() {
		local, others = &fakeSearcher{}, &fakePeers{delays: map[string]time.Duration{}}
		s = New(Options{
			Searcher: local, Peers: others, Zone: "a", Log: log.New(GinkgoWriter),
			VMs: func(string) int { return 3 }, Repeats: repeat.Limits{Ratio: 0.2, Slack: 100, Window: 10 * time.Second},
			Now: func() time.Duration { return time.Second },
			Gatherers: func() (map[string][]string, bool) {
				return map[string][]string{"b": {"vm-b"}, "c": {"vm-c"}}, true
			},
		})
		zones := map[string][]string{"n1": {"a", "b"}, "n2": {"a", "c"}}
		shards := []string{"n1", "n2"}
		far = nil
		for i := range 12 {
			far = append(far, fmt.Sprintf("s%02d", i))
			zones[far[i]] = []string{"b", "c"}
		}
		r := &route.Route{
			Name: "find", Shards: append(shards, far...), MaxRecords: 3, MinimumShare: 0.6, Objective: 100 * time.Millisecond,
		}
		q = &request{id: "id", start: time.Now(), route: r, deadline: time.Now().Add(time.Second), catalog: &catalog.Catalog{
			Config: &catalog.Config{Version: 1}, Manifest: &manifest.Manifest{}, ServiceZones: zones,
		}}
	})

	It("searches shards with a local replica from this VM and merges the records of other zones", func() {
		o := s.search(context.Background(), q, &upstream.PassThroughRequest{})
		Expect(local.searches).To(ConsistOf(ConsistOf("n1", "n2")))
		Expect(o.Coverage.Complete).To(BeTrue())
		Expect(o.Signatures).To(HaveLen(14))
		Expect(string(o.Result)).To(HavePrefix("s11"))
		Expect(o.Result).To(HaveLen(3 * recordSize))
	})

	It("answers in time without a late part if the minimum share is covered", func() {
		others.delays["vm-b"] = time.Second
		q.route.MinimumShare = 0.1
		var o outcome.Outcome
		var took time.Duration
		fakeTime(func() {
			start := time.Now()
			q.start, q.deadline = start, start.Add(time.Second)
			o = s.search(context.Background(), q, &upstream.PassThroughRequest{})
			took = time.Since(start)
		})
		Expect(took).To(BeNumerically("<", 100*time.Millisecond))
		Expect(o.Kind).To(Equal(caller.OutcomeAnswered))
		Expect(o.Coverage.ShardsCovered).To(Equal(2))
		Expect(o.Coverage.ShardsTotal).To(Equal(14))
	})

	It("searches the shards that were delegated to a silent VM locally", func() {
		others.silent = true
		o := s.search(context.Background(), q, &upstream.PassThroughRequest{})
		Expect(o.Coverage.Complete).To(BeTrue())
		Expect(local.searches).To(ConsistOf(ConsistOf("n1", "n2"), ConsistOf(far)))
	})

	// A VM of an earlier build runs a part by its own version, whichever version asked.
	It("searches the shards locally for which a VM does not say by which version it searched them", func() {
		others.earlier = true
		o := s.search(context.Background(), q, &upstream.PassThroughRequest{})
		Expect(o.Coverage.Complete).To(BeTrue())
		Expect(local.searches).To(ConsistOf(ConsistOf("n1", "n2"), ConsistOf(far)))
	})

	// The VM asked had a newer configuration in which the path leads to a single service: the search panicked,
	// callers got no answer, and daemons ended.
	It("searches the shards locally for which another VM replies with the answer of a single service", func() {
		others.replies = map[string]*gen.Delegated{"vm-b": {Taken: true, Outcome: "answered", Status: 200, Records: "page"}}
		o := s.search(context.Background(), q, &upstream.PassThroughRequest{})
		Expect(o.Coverage.Complete).To(BeTrue())
		Expect(local.searches).To(ConsistOf(ConsistOf("n1", "n2"), ConsistOf(far)))
	})

	// A part cannot make up for shards that another part misses.
	It("is not split while recent searches miss shards", func() {

		for range 10 {
			s.coverage.record(18, 20, false)
		}
		s.search(context.Background(), q, &upstream.PassThroughRequest{})
		Expect(local.searches).To(ConsistOf(HaveLen(14)))
	})
})
