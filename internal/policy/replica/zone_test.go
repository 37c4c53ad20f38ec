package replica_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/policy/replica"
)

var _ = Describe("Zone", func() {
	It("is suspect after 4 failures in a row, and probed at intervals until an upstream replies", func() {
		var z replica.Zone
		for range 4 {
			Expect(z.Suspect()).To(BeFalse())
			Expect(z.ProbeDue(time.Minute)).To(BeFalse())
			z.Failed()
		}
		Expect(z.Suspect()).To(BeTrue())
		Expect(z.ProbeDue(time.Minute)).To(BeTrue())
		Expect(z.ProbeDue(time.Minute)).To(BeFalse(), "one probe per interval")
		Expect(z.ProbeDue(time.Minute + time.Second)).To(BeTrue())
		z.Replied()
		Expect(z.Suspect()).To(BeFalse())
	})

	It("is not suspect while some of its upstreams reply", func() {
		var z replica.Zone
		for range 100 {
			z.Failed()
			z.Failed()
			z.Replied()
			Expect(z.Suspect()).To(BeFalse())
		}
	})
})
