package capacity_test

import (
	"math"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/capacity"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

func TestCapacity(t *testing.T) { testkit.Run(t, "capacity") }

var _ = Describe("the capacity page", func() {
	It("contains the tables computed from docs/slopes.json", func() {
		s, err := capacity.Load("../../docs/slopes.json")
		Expect(err).NotTo(HaveOccurred())
		page, err := os.ReadFile("../../docs/CAPACITY.md")
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.Contains(string(page), capacity.Tables(s))).To(BeTrue(), "run `spindlebench capacity`")
	})

	It("contains the tables computed from the newest sweeps in the journal", func() {
		imported, err := capacity.ImportSweeps("../../journal")
		Expect(err).NotTo(HaveOccurred())
		kept, err := capacity.LoadSweeps("../../docs/sweeps.json")
		Expect(err).NotTo(HaveOccurred())
		Expect(kept).To(Equal(imported))
		Expect(kept).NotTo(BeEmpty())
		page, err := os.ReadFile("../../docs/CAPACITY.md")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(page)).To(ContainSubstring(capacity.SweepTables(kept)), "run `spindlebench capacity`")
	})

	It("carries figures on by the power of the last sizes", func() {
		vms := []int{30, 100, 300}
		r := capacity.SweepRow{What: "processor %", Busiest: []float64{8.7, 10.3, 35.1}}
		Expect(r.Power(vms)).To(BeNumerically("~", 0.60, 0.01), "as the bench prints it")
		Expect(r.At(vms, 2113)).To(BeNumerically("~", 113, 2))
		Expect(r.ReachedAt(vms, r.At(vms, 2113))).To(BeNumerically("~", 2113, 1))
		Expect(r.ReachedAt(vms, 10)).To(BeEquivalentTo(300), "reached at the largest size or before")
		r.Busiest = []float64{0, 0, 32}
		Expect(r.At(vms, 2113)).To(BeEquivalentTo(32))
		Expect(math.IsInf(r.ReachedAt(vms, 100), 1)).To(BeTrue())
	})

	It("plans no role that exceeds the budget of a VM", func() {
		s, err := capacity.Load("../../docs/slopes.json")
		Expect(err).NotTo(HaveOccurred())
		for _, r := range capacity.Planned(s) {
			Expect(r.Fits).NotTo(Equal("**no**"), r.Role)
		}
	})
})
