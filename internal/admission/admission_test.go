package admission_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/admission"
	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
)

func TestAdmission(t *testing.T) { testkit.Run(t, "admission") }

// countShed sends requests for 1.5 s, each of which ends with the given load, and returns
// how many were shed because of overload.
func countShed(l admission.Load) int {
	c := admission.New(admission.Options{VMs: func() int { return 1 }})
	c.Apply(&manifest.Manifest{Workloads: map[string]*manifest.Workload{"orders": {}}})
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	go c.Run(ctx)
	shed := 0
	for ctx.Err() == nil {
		pass, shedOutcome := c.Admit("orders", "workshops", &gen.Grant{Workload: "orders", Priority: 9})
		if shedOutcome != nil {
			Expect(shedOutcome.Reason).To(Equal(outcome.Overloaded))
			Expect(shedOutcome.RetryAfter).To(BeNumerically(">", 0))
			shed++
		} else {
			pass.Done(l)
		}
		time.Sleep(2 * time.Millisecond)
	}
	return shed
}

var _ = Describe("a controller", func() {
	It("sheds requests if the upstreams shed sub-requests or requests end too late", func() {
		Expect(countShed(admission.Load{Sent: 1, Shed: 1})).To(BeNumerically(">", 0))
		Expect(countShed(admission.Load{Sent: 1, Overloaded: true})).To(BeNumerically(">", 0))
	})

	// Requests also fail when the fleet is partitioned or an upstream is lost. Shedding then
	// would only leave more requests unanswered.
	It("sheds nothing if requests fail for a reason other than load", func() {
		Expect(countShed(admission.Load{})).To(BeZero())
		Expect(countShed(admission.Load{Sent: 1})).To(BeZero())
	})
})
