package gather_test

import (
	"context"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sardinespindle/sardinespindle/internal/gather"
	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/mechanism"
	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
	manifestgen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
	"github.com/sardinespindle/sardinespindle/schema/gen/settings"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/upstream"
)

// observationTTL is longer than the 10 s for which policy/snapshot relies on what a
// replica served.
const observationTTL = 11 * time.Second

// behaviour is how a model replica replies.
type behaviour string

const (
	healthy    behaviour = "healthy"
	ignoresPin behaviour = "ignores pin"
	cold       behaviour = "cold"
	wrongID    behaviour = "wrong id"
	wrongShard behaviour = "wrong shard"
	failing    behaviour = "failing"
	losing     behaviour = "losing"
	shedding   behaviour = "shedding"
	hanging    behaviour = "hanging"
	slow       behaviour = "slow"
)

// replica models one upstream.
type replica struct {
	shard     string
	holds     []gen.Snapshot // oldest first
	behaviour behaviour
}

// model holds all replicas and counts the attempts that ran.
type model struct {
	mu       sync.Mutex
	w        *manifest.Workload
	replicas map[string]*replica
	ran      map[string]int // attempts that ran, by search
}

// documentsOf returns the documents that a shard holds in a snapshot.
func documentsOf(shard string, id gen.Snapshot) []gen.Document {
	h := fnv.New32a()
	fmt.Fprint(h, shard, id)
	docs := make([]gen.Document, 2+h.Sum32()%2)
	for i := range docs {
		docs[i] = gen.Document{Id: fmt.Sprintf("%s@%d.%d#%d", shard, id.Index, id.Map, i), Score: float64(i)}
	}
	return docs
}

func (m *model) serve(ctx context.Context, addr string, a upstream.Attempt) upstream.Result {
	m.mu.Lock()
	r := *m.replicas[addr]
	if r.behaviour != shedding {
		m.ran[strings.Split(a.RequestID, ".")[0]]++
	}
	m.mu.Unlock()
	time.Sleep(time.Millisecond)
	switch r.behaviour {
	case failing:
		return upstream.Result{Class: upstream.Failed}
	case losing:
		return upstream.Result{Class: upstream.Lost}
	case shedding:
		return upstream.Result{Class: upstream.Shed}
	case hanging:
		return hang(ctx, a)
	case slow:
		time.Sleep(20 * time.Millisecond)
	}
	id := r.holds[len(r.holds)-1]
	if a.Snapshot != nil && slices.Contains(r.holds, *a.Snapshot) && r.behaviour != ignoresPin {
		id = *a.Snapshot
	}
	docs := documentsOf(r.shard, id)
	if r.behaviour == cold {
		docs = nil
	}
	res := reply(a, id, len(docs), docs...)
	switch r.behaviour {
	case wrongID:
		res.Reply.RequestId = "another"
	case wrongShard:
		res.Reply.Shard = "another"
	}
	return res
}

func newModel(maps map[int][]string) *model {
	m := &model{w: workload(maps), replicas: map[string]*replica{}, ran: map[string]int{}}
	for name, us := range m.w.Replicas {
		for _, u := range us {
			m.replicas[u.Address] = &replica{shard: name, holds: []gen.Snapshot{{Index: 1, Map: 1}}, behaviour: healthy}
		}
	}
	return m
}

func (m *model) fake() *fake {
	f := newFake(m.w, nil)
	f.quantile = 5 * time.Millisecond
	for addr := range m.replicas {
		f.serve[addr] = func(ctx context.Context, a upstream.Attempt) upstream.Result {
			return m.serve(ctx, addr, a)
		}
	}
	return f
}

// check compares an outcome with the attempts that ran and the contents of the shards. It
// returns a violation, or an empty string.
func (m *model) check(s gather.Search, out outcome.Outcome) string {
	m.mu.Lock()
	ran := m.ran[s.ID]
	m.mu.Unlock()
	if out.Kind == caller.OutcomeNotRun && ran > 0 {
		return fmt.Sprintf("not run, but ran %d times", ran)
	}
	if out.Kind != caller.OutcomeAnswered {
		return ""
	}
	id := gen.Snapshot{Index: out.Snapshot.Index, Map: out.Snapshot.Map}
	pm := m.w.Maps[id.Map]
	var want []string
	covered := 0
	for i := range pm.Shards {
		name := string(pm.Shards[i].Name)
		if slices.Contains(out.Coverage.Missing, name) {
			continue
		}
		covered++
		for _, d := range documentsOf(name, id) {
			want = append(want, d.Id)
		}
	}
	var got []string
	for _, d := range out.Documents {
		got = append(got, d.Id)
	}
	slices.Sort(got)
	slices.Sort(want)
	c := out.Coverage
	switch {
	case c.ShardsTotal != len(pm.Shards):
		return fmt.Sprintf("%d shards in all, not %d", len(pm.Shards), c.ShardsTotal)
	case c.ShardsCovered != covered, c.Complete != (covered == len(pm.Shards)):
		return fmt.Sprintf("coverage %+v", *c)
	case float64(covered) < s.Grant.MinimumCoverage*float64(len(pm.Shards)):
		return fmt.Sprintf("%d shards are below the minimum", covered)
	case s.Grant.Trade == complete && !c.Complete:
		return "complete answer with shards missing"
	case !slices.Equal(got, want):
		return fmt.Sprintf("snapshot %v: documents %v, want %v", id, got, want)
	case c.DocumentsCovered != len(want):
		return fmt.Sprintf("%d documents covered, not %d", c.DocumentsCovered, len(want))
	}
	return ""
}

// fuzz runs random searches while replicas change, and returns the violations.
func fuzz(t *rapid.T, off ...settings.ExperimentDisableElem) []string {
	m := newModel(map[int][]string{1: {"a", "b", "c"}, 2: {"a", "b1", "b2", "c"}})
	p := &fakePoison{delay: 5 * time.Millisecond}
	p.limit.Store(2)
	e := gather.New(gather.Options{
		Upstream:   gather.Adapt(m.fake()),
		Poison:     p,
		Mechanisms: mechanism.New(&settings.Experiment{Disable: off}),
	})
	addresses := make([]string, 0, len(m.replicas))
	for addr := range m.replicas {
		addresses = append(addresses, addr)
	}
	slices.Sort(addresses)
	var violations []string
	t.Repeat(map[string]func(*rapid.T){
		"index": func(t *rapid.T) {
			p.losses.Store(0) // as when suspicions expire
			addr := rapid.SampledFrom(addresses).Draw(t, "replica")
			id := gen.Snapshot{
				Index: rapid.IntRange(1, 4).Draw(t, "index"),
				Map:   rapid.IntRange(1, 3).Draw(t, "map"), // 3 is in no manifest
			}
			m.change(addr, func(r *replica) {
				keep := rapid.IntRange(0, 2).Draw(t, "keep")
				r.holds = append(r.holds[max(0, len(r.holds)-keep):], id)
			})
		},
		"mood": func(t *rapid.T) {
			addr := rapid.SampledFrom(addresses).Draw(t, "replica")
			behaviours := []behaviour{healthy, healthy, ignoresPin, wrongID, wrongShard, failing, losing, shedding, hanging, slow}
			if strings.HasSuffix(addr, "/1") { // at most one replica of a shard is cold
				behaviours = append(behaviours, cold, cold)
			}
			b := rapid.SampledFrom(behaviours).Draw(t, "mood")
			m.change(addr, func(r *replica) { r.behaviour = b })
		},
		"everywhere": func(t *rapid.T) {
			id := gen.Snapshot{Index: rapid.IntRange(1, 4).Draw(t, "index"), Map: rapid.IntRange(1, 2).Draw(t, "map")}
			for _, addr := range addresses {
				m.change(addr, func(r *replica) { r.holds = append(r.holds[len(r.holds)-1:], id) })
			}
		},
		"heal": func(t *rapid.T) {
			id := gen.Snapshot{Index: rapid.IntRange(1, 4).Draw(t, "index"), Map: rapid.IntRange(1, 2).Draw(t, "map")}
			for _, addr := range addresses {
				m.change(addr, func(r *replica) { *r = replica{shard: r.shard, holds: []gen.Snapshot{id}, behaviour: healthy} })
			}
			p.losses.Store(0)
			violations = append(violations, m.checkRecovery(e)...)
		},
		"search": func(t *rapid.T) {
			trade := rapid.SampledFrom([]manifestgen.GrantTrade{partial, fuller, complete}).Draw(t, "trade")
			minimum := rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "minimum")
			violations = append(violations, m.checkSearch(e, search(m.w, trade, minimum, 50*time.Millisecond))...)
		},
		"during": func(t *rapid.T) { // replicas change their snapshot while a search is in flight
			id := gen.Snapshot{Index: rapid.IntRange(1, 4).Draw(t, "index"), Map: rapid.IntRange(1, 2).Draw(t, "map")}
			moving := rapid.SliceOfN(rapid.SampledFrom(addresses), 1, 8).Draw(t, "moving")
			var moved sync.WaitGroup
			moved.Go(func() {
				for _, addr := range moving {
					time.Sleep(500 * time.Microsecond)
					m.change(addr, func(r *replica) { r.holds = []gen.Snapshot{id} })
				}
			})
			violations = append(violations, m.checkSearch(e, search(m.w, partial, 0, 50*time.Millisecond))...)
			moved.Wait()
		},
	})
	time.Sleep(time.Second) // every attempt has ended; a leaked goroutine fails synctest
	return violations
}

// checkRecovery checks that answers are complete again within a few searches once every
// replica is healthy.
func (m *model) checkRecovery(e *gather.Engine) []string {
	const maxSearches = 3
	time.Sleep(observationTTL)
	for range maxSearches {
		out := e.Search(context.Background(), search(m.w, complete, 0, 50*time.Millisecond))
		if out.Kind == caller.OutcomeAnswered {
			return nil
		}
	}
	return []string{"no complete answer in 3 searches although every replica is healthy"}
}

func (m *model) change(addr string, f func(r *replica)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.replicas[addr])
}

// checkSearch runs one search and checks its duration and outcome.
func (m *model) checkSearch(e *gather.Engine, s gather.Search) []string {
	out := e.Search(context.Background(), s)
	var violations []string
	if time.Now().After(s.Deadline) {
		violations = append(violations, "late")
	}
	if w := m.check(s, out); w != "" {
		violations = append(violations, w)
	}
	synctest.Wait()
	return violations
}

// bubble hides the test's Deadline method, which must not be called in fake time.
type bubble struct{ rapid.TB }

var _ = Describe("Engine while replicas change", func() {
	It("answers with documents of one snapshot and with its true coverage", func() {
		synctest.Test(suite, func(tb *testing.T) {
			rapid.Check(bubble{tb}, func(t *rapid.T) {
				for _, w := range fuzz(t) {
					t.Fatal(w)
				}
			})
		})
	})

	DescribeTable("fails the same checks with a mechanism turned off",
		func(off settings.ExperimentDisableElem) {
			var violations []string
			synctest.Test(suite, func(tb *testing.T) {
				rapid.Check(bubble{tb}, func(t *rapid.T) { violations = append(violations, fuzz(t, off)...) })
			})
			Expect(violations).NotTo(BeEmpty())
		},
		Entry("snapshot", settings.ExperimentDisableElemSnapshot),
		Entry("coverage", settings.ExperimentDisableElemCoverage),
	)
})
