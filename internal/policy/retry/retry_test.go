package retry_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sardinespindle/sardinespindle/internal/policy/retry"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
)

func TestRetry(t *testing.T) { testkit.Run(t, "retry") }

var _ = Describe("Bucket", func() {
	It("never allows more retries than its burst plus the tokens that successes earned", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var b retry.Bucket
			taken, earned := 0, 0
			for _, success := range rapid.SliceOfN(rapid.Bool(), 0, 500).Draw(t, "successes") {
				if success {
					b.Earn(retry.RetryBudget, 1)
					earned++
				} else if b.Take(retry.RetryBudget) {
					taken++
				}
			}
			if most := retry.RetryBudget.Burst + float64(earned)*retry.RetryBudget.PerSuccess; float64(taken) > most+1e-9 {
				t.Fatalf("%d tokens taken, want at most %v", taken, most)
			}
		})
	})
})

var _ = DescribeTable("Decide",
	func(c upstream.Class, h retry.History, want retry.Verdict) {
		Expect(retry.Decide(c, h)).To(Equal(want))
	},
	Entry("retries a shed attempt for a token", upstream.Shed, retry.History{}, retry.Paid),
	Entry("retries without a token if the attempt was not sent", upstream.NotSent, retry.History{}, retry.Free),
	Entry("gives up after a timeout, as there is no time left", upstream.TimedOut, retry.History{}, retry.GiveUp),
	Entry("retries a lost attempt for a token", upstream.Lost, retry.History{Losses: 1}, retry.Paid),
	Entry("gives up once MaxAfterLoss retries followed a loss", upstream.Shed,
		retry.History{Losses: 1, LossRetries: retry.MaxAfterLoss}, retry.GiveUp),
	Entry("gives up after MaxPerShard retries of a shard", upstream.NotSent, retry.History{ShardRetries: retry.MaxPerShard}, retry.GiveUp),
)
