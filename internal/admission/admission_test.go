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

// run lets requests in for a while, each of which ends with the load, and counts
// those that were shed as overload.
func run(l admission.Load) int {
	c := admission.New(admission.Options{VMs: func() int { return 1 }})
	c.Apply(&manifest.Manifest{Workloads: map[string]*manifest.Workload{"orders": {}}})
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	go c.Run(ctx)
	shed := 0
	for ctx.Err() == nil {
		pass, refused := c.Admit("orders", "workshops", &gen.Grant{Workload: "orders", Priority: 9})
		if refused != nil {
			Expect(refused.Reason).To(Equal(outcome.Overloaded))
			Expect(refused.RetryAfter).To(BeNumerically(">", 0))
			shed++
		} else {
			pass.Done(l)
		}
		time.Sleep(2 * time.Millisecond)
	}
	return shed
}

var _ = Describe("admission", func() {
	It("sheds where the upstreams shed or answers come too late", func() {
		Expect(run(admission.Load{Sent: 1, Shed: 1})).To(BeNumerically(">", 0))
		Expect(run(admission.Load{Sent: 1, Late: true})).To(BeNumerically(">", 0))
	})

	It("does not take a cut fleet or a lost upstream for an overload", func() {
		Expect(run(admission.Load{})).To(BeZero())
		Expect(run(admission.Load{Sent: 1})).To(BeZero())
	})
})
