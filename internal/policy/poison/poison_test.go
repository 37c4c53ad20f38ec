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

var _ = Describe("Decide", func() {
	It("refuses until at most one suspicion is left", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			now := time.Hour
			r := poison.Record{Losses: map[string]time.Duration{}, Cleared: map[string]time.Duration{}}
			var live []time.Duration // the oracle: the expiry of each suspicion that counts, sorted
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
			verdict, after := r.Decide(now)
			want := []poison.Verdict{poison.Allow, poison.Ask, poison.Refuse}[min(len(live), poison.SuspicionLimit)]
			if verdict != want || want == poison.Refuse && after != live[len(live)-2]-now {
				t.Fatalf("verdict %v, retry after %v, with suspicions that expire at %v", verdict, after, live)
			}
			if verdict == poison.Refuse {
				later, _ := r.Decide(now + after)
				if later == poison.Refuse {
					t.Fatalf("still refused %v later", after)
				}
			}
		})
	})
})

// Two VMs that run a suspected request at once can crash two upstreams instead of one.
var _ = Describe("Permit", func() {
	suspected := poison.Record{Losses: map[string]time.Duration{"a": time.Hour}, Runs: map[string]time.Duration{"vm1/x": time.Minute}}

	DescribeTable("requires acknowledgements of a majority and no run on another VM",
		func(now time.Duration, self string, acks, guards int, want bool) {
			Expect(suspected.Permit(now, self, acks, guards)).To(Equal(want))
		},
		Entry("half of the guards: not permitted", time.Duration(0), "vm1/x", 2, 4, false),
		Entry("more than half of the guards: permitted", time.Duration(0), "vm1/x", 3, 4, true),
		Entry("another VM runs it: not permitted", time.Duration(0), "vm2/x", 4, 4, false),
		Entry("another VM's lease has ended: permitted", time.Minute, "vm2/x", 4, 4, true),
		Entry("no guards: not permitted", time.Duration(0), "vm1/x", 0, 0, false),
	)
})
