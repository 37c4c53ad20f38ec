package poison_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sardinespindle/sardinespindle/internal/policy/poison"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

func TestPoison(t *testing.T) { testkit.Run(t, "policy/poison") }

var _ = Describe("Judge", func() {
	It("refuses until one suspicion at most is left", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			now := time.Hour
			r := poison.Record{Losses: map[string]time.Duration{}, Cleared: map[string]time.Duration{}}
			var live []time.Duration // the oracle: when each suspicion ends, sorted
			for i := range rapid.IntRange(0, poison.MaxLosses).Draw(t, "losses") {
				id, ends := fmt.Sprint(i), now+time.Duration(rapid.IntRange(-3, 9).Draw(t, "ends"))*time.Second
				r.Losses[id] = ends
				switch {
				case rapid.Bool().Draw(t, "cleared"):
					r.Cleared[id] = now + time.Minute
				case ends > now:
					live = append(live, ends)
				}
			}
			slices.Sort(live)
			verdict, after := r.Judge(now)
			want := []poison.Verdict{poison.Free, poison.Ask, poison.Refuse}[min(len(live), poison.Limit)]
			if verdict != want || want == poison.Refuse && after != live[len(live)-2]-now {
				t.Fatalf("verdict %v after %v with suspicions until %v", verdict, after, live)
			}
			if verdict == poison.Refuse {
				later, _ := r.Judge(now + after)
				if later == poison.Refuse {
					t.Fatalf("still refused after %v", after)
				}
			}
		})
	})
})

var _ = Describe("Permit", func() {
	suspected := poison.Record{Losses: map[string]time.Duration{"a": time.Hour}, Runs: map[string]time.Duration{"vm1/x": time.Minute}}

	DescribeTable("asks for a majority and for nobody else running it",
		func(now time.Duration, self string, acks, guards int, want bool) {
			Expect(suspected.Permit(now, self, acks, guards)).To(Equal(want))
		},
		Entry("half is no majority", time.Duration(0), "vm1/x", 2, 4, false),
		Entry("more than half is", time.Duration(0), "vm1/x", 3, 4, true),
		Entry("another VM runs it", time.Duration(0), "vm2/x", 4, 4, false),
		Entry("another VM's lease has ended", time.Minute, "vm2/x", 4, 4, true),
		Entry("no guards known", time.Duration(0), "vm1/x", 0, 0, false),
	)
})
