package answer_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/sardinespindle/sardinespindle/internal/policy/answer"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
	"github.com/sardinespindle/sardinespindle/schema/gen/manifest"
)

func TestAnswer(t *testing.T) { testkit.Run(t, "answer") }

var _ = Describe("Decide", func() {
	It("answers only with enough shards, waits only while a reply can change the verdict, and fails only if too few shards can reply in time", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			total := rapid.IntRange(1, 40).Draw(t, "total")
			covered := rapid.IntRange(0, total).Draw(t, "covered")
			s := answer.State{
				Trade: rapid.SampledFrom([]manifest.GrantTrade{
					manifest.GrantTradePartial, manifest.GrantTradeFuller, manifest.GrantTradeComplete,
				}).Draw(t, "trade"),
				Minimum: float64(rapid.IntRange(0, 10).Draw(t, "minimum")) / 10,
				Total:   total, Covered: covered, Pending: rapid.IntRange(0, total-covered).Draw(t, "open"),
				TimeUp: rapid.Bool().Draw(t, "time up"), AllLate: rapid.Bool().Draw(t, "late"),
			}
			enough := func(n int) bool {
				if s.Trade == manifest.GrantTradeComplete {
					return n == total
				}
				return n > 0 && float64(n) >= s.Minimum*float64(total)-1e-6
			}
			got := answer.Decide(s)
			switch {
			case got == answer.Send && !enough(covered):
				t.Fatalf("answers with too few shards: %+v", s)
			case got == answer.Fail && enough(covered):
				t.Fatalf("fails with enough shards: %+v", s)
			case got == answer.Fail && enough(covered+s.Pending) && !s.TimeUp && s.Pending > 0:
				t.Fatalf("fails while enough replies may still come: %+v", s)
			case got == answer.Wait && (s.TimeUp || s.Pending == 0 || !enough(covered+s.Pending)):
				t.Fatalf("waits although no reply can change the verdict: %+v", s)
			case got == answer.Send && covered < total && !s.TimeUp && s.Pending > 0 &&
				(s.Trade != manifest.GrantTradePartial || !s.AllLate || !answer.FewMissing(s)):
				t.Fatalf("answers before its time although waiting is worthwhile: %+v", s)
			}
		})
	})
})
