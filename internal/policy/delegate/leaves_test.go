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

var _ = Describe("Groups", func() {
	It("hold each shard and each gatherer once, alike for every order of the names", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			shards := numbered("s", rapid.IntRange(1, 300).Draw(t, "shards"))
			gatherers := numbered("vm", rapid.IntRange(1, 40).Draw(t, "gatherers"))
			groups := delegate.Groups(shards, gatherers, 1)
			shuffled := rapid.Permutation(gatherers).Draw(t, "order")
			again := delegate.Groups(shards, shuffled, 1)
			if len(groups) != len(again) {
				t.Fatalf("%d groups and %d", len(groups), len(again))
			}
			var allShards, allLeaves []string
			for i, g := range groups {
				if !slices.Equal(g.Shards, again[i].Shards) || !slices.Equal(g.Leaves, again[i].Leaves) {
					t.Fatalf("group %d depends on the order of the names", i)
				}
				if len(g.Leaves) == 0 {
					t.Fatalf("group %d has no leaf", i)
				}
				allShards, allLeaves = append(allShards, g.Shards...), append(allLeaves, g.Leaves...)
			}
			if len(groups) == 0 {
				return
			}
			slices.Sort(allShards)
			slices.Sort(allLeaves)
			want, wantLeaves := slices.Sorted(slices.Values(shards)), slices.Sorted(slices.Values(gatherers))
			if !slices.Equal(allShards, want) || !slices.Equal(allLeaves, wantLeaves) {
				t.Fatal("a shard or a gatherer is missing, or in two groups")
			}
		})
	})

	It("are not made for few shards, one gatherer, or a zone without replicas of some shards", func() {
		Expect(delegate.Groups(numbered("s", 20), numbered("vm", 9), 1)).To(BeNil())
		Expect(delegate.Groups(numbered("s", 180), numbered("vm", 1), 1)).To(BeNil())
		Expect(delegate.Groups(numbered("s", 180), numbered("vm", 3), 0.6)).To(BeNil())
		Expect(delegate.Groups(numbered("s", 180), numbered("vm", 3), 1)).To(HaveLen(3))
		Expect(delegate.Groups(numbered("s", 180), numbered("vm", 20), 1)).To(HaveLen(7))
	})

	// Load pattern: 48 searches a second of 180 shards, spread over three zones with three
	// gatherers of 0.8 cores each; the short kind has an objective of 80 ms, of which 30 ms go to
	// the work of upstreams and 15 ms to the way back. And its small twin: 2.5 searches a second
	// over three zones with four VMs of 0.12 cores each, with an objective of 200 ms.
	It("divide the processor time of a search so that it fits into the objective", func() {
		rng := rand.New(rand.NewPCG(uint64(testkit.Seed()), 1))
		p90 := func(vms int, cores, perSecond float64, shards int, grouped bool) time.Duration {
			leaves := make([]*leafModel, vms)
			for i := range leaves {
				leaves[i] = &leafModel{cores: cores}
			}
			l := latencies(leaves, perSecond, func() []int {
				if !grouped {
					return []int{shards}
				}
				var sizes []int
				for _, g := range delegate.Groups(numbered("s", shards), numbered("vm", vms), 1) {
					sizes = append(sizes, len(g.Shards))
				}
				return sizes
			}, rng)
			return l[len(l)*9/10]
		}
		Expect(p90(3, 0.8, 16, 180, true)).To(BeNumerically("<", 35*time.Millisecond))
		Expect(p90(3, 0.8, 16, 180, false)).To(BeNumerically(">", 35*time.Millisecond))
		Expect(p90(4, 0.12, 0.84, 180, true)).To(BeNumerically("<", 140*time.Millisecond))
		Expect(p90(4, 0.12, 0.84, 180, false)).To(BeNumerically(">", 200*time.Millisecond))
	})
})
