package slopes_test

import (
	"cmp"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/slopes"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

func TestSlopes(t *testing.T) { testkit.Run(t, "slopes") }

var _ = Describe("a fleet of 20", func() {
	It("stays within the budget of a VM", func() {
		r, err := slopes.Fleet(20, 4*time.Second, uint64(testkit.Seed()))
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Missed).To(BeZero())
		Expect(r.LoadedBytes).To(BeNumerically("<", 20_000))
		Expect(r.Memory).To(BeNumerically("<", 32<<20))
	})
})

// BenchmarkFleet measures the sizes named in SPINDLE_FLEET_SIZES, as in 5,20,100; 5
// where it is not set.
func BenchmarkFleet(b *testing.B) {
	sizes := cmp.Or(os.Getenv("SPINDLE_FLEET_SIZES"), "5")
	for _, size := range strings.Split(sizes, ",") {
		n, err := strconv.Atoi(size)
		if err != nil {
			b.Fatalf("SPINDLE_FLEET_SIZES: %v", err)
		}
		r, err := slopes.Fleet(n, 10*time.Second, uint64(testkit.Seed()))
		if err != nil {
			b.Fatal(err)
		}
		fmt.Printf("%+v\n", r)
	}
}
