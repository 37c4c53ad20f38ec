package poison_test

import (
	"context"
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/poison"
	policy "github.com/sardinespindle/sardinespindle/internal/policy/poison"
)

// run runs a request on a VM. Its attempts have the given fates, each at another upstream.
func (v *modelVM) run(fingerprint, id string, fates ...policy.Fate) poison.Admission {
	a := v.Admit(fingerprint, id)
	if a.Refused {
		return a
	}
	for i := range fates {
		a.Run.Sending(fmt.Sprint(id, "-upstream-", i))
	}
	for i, fate := range fates {
		a.Run.Sent(fmt.Sprint(id, "-upstream-", i), fate)
	}
	a.Run.End(context.Background())
	return a
}

var _ = Describe("a run of a request", func() {
	// All upstreams of a run counted as one, so the request ended as many again at the next VM.
	It("counts each upstream that ended under it", func() {
		f := newFleet(3)
		Expect(f.vms[0].run(fp, "r1", policy.Ended, policy.Ended, policy.Ended).Refused).To(BeFalse())
		Expect(f.vms[1].run(fp, "r2").Refused).To(BeTrue())
		Expect(f.vms[0].spreads).To(Equal(policy.SuspicionLimit))
	})

	It("counts none if another upstream ran the request", func() {
		f := newFleet(3)
		f.vms[0].run(fp, "r1", policy.Ended, policy.Ran, policy.Ended)
		Expect(f.vms[1].run(fp, "r2").Refused).To(BeFalse())
		Expect(f.vms[0].spreads).To(BeZero())
	})
})
