package hedge_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/policy/hedge"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

func TestHedge(t *testing.T) { testkit.Run(t, "hedge") }

var _ = Describe("Bucket", func() {
	It("pays for the given share of sub-requests and a small burst", func() {
		var b hedge.Bucket
		taken := 0
		const searches, fanOut, share = 1000, 20, 3.0
		for range searches {
			b.Earn(fanOut, share)
			for b.Take() {
				taken++
			}
		}
		Expect(taken).To(BeNumerically("~", searches*fanOut*share/100, 1))
		b.Earn(1_000_000, share)
		for taken = 0; b.Take(); taken++ {
		}
		Expect(taken).To(Equal(hedge.Burst))
	})
})

var _ = Describe("Allowed", func() {
	It("sends no hedge twice, after a loss or when time is up", func() {
		Expect(hedge.Allowed(hedge.Shard{Left: time.Second})).To(BeTrue())
		Expect(hedge.Allowed(hedge.Shard{Left: time.Second, Hedged: true})).To(BeFalse())
		Expect(hedge.Allowed(hedge.Shard{Left: time.Second, Losses: 1})).To(BeFalse())
		Expect(hedge.Allowed(hedge.Shard{})).To(BeFalse())
	})
})
