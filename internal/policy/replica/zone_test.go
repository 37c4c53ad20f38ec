package replica_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/policy/replica"
)

var _ = Describe("Zone", func() {
	It("is suspect once none of its upstreams answers, and probed until one does", func() {
		var z replica.Zone
		for range 4 {
			Expect(z.Suspect()).To(BeFalse())
			Expect(z.ProbeDue(time.Minute)).To(BeFalse())
			z.Failed()
		}
		Expect(z.Suspect()).To(BeTrue())
		Expect(z.ProbeDue(time.Minute)).To(BeTrue())
		Expect(z.ProbeDue(time.Minute)).To(BeFalse(), "one probe at a time")
		Expect(z.ProbeDue(time.Minute + time.Second)).To(BeTrue())
		z.Answered()
		Expect(z.Suspect()).To(BeFalse())
	})

	It("is not suspect for one lost or slow upstream among others", func() {
		var z replica.Zone
		for range 100 {
			z.Failed()
			z.Failed()
			z.Answered()
			Expect(z.Suspect()).To(BeFalse())
		}
	})
})
