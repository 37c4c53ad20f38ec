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

// share returns how often the first of two replicas is chosen.
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
		a.Answered(now, 10*ms)
		b.Answered(now, 10*ms)
	})

	It("splits equal replicas evenly, so that VMs do not herd", func() {
		Expect(share(now, &a, &b, true)).To(BeNumerically("~", 0.5, 0.05))
	})

	It("leaves a slow replica, and tries it again when the memory has aged", func() {
		a.Answered(now+ms, 100*ms)
		for range 10 {
			a.Answered(now+ms, 100*ms)
		}
		Expect(share(now+ms, &a, &b, true)).To(BeNumerically("<", 0.05))
		b.Answered(now+30*time.Second, 10*ms)
		Expect(share(now+30*time.Second, &a, &b, true)).To(BeNumerically(">", 0.3))
	})

	It("learns of a stuck replica from attempts that were given up", func() {
		a.Unanswered(now+ms, 5*ms)
		Expect(a.Latency(now + ms)).To(BeNumerically("~", float64(10*ms), float64(ms)))
		for range 20 {
			a.Unanswered(now+ms, 80*ms)
		}
		Expect(share(now+ms, &a, &b, true)).To(BeNumerically("<", 0.1))
	})

	It("prefers its own zone, but not at any price", func() {
		Expect(share(now, &a, &b, false)).To(BeNumerically("<", 0.5))
		b.Outstanding = 6
		Expect(share(now, &a, &b, false)).To(BeNumerically(">", 0.9))
	})

	It("takes reported load as a hint that ages", func() {
		a.Load(now, 4)
		Expect(share(now, &a, &b, true)).To(BeNumerically("<", 0.1))
		Expect(share(now+time.Second, &a, &b, true)).To(BeNumerically("~", 0.5, 0.05))
	})

	It("sends less to a replica that has just appeared or come back", func() {
		cold := replica.New(now, false)
		cold.Answered(now, 10*ms)
		Expect(share(now, &cold, &b, true)).To(BeNumerically("<", 0.05))
		Expect(share(now+5*time.Second, &cold, &b, true)).To(BeNumerically(">", 0.4))
		a.Failed(now)
		a.Answered(now+ms, 10*ms)
		Expect(share(now+ms, &a, &b, true)).To(BeNumerically("<", 0.05))
	})

	It("stays suspect until it answers, and is probed ever more seldom", func() {
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
