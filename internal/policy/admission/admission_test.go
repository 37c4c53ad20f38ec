package admission_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sardinespindle/sardinespindle/internal/policy/admission"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

func TestAdmission(t *testing.T) { testkit.Run(t, "admission") }

// model simulates an open-loop load: requests of two priorities arrive at fixed rates, and
// the upstreams serve up to their capacity and shed the rest.
type model struct {
	bucket admission.Bucket
	now    time.Duration
}

// simulateSecond simulates one second and returns the requests finished at high and low
// priority.
func (m *model) simulateSecond(high, low, capacity float64) (int, int) {
	const steps = 5
	doneHigh, doneLow := 0, 0
	for range steps {
		stepCapacity := int(capacity / steps)
		sample := admission.Sample{Length: admission.Interval}
		admit := func(n int, priority int) int {
			admitted := 0
			for i := range n {
				at := m.now + admission.Interval*time.Duration(i)/time.Duration(max(1, n))
				sample.Arrived++
				if m.bucket.Take(at, priority) {
					admitted++
				}
			}
			return admitted
		}
		h, lo := admit(int(high/steps), 9), admit(int(low/steps), 1)
		sample.Sent = min(h+lo, stepCapacity)
		sample.Shed = h + lo - sample.Sent
		sample.Finished = sample.Sent
		doneHigh += min(h, sample.Sent)
		doneLow += sample.Sent - min(h, sample.Sent)
		m.now += admission.Interval
		m.bucket.Adapt(m.now, sample)
	}
	return doneHigh, doneLow
}

var _ = Describe("admission", func() {
	It("admits every request below the upstreams' capacity", func() {
		m := &model{}
		for range 5 {
			h, lo := m.simulateSecond(40, 40, 100)
			Expect(h + lo).To(BeNumerically("==", 80))
		}
	})

	It("keeps goodput near capacity under overload, sheds low priority first and recovers afterwards", func() {
		m := &model{}
		m.simulateSecond(40, 40, 100)
		high, low := 0, 0
		for i := range 10 {
			h, lo := m.simulateSecond(60, 140, 100)
			if i >= 2 {
				high, low = high+h, low+lo
			}
		}
		Expect(high + low).To(BeNumerically(">=", 8*90))
		Expect(high).To(BeNumerically(">=", 8*57))
		for range 4 {
			m.simulateSecond(40, 40, 100)
		}
		h, lo := m.simulateSecond(40, 40, 100)
		Expect(h + lo).To(Equal(80))
	})

	It("admits everything again within 20 s of normal load, whatever the load was before", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			m := &model{}
			for range rapid.IntRange(1, 20).Draw(t, "seconds") {
				m.simulateSecond(rapid.Float64Range(0, 100).Draw(t, "high"), rapid.Float64Range(0, 300).Draw(t, "low"), rapid.Float64Range(0, 150).Draw(t, "capacity"))
			}
			for range 20 {
				m.simulateSecond(20, 20, 150)
			}
			h, lo := m.simulateSecond(20, 20, 150)
			if h+lo != 40 {
				t.Fatalf("%d of 40 requests per second admitted after 20 s of normal load", h+lo)
			}
		})
	})

	It("spreads the retry delay, lengthens it as the excess grows and limits it to 15 s", func() {
		Expect(admission.RetryAfter(100, 100, 0)).To(BeNumerically("<", admission.RetryAfter(100, 100, 0.9)))
		Expect(admission.RetryAfter(400, 100, 0.5)).To(BeNumerically(">", 4*admission.RetryAfter(100, 100, 0.5)))
		Expect(admission.RetryAfter(1e9, 1, 0.99)).To(BeNumerically("<=", 15*time.Second))
	})

	It("limits a caller to its equal share once the capacity is used up", func() {
		Expect(admission.AllowsInFlight(9, 9, 2, 10)).To(BeTrue())
		Expect(admission.AllowsInFlight(10, 10, 2, 10)).To(BeFalse())
		Expect(admission.AllowsInFlight(0, 10, 2, 10)).To(BeTrue())
	})
})
