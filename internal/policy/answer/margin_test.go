package answer_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/policy/answer"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

// Load pattern: searches of 180 shards with an objective of 80 ms, each of which waits for a
// paused shard until its time is up. The answer returns over a hop and through a VM of 0.19
// cores in 7 to 16 ms, and leaves over a link of 22 Mbit/s to a caller 3 ms away, where 12 ms
// were reserved for all of that.
var _ = Describe("An answer that waits until its time is up", func() {
	const objective = 80 * time.Millisecond
	path := answer.Path{RoundTrip: 6 * time.Millisecond, Transmission: 2400 * time.Microsecond}
	It("reaches the caller within the objective in nine of ten cases, and wastes little time", func() {
		rng := rand.New(rand.NewPCG(uint64(testkit.Seed()), 1))
		var r answer.ReturnTime
		inTime, reserved := 0, time.Duration(0)
		const n = 2000
		for i := range 2 * n {
			took := 7*time.Millisecond + time.Duration(rng.ExpFloat64()*float64(2*time.Millisecond))
			decided := answer.DecideBy(objective, path, r.Estimate())
			if i >= n {
				reserved += objective - decided
				if decided+took+path.RoundTrip+path.Transmission <= objective {
					inTime++
				}
			}
			r.Observe(took)
		}
		Expect(inTime).To(BeNumerically(">=", n*85/100))
		Expect(reserved / n).To(BeNumerically("<", 26*time.Millisecond))
	})

	It("is decided on in the last third of the objective, however long the return takes", func() {
		var r answer.ReturnTime
		for range 1000 {
			r.Observe(time.Second)
		}
		Expect(answer.DecideBy(objective, path, r.Estimate())).To(BeNumerically(">=", objective*2/3))
		for range 1000 {
			r.Observe(0)
		}
		Expect(answer.DecideBy(objective, path, r.Estimate())).To(BeNumerically(">", objective-15*time.Millisecond))
		Expect(answer.DecideBy(objective, answer.Path{}, 0)).To(Equal(objective-11*time.Millisecond), "the round trip is not known")
		Expect(answer.DecideBy(objective, answer.Path{Opened: true}, 0)).To(Equal(objective - 17*time.Millisecond))
	})
})
