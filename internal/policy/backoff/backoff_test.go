package backoff_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/policy/backoff"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

func TestBackoff(t *testing.T) { testkit.Run(t, "backoff") }

var _ = Describe("An upstream that speaks of itself", func() {
	verdict := func(s *backoff.State, now time.Duration) backoff.Verdict {
		v, _ := s.Verdict(now)
		return v
	}

	// Load pattern: replicas of a shard are full and turn requests away, each for as long as its
	// queue needs; a VM that asks again meanwhile only adds to the queue.
	It("gets no request until its pause has ended, to the fraction of a second", func() {
		var s backoff.State
		Expect(verdict(&s, 0)).To(Equal(backoff.Ready))
		Expect(s.Rest(time.Second, 1250*time.Millisecond)).To(BeTrue())
		v, left := s.Verdict(2 * time.Second)
		Expect(v).To(Equal(backoff.Resting))
		Expect(left).To(Equal(250 * time.Millisecond))
		Expect(verdict(&s, 2250*time.Millisecond)).To(Equal(backoff.Ready))
	})

	It("is not shortened by a later reply, and extended by a longer one", func() {
		var s backoff.State
		s.Rest(0, 10*time.Second)
		Expect(s.Rest(time.Second, time.Second)).To(BeFalse())
		Expect(verdict(&s, 9*time.Second)).To(Equal(backoff.Resting))
		s.Rest(2*time.Second, 30*time.Second)
		Expect(verdict(&s, 31*time.Second)).To(Equal(backoff.Resting))
		Expect(s.Rest(40*time.Second, time.Second)).To(BeTrue())
		Expect(s.Rest(50*time.Second, 0)).To(BeFalse())
	})

	// Load pattern: the servers of a service are replaced one after the other; some never say so in
	// what they publish.
	It("gets no request once it leaves, whatever it asks for besides", func() {
		var s backoff.State
		Expect(s.Leave()).To(BeTrue())
		Expect(s.Leave()).To(BeFalse())
		s.Rest(0, time.Second)
		Expect(verdict(&s, time.Hour)).To(Equal(backoff.Leaving))
	})

	DescribeTable("tells when enough replicas end their pauses", func(need int, want time.Duration) {
		left := []time.Duration{3 * time.Second, time.Second, 2 * time.Second}
		Expect(backoff.UntilEnough(need, left)).To(Equal(want))
		Expect(left[0]).To(Equal(3*time.Second), "the argument is unchanged")
	},
		Entry("none needed", 0, time.Duration(0)),
		Entry("one", 1, time.Second),
		Entry("all", 3, 3*time.Second),
		Entry("more than rest", 4, time.Duration(0)),
	)
})
