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

var _ = Describe("a fleet of 20 VMs", func() {
	It("delivers every fact within 20 KB/s and 32 MiB per VM", func() {
		r, err := slopes.Fleet(20, 4*time.Second, uint64(testkit.Seed()))
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Missed).To(BeZero())
		Expect(r.LoadedBytes).To(BeNumerically("<", 20_000))
		Expect(r.Memory).To(BeNumerically("<", 32<<20))
	})
})

// BenchmarkFleet measures fleets of the sizes in SPINDLE_FLEET_SIZES, such as
// 5,20,100, or of 5 VMs if it is not set.
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
