package snapshot_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sardinespindle/sardinespindle/internal/policy/snapshot"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

func TestSnapshot(t *testing.T) { testkit.Run(t, "snapshot") }

var _ = Describe("Shard", func() {
	v5, v6 := snapshot.ID{Index: 5, Map: 1}, snapshot.ID{Index: 6, Map: 1}

	It("reports that a replica lacks a snapshot newer than the one it served as its newest", func() {
		var s snapshot.Shard
		s.Record("a", nil, v6, 0)
		s.Record("a", nil, v5, 1)
		Expect(s.Knowledge("a", v6, 2)).To(Equal(snapshot.Lacks))
		Expect(s.Knowledge("a", v5, 2)).To(Equal(snapshot.Holds))
		Expect(s.Knowledge("b", v6, 2)).To(Equal(snapshot.Unknown))
	})

	It("reports that a replica lacks a snapshot that it did not serve on request, until that observation expires", func() {
		var s snapshot.Shard
		s.Record("a", &v5, v6, 0)
		Expect(s.Knowledge("a", v5, 1)).To(Equal(snapshot.Lacks))
		Expect(s.Knowledge("a", v5, time.Minute)).To(Equal(snapshot.Unknown))
		Expect(s.Knowledge("a", v6, time.Minute)).To(Equal(snapshot.Unknown))
	})
})

// A replica that reports ever new snapshots must not displace those that many shards serve.
var _ = Describe("Tally", func() {
	It("keeps every snapshot that more than 1 in TallySize+1 additions name", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			offered := rapid.SliceOfN(rapid.IntRange(0, 40), 1, 200).Draw(t, "named")
			var tally snapshot.Tally
			count := map[snapshot.ID]int{}
			for _, index := range offered {
				id := snapshot.ID{Index: index, Map: 1}
				tally.Add(id)
				count[id]++
			}
			kept := tally.IDs(nil)
			for id, n := range count {
				if n*(snapshot.TallySize+1) > len(offered) && !slices.Contains(kept, id) {
					t.Fatalf("%v, named %d times of %d, is not kept", id, n, len(offered))
				}
			}
		})
	})
})

var _ = Describe("Best", func() {
	It("returns the snapshot with the largest share of shards, then the newest, never one of an unknown map", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			totals := map[int]int{1: 3, 2: 5}
			covered := map[snapshot.ID]int{}
			var ids []snapshot.ID
			for range rapid.IntRange(0, 6).Draw(t, "ids") {
				id := snapshot.ID{Index: rapid.IntRange(1, 3).Draw(t, "index"), Map: rapid.IntRange(1, 3).Draw(t, "map")}
				if slices.Contains(ids, id) {
					continue
				}
				ids = append(ids, id)
				covered[id] = rapid.IntRange(1, 3).Draw(t, "have")
			}
			best, ok := snapshot.Best(ids, func(id snapshot.ID) (snapshot.Score, bool) {
				n, known := totals[id.Map]
				return snapshot.Score{Total: n, Replied: covered[id], Likely: covered[id], Possible: covered[id]}, known
			})
			share := func(id snapshot.ID) float64 { return float64(covered[id]) / float64(totals[id.Map]) }
			for _, id := range ids {
				if totals[id.Map] == 0 {
					continue
				}
				if !ok || share(id) > share(best) || share(id) == share(best) && snapshot.Newer(id, best) {
					t.Fatalf("%v is better than %v", id, best)
				}
			}
			if ok && totals[best.Map] == 0 {
				t.Fatalf("%v has an unknown map", best)
			}
		})
	})
})
