package forward

import (
	"cmp"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
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

func TestForward(t *testing.T) { testkit.Run(t, "forward") }

// recordSize is the number of bytes of one record.
const recordSize = 16

// searcher answers each shard with one record named after it.
type searcher struct {
	mu    sync.Mutex // guards asked
	asked [][]string
}

func (s *searcher) Search(_ context.Context, q gather.Search) outcome.Outcome {
	var names []string
	for _, shard := range q.Workload.Newest.Shards {
		names = append(names, string(shard.Name))
	}
	s.mu.Lock()
	s.asked = append(s.asked, names)
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

// peers answers parts that are handed over, each after a time of its own.
type peers struct {
	after   map[string]time.Duration
	fails   map[string]error
	lost    bool
	refuses bool

	mu    sync.Mutex // guards given
	given []*gen.Delegate
}

func (p *peers) Delegate(ctx context.Context, vm string, d *gen.Delegate) (*gen.Message, error) {
	p.mu.Lock()
	p.given = append(p.given, d)
	p.mu.Unlock()
	select {
	case <-time.After(p.after[vm]):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if p.lost || p.fails[vm] != nil {
		return nil, cmp.Or(p.fails[vm], peer.ErrSilent)
	}
	o := answered(d.Shards)
	if p.refuses {
		o = outcome.NotRun(outcome.Overloaded, "too many", time.Second)
	}
	return &gen.Message{Delegated: toDelegated(&o)}, nil
}

var _ = Describe("A search over zones", func() {
	var local *searcher
	var others *peers
	var s *Server
	var q *request
	var far []string // shards with no replica in the own zone
	BeforeEach(func() {
		local, others = &searcher{}, &peers{after: map[string]time.Duration{}}
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
			Name: "find", Shards: append(shards, far...), Top: 3, MinimumShare: 0.6, Objective: 100 * time.Millisecond,
		}
		q = &request{id: "id", begun: time.Now(), route: r, deadline: time.Now().Add(time.Second), catalog: &catalog.Catalog{
			Config: &catalog.Config{Version: 1}, Manifest: &manifest.Manifest{}, ShardZones: zones,
		}}
	})

	It("asks near shards itself and merges what other zones send back", func() {
		o := s.search(context.Background(), q, &upstream.Passed{})
		Expect(local.asked).To(ConsistOf(ConsistOf("n1", "n2")))
		Expect(o.Coverage.Complete).To(BeTrue())
		Expect(o.Signatures).To(HaveLen(14))
		Expect(string(o.Result)).To(HavePrefix("s11"))
		Expect(o.Result).To(HaveLen(3 * recordSize))
	})

	It("does not hold back what is ready for a part that is late", func() {
		others.after["vm-b"] = time.Second
		q.route.MinimumShare = 0.1
		begun := time.Now()
		o := s.search(context.Background(), q, &upstream.Passed{})
		Expect(time.Since(begun)).To(BeNumerically("<", 100*time.Millisecond))
		Expect(o.Kind).To(Equal(caller.OutcomeAnswered))
		Expect(o.Coverage.ShardsCovered).To(Equal(2))
		Expect(o.Coverage.ShardsTotal).To(Equal(14))
	})

	It("asks the shards of a VM that is lost itself", func() {
		others.lost = true
		o := s.search(context.Background(), q, &upstream.Passed{})
		Expect(o.Coverage.Complete).To(BeTrue())
		Expect(local.asked).To(ConsistOf(ConsistOf("n1", "n2"), ConsistOf(far)))
	})

	It("is not divided while searches miss parts", func() {
		for range 10 {
			s.calm.ended(18, 20, false)
		}
		s.search(context.Background(), q, &upstream.Passed{})
		Expect(local.asked).To(ConsistOf(HaveLen(14)))
	})
})
