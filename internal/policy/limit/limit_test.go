package limit_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/policy/limit"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

func TestLimit(t *testing.T) { testkit.Run(t, "limit") }

var _ = Describe("Limit", func() {
	It("falls to one request while the replica sheds, and never below", func() {
		l := limit.New(2)
		now := time.Hour
		for range 50 {
			l.Shed(now)
			now += 100 * time.Millisecond
		}
		Expect(l.Value()).To(Equal(1))
		Expect(l.Allows(0)).To(BeTrue())
		Expect(l.Allows(1)).To(BeFalse())
	})

	It("is cut once by shed replies that arrive together", func() {
		l := limit.New(10)
		before := l.Value()
		for range 20 {
			l.Shed(time.Hour)
		}
		Expect(l.Value()).To(BeNumerically(">", before/2))
	})

	It("falls while latency shows a queue and recovers once the queue is gone", func() {
		l := limit.New(2)
		now := time.Hour
		reply := func(latency time.Duration) {
			now += latency
			l.Done(now, latency, l.Value(), 6)
		}
		for range 100 {
			reply(10 * time.Millisecond)
		}
		Expect(l.Value()).To(Equal(6))
		for range 30 {
			reply(100 * time.Millisecond)
		}
		Expect(l.Value()).To(BeNumerically("<", 4))
		for range 200 {
			reply(10 * time.Millisecond)
		}
		Expect(l.Value()).To(Equal(6))
	})

	It("converges for two VMs that start at different limits and share a replica", func() {
		// The replica sheds while the two limits exceed 12 together.
		high, low := limit.New(5), limit.New(1)
		now := time.Hour
		for range 2000 {
			now += 10 * time.Millisecond
			for _, l := range []*limit.Limit{&high, &low} {
				if high.Value()+low.Value() > 12 {
					l.Shed(now)
				} else {
					l.Done(now, 10*time.Millisecond, l.Value(), 60)
				}
			}
		}
		Expect(high.Value()).To(BeNumerically("~", low.Value(), 2))
	})
})
