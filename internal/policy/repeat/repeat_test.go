package repeat_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sardinespindle/sardinespindle/internal/policy/repeat"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

func TestRepeat(t *testing.T) { testkit.Run(t, "repeat") }

var limits = repeat.Limits{Ratio: 0.2, Slack: 129, Window: 10 * time.Second}

// event is one request of the fleet, or a repeat.
type event struct {
	at     time.Duration
	repeat bool
}

// maxExcess returns the largest number of repeats over the limits in any window. It is
// negative if every window stays below the limits.
func maxExcess(events []event) float64 {
	most := -limits.Slack
	for i := range events {
		requests, repeats := 0, 0
		for _, e := range events[i:] {
			if e.at-events[i].at >= limits.Window {
				break
			}
			if e.repeat {
				repeats++
			} else {
				requests++
			}
		}
		most = max(most, float64(repeats)-limits.Ratio*float64(requests)-limits.Slack)
	}
	return most
}

var _ = Describe("Bucket", func() {
	It("has as many tokens as before a request that another VM ran after all", func() {
		l := repeat.Limits{Ratio: 1, Window: 10 * time.Second} // no slack: one token at most
		var b repeat.Bucket
		for range 20 {
			b.Earn(0, l, 1)
			b.Unearn(l)
		}
		Expect(b.Take(0, l, 1)).To(BeFalse())
		b.Earn(0, l, 1)
		b.Earn(0, l, 1)
		Expect(b.Take(0, l, 1)).To(BeTrue())
	})

	It("keeps a fleet of at most Slack/2 VMs within the limits in each window, also when all VMs restart at once", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			vms := rapid.IntRange(1, 120).Draw(t, "vms")
			rate := rapid.IntRange(1, 100).Draw(t, "requests a second")
			restart := time.Duration(rapid.IntRange(0, 20).Draw(t, "restart at, s")) * time.Second
			buckets := make([]repeat.Bucket, vms)
			var events []event
			step := time.Second / time.Duration(rate)
			for now, i := time.Duration(0), 0; now < 25*time.Second; now, i = now+step, i+1 {
				if now >= restart && now < restart+step {
					buckets = make([]repeat.Bucket, vms)
				}
				b := &buckets[i%vms]
				b.Earn(now, limits, vms)
				events = append(events, event{at: now})
				for b.Take(now, limits, vms) {
					events = append(events, event{at: now, repeat: true})
				}
			}
			if w := maxExcess(events); w > 0 && float64(vms) <= limits.Slack*0.5 {
				t.Fatalf("%.1f repeats over the limits with %d VMs and %d requests/s", w, vms, rate)
			}
		})
	})

	It("allows an occasional repeat on a VM of a fleet of 2100", func() {
		var b repeat.Bucket
		b.Earn(0, limits, 2100)
		paid := 0
		for i := range 100 {
			b.Earn(time.Duration(i)*time.Second, limits, 2100)
			if b.Take(time.Duration(i)*time.Second, limits, 2100) {
				paid++
			}
		}
		Expect(paid).To(BeNumerically(">=", 10))
	})

	// A fixed reserve for retries starves hedges when some upstreams stop replying and
	// nothing fails (klapka-search-grown trouble-1, from second 7); without a reserve, hedges
	// leave no tokens for retries when upstreams shed many requests.
	It("lets hedges spend all tokens while nothing fails, and reserves some after failures", func() {
		const vms = 6
		hedges := func(b *repeat.Bucket, now time.Duration) (n int) {
			for b.TakeHedge(now, limits, vms) {
				n++
			}
			return n
		}
		healthy := &repeat.Bucket{}
		for i := range 50 {
			healthy.Earn(time.Duration(i)*100*time.Millisecond, limits, vms)
		}
		Expect(hedges(healthy, 5*time.Second)).To(BeNumerically(">=", 10))
		shedding := &repeat.Bucket{}
		for i := range 50 {
			now := time.Duration(i) * 100 * time.Millisecond
			shedding.Earn(now, limits, vms)
			if i%10 == 0 {
				shedding.Take(now, limits, vms)
			}
		}
		left := hedges(shedding, 5*time.Second)
		Expect(left).To(BeNumerically("<", 9))
		Expect(shedding.Take(5*time.Second, limits, vms)).To(BeTrue(), "a shed request is still retried")
	})
})
