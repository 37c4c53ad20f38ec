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
	It("allows Burst hedges at first and then the given share of sub-requests", func() {
		var b hedge.Bucket
		taken := 0
		for ; b.Take(); taken++ {
		}
		Expect(taken).To(Equal(hedge.Burst))
		taken = 0
		const searches, fanOut, share = 1000, 20, 3.0
		for range searches {
			b.Earn(fanOut, share)
			for b.Take() {
				taken++
			}
		}
		Expect(taken).To(BeNumerically("~", searches*fanOut*share/100, 1))
	})
})

var _ = Describe("Delay", func() {
	It("grows as the budget runs out and is at least MinDelay", func() {
		Expect(hedge.Delay(10*time.Millisecond, 1)).To(Equal(10 * time.Millisecond))
		Expect(hedge.Delay(10*time.Millisecond, 0.5)).To(Equal(15 * time.Millisecond))
		Expect(hedge.Delay(0, 1)).To(Equal(hedge.MinDelay))
	})
})

var _ = Describe("BoundQuantile", func() {
	It("uses 1.5 times the time of a quorum, 3/4 of the shards and at least 3, for a quantile that is unknown or longer", func() {
		Expect(hedge.BoundQuantile(0, 12*time.Millisecond)).To(Equal(18 * time.Millisecond))
		Expect(hedge.BoundQuantile(100*time.Millisecond, 12*time.Millisecond)).To(Equal(18 * time.Millisecond))
		Expect(hedge.BoundQuantile(15*time.Millisecond, 12*time.Millisecond)).To(Equal(15 * time.Millisecond))
		Expect(hedge.Quorum(14, 20)).To(BeFalse())
		Expect(hedge.Quorum(15, 20)).To(BeTrue())
		Expect(hedge.Quorum(2, 2)).To(BeFalse())
	})
})

var _ = Describe("Allowed", func() {
	It("allows no second hedge, and none after a lost connection or when time is up", func() {
		Expect(hedge.Allowed(hedge.Shard{Remaining: time.Second})).To(BeTrue())
		Expect(hedge.Allowed(hedge.Shard{Remaining: time.Second, Hedged: true})).To(BeFalse())
		Expect(hedge.Allowed(hedge.Shard{Remaining: time.Second, Losses: 1})).To(BeFalse())
		Expect(hedge.Allowed(hedge.Shard{})).To(BeFalse())
	})
})
