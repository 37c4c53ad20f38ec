package delegate_test

import (
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/policy/delegate"
)

// Load pattern: VMs of an earlier build are replaced one after the other; they run searches by versions of their
// own, so that the new ones must not ask them.
var _ = Describe("Gatherers while VMs of an earlier build are replaced", func() {
	const size, limit = 98, 84
	fleet := func(replaced int) []delegate.VM {
		vms := make([]delegate.VM, size)
		for i := range vms {
			vms[i] = delegate.VM{Name: fmt.Sprintf("vm-%d", i), Zone: fmt.Sprintf("z%d", i%3), Capacity: 0.2, ByVersion: i < replaced}
		}
		return vms
	}
	able := func(vms []delegate.VM) (n int) {
		for _, vm := range vms {
			if vm.ByVersion {
				n++
			}
		}
		return n
	}

	It("are at least as large a share of the new VMs as of the fleet", func() {
		for replaced := 1; replaced <= size; replaced++ {
			vms := fleet(replaced)
			usual := delegate.Gatherers(vms, limit, false)
			got := delegate.AddByVersion(usual, vms, vms, false)
			Expect(able(got)*size).To(BeNumerically(">=", len(usual)*replaced), "%d replaced", replaced)
			Expect(got[:len(usual)]).To(Equal(usual))
			Expect(len(got)-len(usual)).To(BeNumerically("<=", len(usual)/2), "%d replaced: connections are limited", replaced)
		}
	})

	It("are the usual ones before and afterwards", func() {
		for _, replaced := range []int{0, size} {
			vms := fleet(replaced)
			usual := delegate.Gatherers(vms, limit, false)
			Expect(delegate.AddByVersion(usual, vms, vms, false)).To(Equal(usual))
		}
	})

	// A new VM that is cut from all upstreams gathers for no other.
	It("reach upstreams", func() {
		vms := fleet(40)
		usual := delegate.Gatherers(vms, limit, false)
		cutOff := func(vm delegate.VM) bool { return vm.ByVersion && slices.Contains(usual, vm) }
		reaching := slices.DeleteFunc(slices.Clone(vms), cutOff)
		Expect(len(reaching)).To(BeNumerically("<", size), "some of the usual ones are new")
		added := delegate.AddByVersion(usual, vms, reaching, false)[len(usual):]
		Expect(added).NotTo(BeEmpty())
		Expect(added).To(HaveEach(HaveField("ByVersion", true)))
	})

	// Load pattern: a zone is evacuated in the middle of an upgrade. VMs of the build before this one
	// run searches by version, but send on to the zone.
	It("include VMs that know evacuations while a zone is evacuated", func() {
		for replaced := 1; replaced < size; replaced++ {
			vms := fleet(size)
			for i := range replaced {
				vms[i].KnowsEvacuations = true
			}
			usual := delegate.Gatherers(vms, limit, false)
			Expect(delegate.AddByVersion(usual, vms, vms, false)).To(Equal(usual), "no zone is evacuated")
			n := 0
			for _, vm := range delegate.AddByVersion(usual, vms, vms, true) {
				if vm.RunsSearches(true) {
					n++
				}
			}
			Expect(n*size).To(BeNumerically(">=", len(usual)*replaced), "%d replaced", replaced)
		}
	})
})

// Load pattern: 146 VMs return from a loss of power at once, six of them able. Those that gather waited a
// second before they opened connections, and the first searches waited for 135 dials each.
var _ = Describe("A VM that knows only some of the others", func() {
	able := delegate.VM{Name: "able", Capacity: 0.8}
	small := delegate.VM{Name: "small", Capacity: 0.134}
	show := func(self delegate.VM, known ...delegate.VM) bool {
		return delegate.ShowsAble(self, known, delegate.Gatherers(known, 109, true))
	}
	It("knows that it gathers once it knows a much smaller VM", func() {
		Expect(show(able, able)).To(BeFalse())
		Expect(show(able, able, small)).To(BeTrue())
	})
	It("does not know it among VMs of its own capacity, nor beside larger ones", func() {
		Expect(show(small, small, delegate.VM{Name: "other", Capacity: 0.134})).To(BeFalse())
		Expect(show(small, small, able)).To(BeFalse())
		tiny := delegate.VM{Name: "tiny", Capacity: 0.05}
		Expect(show(small, small, able, tiny)).To(BeFalse())
	})
})
