package connbudget_test

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sardinespindle/sardinespindle/internal/policy/connbudget"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

func TestConnbudget(t *testing.T) { testkit.Run(t, "connbudget") }

func names(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("vm-%d", i)
	}
	return out
}

// totalConnections returns the connections that a fleet opens when each VM's view misses
// a random number of other VMs, at most missed.
func totalConnections(t *rapid.T, all []string, limit, missed int, address string) int {
	total := 0
	for i, self := range all {
		miss := rapid.IntRange(0, missed).Draw(t, "missed")
		from := rapid.IntRange(0, len(all)-1).Draw(t, "from")
		hidden := map[int]bool{}
		for k := 0; len(hidden) < miss && k < len(all); k++ {
			if j := (from + k) % len(all); j != i {
				hidden[j] = true
			}
		}
		var view []string
		for j, m := range all {
			if !hidden[j] {
				view = append(view, m)
			}
		}
		total += connbudget.Connections(limit, len(view), address, self, view)
	}
	return total
}

var _ = Describe("Connections", func() {
	It("keeps the fleet within the limit while views miss up to Margin VMs", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			n := rapid.IntRange(1, 24).Draw(t, "vms")
			limit := rapid.IntRange(n+n/2+1, 300).Draw(t, "limit")
			missed := connbudget.Margin(n * 4 / 5) // the margin of the smallest view
			if total := totalConnections(t, names(n), limit, min(missed, n-1), "10.0.0.1:80"); total > limit {
				t.Fatalf("%d connections of %d with %d VMs", total, limit, n)
			}
		})
	})

	It("keeps the fleet within the limit where VMs outnumber connections", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			n := rapid.IntRange(10, 50).Draw(t, "vms")
			limit := rapid.IntRange(1, n*3/2).Draw(t, "limit")
			missed := min(max(limit-connbudget.MaxHolders(limit, n), 0), connbudget.Margin(n*4/5))
			address := fmt.Sprintf("10.0.0.%d:80", rapid.IntRange(0, 255).Draw(t, "address"))
			if total := totalConnections(t, names(n), limit, missed, address); total > limit {
				t.Fatalf("%d connections of %d with %d VMs", total, limit, n)
			}
		})
	})

	It("uses most of the limit and spreads the connections evenly over the VMs", func() {
		Expect(connbudget.Share(60, 16)).To(Equal(3))
		Expect(connbudget.Share(250, 16)).To(Equal(12))
		all := names(100)
		held := map[string]int{}
		for u := range 60 {
			address := fmt.Sprintf("10.0.%d.1:80", u)
			total := 0
			for _, vm := range all {
				got := connbudget.Connections(60, len(all), address, vm, all)
				held[vm] += got
				total += got
			}
			Expect(total).To(Equal(connbudget.MaxHolders(60, 100)))
		}
		for _, n := range held {
			Expect(n).To(BeNumerically("~", 24, 16)) // 40 of 100 VMs for each of 60 upstreams
		}
	})

	// Load pattern: an upstream accepts fewer connections than there are VMs, and all VMs get requests for it.
	It("names the VMs that hold connections, if not all do", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			all := names(rapid.IntRange(2, 60).Draw(t, "vms"))
			vms := len(all) + rapid.IntRange(0, 1).Draw(t, "unnamed")
			limit := rapid.IntRange(1, 100).Draw(t, "limit")
			var holding []string
			for _, vm := range all {
				if connbudget.Connections(limit, vms, "a", vm, all) > 0 {
					holding = append(holding, vm)
				}
			}
			if connbudget.Share(limit, vms) > 0 {
				holding = nil
			}
			got := connbudget.Holders(limit, vms, "a", all)
			slices.Sort(got)
			slices.Sort(holding)
			if !slices.Equal(got, holding) {
				t.Fatalf("Holders %v, with connections %v", got, holding)
			}
		})
	})

	It("assumes DefaultFleetSize VMs while the VM list is unknown", func() {
		Expect(connbudget.Connections(60, 0, "a", "vm-1", nil)).To(Equal(60 / 40))
		Expect(connbudget.Connections(10, 40, "a", "vm-1", nil)).To(BeZero())
	})
})
