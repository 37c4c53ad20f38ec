package clock_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/clock"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

func TestClock(t *testing.T) { testkit.Run(t, "clock") }

var _ = Describe("Boot", func() {
	It("advances by the time slept, to within 15 ms", func() {
		before := clock.Boot()
		time.Sleep(20 * time.Millisecond)
		Expect(clock.Boot() - before).To(BeNumerically("~", 20*time.Millisecond, 15*time.Millisecond))
	})
})

func BenchmarkBoot(b *testing.B) {
	for b.Loop() {
		clock.Boot()
	}
}
