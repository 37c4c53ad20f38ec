package delegate_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/policy/delegate"
)

// Load pattern: all VMs start at once, and a gatherer reads a delegated search 400 ms after it
// was sent. The sender has taken it back after 100 ms and given it to another gatherer.
var _ = Describe("The delay of a message", func() {
	It("is the time beyond the fastest message, whatever the clocks show", func() {
		for _, skew := range []time.Duration{-time.Hour, 0, 3 * time.Hour} {
			var a delegate.Arrivals
			at := func(sent, took time.Duration) time.Duration { return a.Delay(sent, sent+skew+took) }
			Expect(at(time.Second, 5*time.Millisecond)).To(BeZero())
			Expect(at(2*time.Second, 400*time.Millisecond)).To(Equal(395 * time.Millisecond))
			Expect(at(3*time.Second, time.Millisecond)).To(BeZero())
			Expect(at(4*time.Second, 30*time.Millisecond)).To(And(Equal(29*time.Millisecond), BeNumerically("<", delegate.MaxDelay)))
		}
	})
})
