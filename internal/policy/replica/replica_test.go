package replica_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/policy/replica"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

func TestReplica(t *testing.T) { testkit.Run(t, "replica") }

const ms = time.Millisecond

// share returns the share of choices between a and b that fall on a. b is in the VM's own
// zone, and a too if sameZone is set.
func share(now time.Duration, a, b *replica.State, sameZone bool) float64 {
	r := rand.New(rand.NewPCG(1, 1))
	costs := []float64{a.Cost(now, 2, sameZone), b.Cost(now, 2, true)}
	n := 0
	for range 10000 {
		if replica.Choose(costs, r.Float64()) == 0 {
			n++
		}
	}
	return float64(n) / 10000
}

var _ = Describe("State", func() {
	var a, b replica.State
	const now = time.Hour
	BeforeEach(func() {
		a, b = replica.New(now-time.Minute, true), replica.New(now-time.Minute, true)
		a.Replied(now, 10*ms)
		b.Replied(now, 10*ms)
	})

	It("is chosen as often as a replica of equal cost, so that VMs do not all choose the same", func() {
		Expect(share(now, &a, &b, true)).To(BeNumerically("~", 0.5, 0.05))
	})

	It("is rarely chosen while slow, and tried again once the latency estimate has decayed", func() {
		a.Replied(now+ms, 100*ms)
		for range 10 {
			a.Replied(now+ms, 100*ms)
		}
		Expect(share(now+ms, &a, &b, true)).To(BeNumerically("<", 0.05))
		b.Replied(now+30*time.Second, 10*ms)
		Expect(share(now+30*time.Second, &a, &b, true)).To(BeNumerically(">", 0.3))
	})

	It("is rarely chosen after attempts that were given up late; those given up early change nothing", func() {
		a.GivenUp(now+ms, 5*ms)
		Expect(a.Latency(now + ms)).To(BeNumerically("~", float64(10*ms), float64(ms)))
		for range 20 {
			a.GivenUp(now+ms, 80*ms)
		}
		Expect(share(now+ms, &a, &b, true)).To(BeNumerically("<", 0.1))
	})

	It("is chosen less often in another zone, unless the replica in the VM's own zone is busy", func() {
		Expect(share(now, &a, &b, false)).To(BeNumerically("<", 0.5))
		b.Outstanding = 6
		Expect(share(now, &a, &b, false)).To(BeNumerically(">", 0.9))
	})

	It("is rarely chosen after it reports a high load, until the report expires", func() {
		a.Load(now, 4)
		Expect(share(now, &a, &b, true)).To(BeNumerically("<", 0.1))
		Expect(share(now+time.Second, &a, &b, true)).To(BeNumerically("~", 0.5, 0.05))
	})

	It("is rarely chosen when it has just appeared or recovered, and reaches its full share in 5 s", func() {
		cold := replica.New(now, false)
		cold.Replied(now, 10*ms)
		Expect(share(now, &cold, &b, true)).To(BeNumerically("<", 0.05))
		Expect(share(now+5*time.Second, &cold, &b, true)).To(BeNumerically(">", 0.4))
		a.Failed(now)
		a.Replied(now+ms, 10*ms)
		Expect(share(now+ms, &a, &b, true)).To(BeNumerically("<", 0.05))
	})

	It("is suspect from a failure until it replies, and probed after 200 ms to 5 s", func() {
		a.Failed(now)
		Expect(a.Suspect()).To(BeTrue())
		Expect(a.ProbeDue(now)).To(BeFalse())
		Expect(a.ProbeDue(now + 200*ms)).To(BeTrue())
		for range 20 {
			a.Failed(now)
		}
		Expect(a.ProbeDue(now + 4*time.Second)).To(BeFalse())
		Expect(a.ProbeDue(now + 5*time.Second)).To(BeTrue())
		a.Probed(now)
		Expect(a.Suspect()).To(BeFalse())
	})
})
