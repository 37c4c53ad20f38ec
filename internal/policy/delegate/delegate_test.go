package delegate_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/policy/delegate"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

func TestDelegate(t *testing.T) { testkit.Run(t, "delegate") }

var _ = Describe("Zone", func() {
	DescribeTable("names the zone that is near more shards",
		func(own string, near map[string]float64, want string, ok bool) {
			zone, found := delegate.Zone(own, near)
			Expect(found).To(Equal(ok))
			if ok {
				Expect(zone).To(Equal(want))
			}
		},
		Entry("none near the own zone", "c", map[string]float64{"a": 1, "b": 1}, "a", true),
		Entry("all near the own zone", "a", map[string]float64{"a": 1, "b": 1}, "", false),
		Entry("little to gain", "a", map[string]float64{"a": 0.7, "b": 1}, "", false),
		Entry("nothing published", "a", map[string]float64{}, "", false),
	)
})

var _ = Describe("Choose", func() {
	It("leaves a VM out that failed, for longer each time, until it answers", func() {
		peers := make([]delegate.Peer, 1)
		half := func() float64 { return 0.5 }
		Expect(delegate.Choose(peers, 0, half)).To(Equal(0))
		peers[0].Failed(0)
		Expect(delegate.Choose(peers, 500*time.Millisecond, half)).To(Equal(-1))
		Expect(delegate.Choose(peers, time.Second, half)).To(Equal(0))
		peers[0].Failed(time.Second)
		Expect(delegate.Choose(peers, 2500*time.Millisecond, half)).To(Equal(-1))
		peers[0].Answered()
		peers[0].Failed(10 * time.Second)
		Expect(delegate.Choose(peers, 11*time.Second, half)).To(Equal(0))
	})
	It("takes the one with fewer searches of two", func() {
		peers := []delegate.Peer{{InFlight: 5}, {InFlight: 1}}
		at := []float64{0.1, 0.9}
		i := 0
		Expect(delegate.Choose(peers, 0, func() float64 { i++; return at[(i-1)%2] })).To(Equal(1))
	})
})
