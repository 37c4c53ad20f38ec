package slopes

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Claims", func() {
	It("cost at most 2 messages per order and VM", func() {
		for _, n := range []int{5, 20, 50, 200} {
			r, err := Claims(n, 1)
			Expect(err).NotTo(HaveOccurred())
			fmt.Fprintf(GinkgoWriter, "%+v\n", r)
			Expect(r.Messages).To(BeNumerically("<=", 2*n))
		}
	})

	DescribeTable("are won only on the side of a partition that holds a quorum, and never twice", func(n, larger int, accepted float64) {
		r := ClaimsCut(n, larger, 500, 1)
		fmt.Fprintf(GinkgoWriter, "%+v\n", r)
		Expect(r.RanTwice).To(BeZero())
		Expect(r.QuorumLarger).To(Equal(accepted))
		Expect(r.QuorumSmaller).To(BeZero())
	},
		Entry("14 VMs, one of three zones cut off", 14, 9, 1.0), Entry("14 VMs, a side of exactly a quorum", 14, 8, 1.0), Entry("14 VMs, equal halves", 14, 7, 0.0),
		Entry("20 VMs, one of four zones cut off", 20, 15, 1.0), Entry("20 VMs, a side of exactly a quorum", 20, 11, 1.0), Entry("20 VMs, equal halves", 20, 10, 0.0),
	)

	DescribeTable("are won for most orders, and never twice, while every VM is replaced", func(every time.Duration, renamed, graceful bool, accepted float64) {
		r := ClaimsRolling(20, every, renamed, graceful, 1)
		fmt.Fprintf(GinkgoWriter, "%+v\n", r)
		Expect(r.RanTwice).To(BeZero())
		Expect(r.Accepted).To(BeNumerically(">=", accepted))
	},
		Entry("a VM is replaced every second, same names", time.Second, false, true, 0.9),
		Entry("a VM leaves every 2 s, new names", 2*time.Second, true, true, 0.9),
		Entry("a VM leaves every 10 s, new names", 10*time.Second, true, true, 0.9),
		Entry("a VM is killed every 2 s, same names", 2*time.Second, false, false, 0.9),
		Entry("a VM is killed every 2 s, new names", 2*time.Second, true, false, 0.7),
		Entry("a VM is killed every 10 s, new names", 10*time.Second, true, false, 0.7),
	)

	It("need fewer votes than a phase of store-collect needs replies, at each churn that store-collect tolerates, which is below 5%", func() {
		for _, churn := range []float64{0, 0.01, 0.02, 0.03, 0.04, 0.05} {
			t := Thresholds(20, 1, churn)
			fmt.Fprintf(GinkgoWriter, "%+v\n", t)
			if t.Failed >= 0 {
				Expect(t.Phase).To(BeNumerically(">", t.Quorum))
			}
		}
		Expect(Thresholds(20, 1, 0.05).Failed).To(BeNumerically("<", 0), "the paper bounds churn at 0.04")
	})

	It("lose the overlap of two quorums of a key's guards with a probability below 1e-6 if views differ by 42 of 2,100 VMs", func() {
		for _, c := range [][2]int{{15, 11}, {31, 20}, {61, 38}} {
			g, quorum := c[0], c[1]
			p := GuardMiss(2100, 42, g, 2*quorum-g-1)
			fmt.Fprintf(GinkgoWriter, "guards %d quorum %d miss %.1e\n", g, quorum, p)
			Expect(p).To(BeNumerically("<", 1e-6))
		}
	})
})
