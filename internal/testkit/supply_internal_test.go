package testkit

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Supply", func() {
	start := Supply{ran: time.Second, waited: time.Second}

	DescribeTable("stretches a duration by the time waited for a processor",
		func(now Supply, expected time.Duration) {
			Expect(start.stretch(now, 3*time.Second)).To(Equal(expected))
		},
		Entry("none", Supply{ran: 5 * time.Second, waited: time.Second}, 3*time.Second),
		Entry("as long as the threads ran", Supply{ran: 2 * time.Second, waited: 2 * time.Second}, 6*time.Second),
		Entry("not measured", Supply{}, 3*time.Second),
	)

	It("measures the threads of this process", func() {
		s := StartSupply()
		for began := time.Now(); time.Since(began) < 20*time.Millisecond; {
		}
		Expect(threadTimes().ran - s.ran).To(BeNumerically(">=", 5*time.Millisecond))
	})
})
