package delegate_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sardinespindle/sardinespindle/internal/policy/delegate"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

func numbered(prefix string, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("%s%d", prefix, i)
	}
	return out
}

// Costs of the model: what a VM of one core spends on a sub-request with its reply and on a
// part with its merge, as seen on the users' bench.
const (
	subRequestCPU = 150 * time.Microsecond
	partCPU       = 400 * time.Microsecond
)

// leafModel is a VM that works off its searches in the order of their arrival.
type leafModel struct {
	cores float64
	free  time.Duration // when it has worked off what it has
}

// run returns when the leaf has handled all replies of a part with n shards.
func (l *leafModel) run(at time.Duration, n int) time.Duration {
	l.free = max(l.free, at) + time.Duration(float64(partCPU+time.Duration(n)*subRequestCPU)/l.cores)
	return l.free
}

// latencies plays searches at the given rate for a minute, divided into parts of the sizes
// that divide returns, each on one of the leaves, and returns their processing times in order.
func latencies(leaves []*leafModel, perSecond float64, divide func() []int, rng *rand.Rand) []time.Duration {
	var out []time.Duration
	for at := time.Duration(0); at < time.Minute; at += time.Duration(rng.ExpFloat64() * float64(time.Second) / perSecond) {
		var last time.Duration
		first := rng.IntN(len(leaves))
		for i, n := range divide() {
			last = max(last, leaves[(first+i)%len(leaves)].run(at, n))
		}
		out = append(out, last-at)
	}
	slices.Sort(out)
	return out
}

// spread places three replicas of each shard in the zones, in turn.
func spread(shards, zones []string) map[string][]string {
	near := map[string][]string{}
	for i, shard := range shards {
		for r := range min(3, len(zones)) {
			near[shard] = append(near[shard], zones[(i+r)%len(zones)])
		}
	}
	return near
}

var _ = Describe("Groups", func() {
	It("hold each shard once, alike for every order of the names, mostly near its replicas", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			zones := numbered("z", rapid.IntRange(1, 6).Draw(t, "zones"))
			shards := numbered("s", rapid.IntRange(1, 300).Draw(t, "shards"))
			near := spread(shards, zones)
			gatherers, shuffled := map[string][]string{}, map[string][]string{}
			zoneOf := map[string]string{}
			for _, z := range zones {
				names := numbered(z+"-vm", rapid.IntRange(0, 12).Draw(t, "gatherers"))
				gatherers[z], shuffled[z] = names, rapid.Permutation(names).Draw(t, "order")
				for _, name := range names {
					zoneOf[name] = z
				}
			}
			own := rapid.SampledFrom(zones).Draw(t, "own zone")
			groups, again := delegate.Groups(own, shards, near, gatherers), delegate.Groups(own, shards, near, shuffled)
			if len(groups) != len(again) {
				t.Fatalf("%d groups and %d", len(groups), len(again))
			}
			var all []string
			far := 0
			leafOf := map[string]bool{}
			for _, g := range groups {
				if len(g.Leaves) == 0 || len(g.Shards) == 0 {
					t.Fatal("a group without leaves or shards")
				}
				for _, leaf := range g.Leaves {
					if leafOf[leaf] {
						t.Fatalf("%s is in two groups", leaf)
					}
					leafOf[leaf] = true
				}
				for _, shard := range g.Shards {
					if !slices.Contains(near[shard], zoneOf[g.Leaves[0]]) {
						far++
					}
				}
				all = append(all, g.Shards...)
			}
			if len(groups) == 0 {
				return
			}
			slices.Sort(all)
			if !slices.Equal(all, slices.Sorted(slices.Values(shards))) {
				t.Fatal("a shard is missing, or in two groups")
			}
			reachable := 0
			for _, shard := range shards {
				if slices.ContainsFunc(near[shard], func(z string) bool { return len(gatherers[z]) > 0 }) {
					reachable++
				}
			}
			if far > len(shards)-reachable+12 {
				t.Fatalf("%d of %d shards far from their replicas", far, len(shards))
			}
		})
	})

	It("are not made for few shards or one gatherer", func() {
		one := map[string][]string{"a": {"vm"}}
		shards := numbered("s", 180)
		Expect(delegate.Groups("a", shards, spread(shards, []string{"a"}), one)).To(BeNil())
		three := map[string][]string{"a": numbered("a", 9)}
		Expect(delegate.Groups("a", shards[:20], spread(shards, []string{"a"}), three)).To(BeNil())
		Expect(delegate.Groups("a", shards, spread(shards, []string{"a"}), three)).To(HaveLen(7))
	})

	It("take zones far from the caller where the own zone has no gatherer left", func() {
		shards := numbered("s", 180)
		zones := []string{"a", "b", "c", "d", "e"}
		gatherers := map[string][]string{"b": numbered("b", 3), "d": numbered("d", 3)}
		groups := delegate.Groups("a", shards, spread(shards, zones), gatherers)
		Expect(len(groups)).To(BeNumerically(">=", 4))
	})

	// Load pattern: 48 searches a second of 180 shards, whose replicas are in three of five zones
	// each, over 15 gatherers of 0.8 cores; the short kind has an objective of 80 ms, of which 30
	// ms go to the work of upstreams and 15 ms to the way back. And the small twin: 2.5 searches a
	// second over 19 VMs of 0.12 cores, with an objective of 200 ms.
	It("divide the processor time of a search so that it fits into the objective", func() {
		rng := rand.New(rand.NewPCG(uint64(testkit.Seed()), 1))
		zones := []string{"a", "b", "c", "d", "e"}
		shards := numbered("s", 180)
		p90 := func(perZone int, cores, perSecond float64, grouped bool) time.Duration {
			gatherers := map[string][]string{}
			for _, z := range zones {
				gatherers[z] = numbered(z, perZone)
			}
			leaves := make([]*leafModel, perZone*len(zones))
			for i := range leaves {
				leaves[i] = &leafModel{cores: cores}
			}
			l := latencies(leaves, perSecond, func() []int {
				if !grouped {
					return []int{len(shards)}
				}
				var sizes []int
				for _, g := range delegate.Groups(zones[rng.IntN(5)], shards, spread(shards, zones), gatherers) {
					sizes = append(sizes, len(g.Shards))
				}
				return sizes
			}, rng)
			return l[len(l)*9/10]
		}
		Expect(p90(3, 0.8, 48, true)).To(BeNumerically("<", 35*time.Millisecond))
		Expect(p90(3, 0.8, 48, false)).To(BeNumerically(">", 35*time.Millisecond))
		Expect(p90(4, 0.12, 2.5, true)).To(BeNumerically("<", 140*time.Millisecond))
		Expect(p90(4, 0.12, 2.5, false)).To(BeNumerically(">", 200*time.Millisecond))
	})
})
