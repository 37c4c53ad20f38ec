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
	newRecord := func() poison.Record { return *poison.NewRecord() }

	It("asks from the first suspicion on, and refuses for a while after the second", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			now := time.Hour
			r := newRecord()
			var live []time.Duration // the oracle: when the suspicions that count occurred, sorted
			for i := range rapid.IntRange(0, poison.MaxLosses).Draw(t, "losses") {
				id, at := fmt.Sprint(i), now-time.Duration(rapid.IntRange(0, 400).Draw(t, "at"))*time.Second
				r.Losses[id] = at + poison.SuspicionTTL
				switch {
				case rapid.Bool().Draw(t, "cleared"):
					r.Cleared[id] = now + time.Hour
				case at+poison.SuspicionTTL > now:
					live = append(live, at)
				}
			}
			slices.Sort(live)
			want, until := []poison.Verdict{poison.Allow, poison.Ask, poison.Refuse}[min(len(live), poison.SuspicionLimit)], now
			if want == poison.Refuse {
				pause := 10 * time.Second
				for i := range live[1:] {
					if live[i+1]-live[i] > poison.RunLease {
						pause = min(6*pause, poison.SuspicionTTL)
					}
				}
				if until = live[len(live)-1] + pause; until <= now {
					want = poison.Ask
				}
			}
			verdict, after := r.Decide(now)
			if verdict != want || want == poison.Refuse && after != until-now {
				t.Fatalf("verdict %v, retry after %v, with suspicions at %v", verdict, after, live)
			}
			if verdict == poison.Refuse {
				if later, _ := r.Decide(now + after); later == poison.Refuse {
					t.Fatalf("still refused %v later", after)
				}
			}
		})
	})

	// Load pattern: a request that ends each upstream that runs it, sent again and again for minutes.
	It("lets a request that fails each trial run at most three times in SuspicionTTL after the limit", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			r, now, trials := newRecord(), time.Hour, 0
			for i := range rapid.IntRange(poison.SuspicionLimit, 2*poison.MaxLosses).Draw(t, "losses at once") {
				r.AddLoss(fmt.Sprint("first-", i), now+poison.SuspicionTTL)
			}
			for end := now + poison.SuspicionTTL; now < end; now += time.Duration(rapid.IntRange(1, 9000).Draw(t, "pause")) * time.Millisecond {
				verdict, _ := r.Decide(now)
				if verdict == poison.Allow {
					t.Fatalf("not suspected any more after %v", poison.SuspicionTTL-(end-now))
				}
				if verdict == poison.Ask {
					trials++
					r.AddLoss(fmt.Sprint("trial-", trials), now+poison.SuspicionTTL)
				}
			}
			if trials > 3 {
				t.Fatalf("%d trials", trials)
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
