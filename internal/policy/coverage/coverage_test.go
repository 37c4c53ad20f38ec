package coverage_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/policy/coverage"
	"github.com/sardinespindle/sardinespindle/internal/policy/snapshot"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
	manifestgen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
	"github.com/sardinespindle/sardinespindle/schema/gen/upstream"
)

func TestCoverage(t *testing.T) { testkit.Run(t, "coverage") }

func partitionMap(names ...string) *manifest.PartitionMap {
	pm := &manifest.PartitionMap{ByName: map[string]*manifestgen.Shard{}}
	for _, n := range names {
		pm.Shards = append(pm.Shards, manifestgen.Shard{Name: manifestgen.Name(n)})
	}
	for i, n := range names {
		pm.ByName[n] = &pm.Shards[i]
	}
	return pm
}

// oracleParts returns the part that holds the most documents for each shard of the map,
// by a search through all parts added.
func oracleParts(added []coverage.Part, pm *manifest.PartitionMap, id snapshot.ID) map[string]coverage.Part {
	fullest := map[string]coverage.Part{}
	for _, p := range added {
		old, ok := fullest[p.Shard]
		if p.Snapshot == id && pm.ByName[p.Shard] != nil && (!ok || p.Held > old.Held) {
			fullest[p.Shard] = p
		}
	}
	return fullest
}

var _ = Describe("Merge", func() {
	It("reports the coverage and the best documents of each snapshot from its own parts alone", func() {
		maps := map[int]*manifest.PartitionMap{
			1: partitionMap("a", "b", "c"),
			2: partitionMap("a", "b1", "b2", "c"),
		}
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var m coverage.Merge
			var added []coverage.Part
			t.Repeat(map[string]func(*rapid.T){
				"add": func(t *rapid.T) {
					p := drawPart(t)
					m.Add(maps[p.Snapshot.Map], p)
					added = append(added, p)
				},
				"repeat": func(t *rapid.T) {
					if len(added) == 0 {
						return
					}
					p := rapid.SampledFrom(added).Draw(t, "again")
					m.Add(maps[p.Snapshot.Map], p)
				},
				"": func(t *rapid.T) {
					for index := 1; index <= 3; index++ {
						for version, pm := range maps {
							id := snapshot.ID{Index: index, Map: version}
							compare(t, &m, pm, id, oracleParts(added, pm, id))
						}
					}
				},
			})
		})
	})
})

func drawPart(t *rapid.T) coverage.Part {
	id := snapshot.ID{
		Index: rapid.IntRange(1, 3).Draw(t, "index"),
		Map:   rapid.IntRange(1, 3).Draw(t, "map"), // map 3 is unknown
	}
	p := coverage.Part{
		Shard:    rapid.SampledFrom([]string{"a", "b", "b1", "b2", "c", "z"}).Draw(t, "shard"),
		Snapshot: id,
		Held:     rapid.IntRange(0, 3).Draw(t, "held"),
	}
	for range p.Held {
		p.Documents = append(p.Documents, upstream.Document{
			Id:    fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "doc")),
			Score: float64(rapid.IntRange(0, 3).Draw(t, "score")),
			Body:  fmt.Sprint(id),
		})
	}
	return p
}

func compare(t *rapid.T, m *coverage.Merge, pm *manifest.PartitionMap, id snapshot.ID, want map[string]coverage.Part) {
	got := m.Report(id, pm, func(string) (int, bool) { return 0, false })
	docs := 0
	best := map[string]float64{}
	for _, p := range want {
		docs += p.Held
		for _, d := range p.Documents {
			if s, ok := best[d.Id]; !ok || d.Score > s {
				best[d.Id] = d.Score
			}
		}
	}
	if got.ShardsTotal != len(pm.Shards) || got.ShardsCovered != len(want) || got.DocumentsCovered != docs ||
		got.Complete != (len(want) == len(pm.Shards)) {
		t.Fatalf("%v: coverage %+v, want %d shards of %d, %d documents", id, got, len(want), len(pm.Shards), docs)
	}
	for _, name := range got.Missing {
		if _, there := want[name]; there || pm.ByName[name] == nil {
			t.Fatalf("%v: shard %s is reported missing but is covered or not of the map", id, name)
		}
	}
	const limit = 4
	top := m.Top(id, limit)
	if len(top) != min(limit, len(best)) {
		t.Fatalf("%v: %d top documents from %d distinct ones", id, len(top), len(best))
	}
	for i, d := range top {
		if d.Body != fmt.Sprint(id) {
			t.Fatalf("%v: document of another snapshot: %s", id, d.Body)
		}
		if d.Score != best[d.Id] {
			t.Fatalf("%v: document %s scored %v, want %v", id, d.Id, d.Score, best[d.Id])
		}
		delete(best, d.Id)
		if i > 0 && (top[i-1].Score < d.Score || top[i-1].Score == d.Score && top[i-1].Id >= d.Id) {
			t.Fatalf("%v: documents out of order: %v", id, top)
		}
	}
	for doc, score := range best {
		if last := len(top) - 1; len(top) == limit && score > top[last].Score {
			t.Fatalf("%v: document %s has a better score but is left out", id, doc)
		}
	}
	if slices.Contains(got.Missing, "z") {
		t.Fatalf("shard z, which is in no partition map, is reported missing")
	}
}

var _ = Describe("ShardCounts", func() {
	v := snapshot.ID{Index: 1, Map: 1}
	count := func(address string, held int) coverage.Count {
		return coverage.Count{Snapshot: v, Address: address, Held: held, Replicas: 2}
	}

	It("finds a reply incomplete if it reports fewer documents than an earlier one, as a replica that is still loading does", func() {
		var h coverage.ShardCounts
		Expect(h.Record(count("a", 9), 0)).To(Equal(coverage.Complete))
		Expect(h.Record(count("b", 0), 1)).To(Equal(coverage.Incomplete))
		Expect(h.Record(count("b", 8), 2)).To(Equal(coverage.Incomplete))
		Expect(h.Record(count("b", 9), 3)).To(Equal(coverage.Complete))
		n, known := h.Held(v, 4)
		Expect(known).To(BeTrue())
		Expect(n).To(Equal(9))
	})

	It("leaves an empty shard unconfirmed until a second replica reports no documents either", func() {
		var h coverage.ShardCounts
		Expect(h.Record(count("a", 0), 0)).To(Equal(coverage.Unconfirmed))
		Expect(h.Record(count("a", 0), 1)).To(Equal(coverage.Unconfirmed))
		_, known := h.Held(v, 1)
		Expect(known).To(BeFalse())
		Expect(h.Record(count("b", 0), 2)).To(Equal(coverage.Complete))
		Expect(h.Record(count("a", 0), 3)).To(Equal(coverage.Complete))
	})

	It("leaves a count unconfirmed if another index version has more than twice as many documents", func() {
		var h coverage.ShardCounts
		Expect(h.Record(count("a", 100), 0)).To(Equal(coverage.Complete))
		next := coverage.Count{Snapshot: snapshot.ID{Index: 2, Map: 1}, Address: "b", Held: 49, Replicas: 1}
		Expect(h.Record(next, time.Second)).To(Equal(coverage.Unconfirmed))
		next.Held = 101
		Expect(h.Record(next, time.Second)).To(Equal(coverage.Complete))
	})

	It("finds a reply incomplete if it returns more documents than the replica reports to hold", func() {
		var h coverage.ShardCounts
		Expect(h.Record(coverage.Count{Snapshot: v, Address: "a", Held: 1, Returned: 2}, 0)).To(Equal(coverage.Incomplete))
	})
})
