package daemon

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/facts"
)

var _ = Describe("A state that a VM announces of itself", func() {
	It("is announced once, renewed after half of its time, and withdrawn", func() {
		const ttl = 2 * time.Second
		f := startFleet(1)[0]
		s := &ownState{node: f.node, prefix: "test/", ttl: ttl}
		last := func() facts.Fact { return f.node.Facts().List("test/")[0] }
		s.renew()
		Expect(f.node.Facts().List("test/")).To(BeEmpty(), "the state does not hold")
		s.set(true)
		first := last()
		Expect(s.vms()).To(HaveKey(f.self.Name))
		s.set(true)
		s.renew()
		Expect(last().Version).To(Equal(first.Version))
		time.Sleep(ttl * 6 / 10)
		s.renew()
		Expect(last().Version).To(BeNumerically(">", first.Version))
		s.set(false)
		Expect(s.holds()).To(BeFalse())
		Expect(s.vms()).To(BeEmpty())
	})
})
