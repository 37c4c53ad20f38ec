package peer

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/policy/delegate"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/peer"
)

var _ = Describe("A delegated request that was delayed on its way", func() {
	// On the large site a gatherer read searches 400 ms after they were sent and ran them,
	// although others had answered them: six ran on three servers of a shard where two may.
	It("has its times corrected, and does not run if its sender has given it up", func() {
		now := time.Hour
		c := &conn{node: &Node{now: func() time.Duration { return now }}}
		receive := func(after time.Duration) (*gen.Delegate, bool) {
			d := &gen.Delegate{SentUs: int(now.Microseconds()) - 1_000_000_000, ElapsedUs: 4000, AnswerUs: 150_000, GiveUpUs: 2_000_000}
			now += after
			return d, c.adjustForDelay(d) <= delegate.MaxDelay
		}
		_, runs := receive(time.Millisecond)
		Expect(runs).To(BeTrue())
		d, runs := receive(21 * time.Millisecond)
		Expect(runs).To(BeTrue())
		Expect([]int{d.ElapsedUs, d.AnswerUs, d.GiveUpUs}).To(Equal([]int{24_000, 130_000, 1_980_000}))
		_, runs = receive(400 * time.Millisecond)
		Expect(runs).To(BeFalse())
	})
})
