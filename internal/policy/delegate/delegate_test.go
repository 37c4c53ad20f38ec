package delegate_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/policy/delegate"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

func TestDelegate(t *testing.T) { testkit.Run(t, "delegate") }

var _ = Describe("ChooseZone", func() {
	one := []string{"x"}
	DescribeTable("returns the zone whose gatherers are nearest to the shards",
		func(own string, near map[string]float64, gatherers map[string][]string, want string, ok bool) {
			zone, found := delegate.ChooseZone(own, near, gatherers, func() float64 { return 0 })
			Expect(found).To(Equal(ok))
			Expect(zone).To(Equal(want))
		},
		Entry("no replica in the own zone: the nearest other zone", "c", map[string]float64{"a": 1, "b": 1}, map[string][]string{"a": one, "b": one, "c": one}, "a", true),
		Entry("replicas of all shards in the own zone: the own zone", "b", map[string]float64{"a": 1, "b": 1}, map[string][]string{"a": one, "b": one}, "b", true),
		Entry("another zone is near few more shards: the own zone", "a", map[string]float64{"a": 0.7, "b": 1}, map[string][]string{"a": one, "b": one}, "a", true),
		Entry("no gatherer in the own zone: another zone", "a", map[string]float64{"a": 1, "b": 0.5}, map[string][]string{"a": nil, "b": one}, "b", true),
		Entry("no gatherer in any zone: none", "a", map[string]float64{"a": 1}, map[string][]string{}, "", false),
	)
})

// As in the deployment kervan-iade-grown: all shards have replicas in three of five zones,
// and a third of the searches starts in each of the two others. Without a random
// choice the searches of those two would all load the replicas of one zone.
var _ = Describe("ChooseZone from a zone without replicas", func() {
	It("spreads the searches over the equally near zones", func() {
		near := map[string]float64{"a": 1, "b": 0.98, "c": 0.95}
		gatherers := map[string][]string{"a": {"1"}, "b": {"2"}, "c": {"3"}, "d": {"4"}}
		counts := map[string]int{}
		rng := rand.New(rand.NewPCG(1, 1))
		for range 300 {
			zone, ok := delegate.ChooseZone("d", near, gatherers, rng.Float64)
			Expect(ok).To(BeTrue())
			counts[zone]++
		}
		Expect(counts).To(And(HaveLen(3), HaveKeyWithValue("a", BeNumerically("<", 150))))
	})
})

var _ = Describe("Sources", func() {
	vms := []delegate.VM{
		{Name: "a1", Zone: "a", Capacity: 4}, {Name: "a2", Zone: "a", Capacity: 1}, {Name: "a3", Zone: "a", Capacity: 0.5},
		{Name: "b1", Zone: "b", Capacity: 3}, {Name: "b2", Zone: "b", Capacity: 0.9}, {Name: "b3", Zone: "b", Capacity: 0.8},
		{Name: "c1", Zone: "c", Capacity: 2}, {Name: "c2", Zone: "c", Capacity: 1.5}, {Name: "c3", Zone: "c", Capacity: 0.1},
	}
	DescribeTable("returns the other readers, those of the own zone first, and whether the VM is a reader",
		func(name, zone string, want []string, reads bool) {
			got := delegate.ChooseSources(delegate.VM{Name: name, Zone: zone}, vms)
			Expect(got).To(Equal(delegate.Sources{ReadsStore: reads, VMs: want}))
		},
		Entry("a reader: the other reader", "a1", "a", []string{"b1"}, true),
		Entry("the largest VM of a zone without a reader: both readers", "c1", "c", []string{"a1", "b1"}, false),
		Entry("a VM of the second reader's zone: that reader first", "b2", "b", []string{"b1", "a1"}, false),
		Entry("the smallest VM of a zone without a reader: both readers", "c3", "c", []string{"a1", "b1"}, false),
		Entry("a VM of the first reader's zone: that reader first", "a3", "a", []string{"a1", "b1"}, false),
		Entry("the only VM of its zone: both readers", "d1", "d", []string{"a1", "b1"}, false),
	)
})

// Load pattern: 295 VMs in five zones. When each pulled from a reader itself, two readers sent
// each change to 147 VMs, four fifths of them in other zones.
var _ = Describe("Sources in a large fleet", func() {
	var vms []delegate.VM
	for i := range 295 {
		vm := delegate.VM{Name: fmt.Sprintf("vm-%d", i), Zone: fmt.Sprintf("z%d", i%5), Capacity: 0.192}
		if i < 15 {
			vm.Capacity = 0.8
		}
		vms = append(vms, vm)
	}
	It("let each VM learn from a relay of its zone or a reader, with a few pulls across zones", func() {
		zones, served := map[string]string{}, map[string]int{}
		for _, vm := range vms {
			zones[vm.Name] = vm.Zone
		}
		readers, across := 0, 0
		for _, vm := range vms {
			s := delegate.ChooseSources(vm, vms)
			if s.ReadsStore {
				readers++
				continue
			}
			Expect(s.VMs).NotTo(ContainElement(vm.Name))
			served[s.VMs[0]]++
			if zones[s.VMs[0]] != vm.Zone {
				across++
			}
			if s.Relayed {
				relay := delegate.ChooseSources(delegate.VM{Name: s.VMs[0], Zone: vm.Zone}, vms)
				Expect(relay.Relayed).To(BeFalse(), "a relay pulls from a reader")
			}
			Expect(len(s.VMs)).To(BeNumerically(">=", 2), "another source is left if the first is lost")
		}
		Expect(readers).To(Equal(2))
		Expect(across).To(BeNumerically("<=", 10))
		for _, n := range served {
			Expect(n).To(BeNumerically("<", 70))
		}
	})
})

var _ = Describe("Gatherers", func() {
	fleet := func(small, large int) []delegate.VM {
		var vms []delegate.VM
		for i := range small + large {
			vm := delegate.VM{Name: fmt.Sprintf("vm-%d", i), Capacity: 0.1}
			if i < large {
				vm.Capacity = 0.8
			}
			vms = append(vms, vm)
		}
		return vms
	}
	// Load pattern: all VMs return at once. A VM that knew 20 of 295 took all of them for
	// gatherers, as 46 may gather, and small VMs opened connections to 540 upstreams.
	It("returns the able VMs only while a VM may know only some", func() {
		Expect(delegate.Gatherers(fleet(17, 3), 175, true)).To(HaveLen(3))
		Expect(delegate.Gatherers(fleet(17, 3), 175, false)).To(HaveLen(20))
		Expect(delegate.Gatherers(fleet(5, 0), 175, true)).To(HaveLen(5))
		Expect(delegate.Gatherers(nil, 175, true)).To(BeEmpty())
	})

	It("returns all VMs while each may hold enough connections", func() {
		Expect(delegate.Gatherers(fleet(14, 0), 58, false)).To(HaveLen(14))
	})
	It("returns only the large VMs when the connections are too few for all", func() {
		Expect(delegate.Gatherers(fleet(92, 6), 84, false)).To(HaveLen(6))
	})
	It("returns as many VMs of equal capacity as the connections allow", func() {
		Expect(delegate.Gatherers(fleet(300, 0), 58, false)).To(HaveLen(15))
	})
	It("returns small VMs when there are no large ones", func() {
		Expect(delegate.Gatherers(fleet(92, 0), 84, false)).To(HaveLen(22))
	})
	It("stay gatherers while they reach no upstream, beside the able VMs that do if none of them is left", func() {
		vms := fleet(92, 6)
		able, small := vms[:6], vms[6:]
		Expect(delegate.ChooseGatherers(vms, append(slices.Clone(small), able[0]), 84, false)).To(ConsistOf(able))
		got := delegate.ChooseGatherers(vms, small, 84, false)
		Expect(got).To(HaveLen(6 + 22))
		Expect(got).To(ContainElements(able))
		Expect(delegate.ChooseGatherers(vms, nil, 84, false)).To(ConsistOf(able))
	})
	It("returns at least one VM however few the connections", func() {
		Expect(delegate.Gatherers(fleet(5, 0), 1, false)).To(HaveLen(1))
	})
})

var _ = Describe("Choose", func() {
	It("excludes a VM that failed, for longer with each failure until it replies", func() {
		peers := make([]delegate.Peer, 1)
		half := func() float64 { return 0.5 }
		Expect(delegate.Choose(peers, 0, half)).To(Equal(0))
		peers[0].Failed(0)
		Expect(delegate.Choose(peers, 500*time.Millisecond, half)).To(Equal(-1))
		Expect(delegate.Choose(peers, time.Second, half)).To(Equal(0))
		peers[0].Failed(time.Second)
		Expect(delegate.Choose(peers, 2500*time.Millisecond, half)).To(Equal(-1))
		peers[0].Replied()
		peers[0].Failed(10 * time.Second)
		Expect(delegate.Choose(peers, 11*time.Second, half)).To(Equal(0))
	})
	// Load pattern: a gatherer stands still for half a second while six searches wait for it.
	It("excludes a VM once for all requests that were under way when it failed, and not after a reply", func() {
		peers := make([]delegate.Peer, 1)
		half := func() float64 { return 0.5 }
		for i := range 6 {
			peers[0].Failed(time.Duration(i) * 20 * time.Millisecond)
		}
		Expect(delegate.Choose(peers, time.Second, half)).To(Equal(0))
		peers[0].Failed(2 * time.Second)
		peers[0].Replied()
		Expect(delegate.Choose(peers, 2100*time.Millisecond, half)).To(Equal(0), "it is alive")
	})
	// Load pattern: three of four VMs of a zone lose their path, and each passes its callers' work on.
	It("keeps as much of the work of stranded VMs in their zone as it has VMs left", func() {
		rng := rand.New(rand.NewPCG(1, 1))
		stays := 0
		for range 1000 {
			if delegate.StaysInZone(1, 4, rng.Float64()) {
				stays++
			}
		}
		Expect(stays).To(BeNumerically("~", 250, 50))
		Expect(delegate.StaysInZone(0, 4, 0)).To(BeFalse())
		Expect(delegate.StaysInZone(4, 4, 0.999)).To(BeTrue())
		Expect(delegate.StaysInZone(0, 0, 0.5)).To(BeFalse())
	})
	It("returns the VM whose exclusion ends first as a last resort", func() {
		peers := make([]delegate.Peer, 2)
		peers[0].Failed(time.Second)
		peers[1].Failed(900 * time.Millisecond)
		Expect(delegate.LastResort(peers)).To(Equal(1))
		Expect(delegate.LastResort(nil)).To(Equal(-1))
	})
	It("returns the one with fewer searches in flight of the two drawn", func() {
		peers := []delegate.Peer{{InFlight: 5}, {InFlight: 1}}
		at := []float64{0.1, 0.9}
		i := 0
		Expect(delegate.Choose(peers, 0, func() float64 { i++; return at[(i-1)%2] })).To(Equal(1))
	})
})

var _ = Describe("SearchCoverage", func() {
	It("forbids splitting after one late search, and allows it again after a series of complete ones", func() {
		var c delegate.SearchCoverage
		Expect(c.AllowsSplit()).To(BeTrue())
		c.Record(20, 20, true)
		Expect(c.AllowsSplit()).To(BeFalse())
		for range 30 {
			c.Record(20, 20, false)
		}
		Expect(c.AllowsSplit()).To(BeTrue())
	})
	It("allows splitting while one search in ten misses one shard of twenty", func() {
		var c delegate.SearchCoverage
		for i := range 60 {
			missing := 0
			if i%10 == 0 {
				missing = 1
			}
			c.Record(20-missing, 20, false)
			Expect(c.AllowsSplit()).To(BeTrue())
		}
	})
})

var _ = Describe("Split", func() {
	gatherers := map[string][]string{"b": {"x"}, "c": {"y"}}
	near := map[string][]string{"near": {"a"}, "few": {"b"}, "nobody": {"d"}}
	wide := []string{}
	for i := range 14 {
		wide = append(wide, fmt.Sprintf("s%d", i))
		near[wide[i]] = []string{"c"}
	}
	near["s0"] = []string{"b", "c"}
	It("keeps shards with a replica in the own zone, shards without one in a zone with gatherers and groups that are too small, and delegates the rest to few zones", func() {
		here, byZone := delegate.Split("a", append([]string{"near", "few", "nobody"}, wide...), near, gatherers)
		Expect(here).To(ConsistOf("near", "few", "nobody"))
		Expect(byZone).To(Equal(map[string][]string{"c": wide}))
	})
})
