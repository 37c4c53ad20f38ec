package capacity_test

import (
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

	It("plans no role that exceeds the budget of a VM", func() {
		s, err := capacity.Load("../../docs/slopes.json")
		Expect(err).NotTo(HaveOccurred())
		for _, r := range capacity.Planned(s) {
			Expect(r.Fits).NotTo(Equal("**no**"), r.Role)
		}
	})
})
