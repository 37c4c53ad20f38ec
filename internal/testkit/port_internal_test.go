package testkit

import (
	"fmt"
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// A VM of a test could not listen, as another process had its port: it was never ready.
var _ = Describe("FreePort", func() {
	taken := func(network, address string) {
		l, err := net.Listen(network, address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
	}

	It("returns no port that is taken on an address of the other VMs", func() {
		next := portBase + int(portOffset.Load()) + 1
		taken("tcp", fmt.Sprintf("127.35.0.2:%d", next))
		Expect(FreePort("127.35.0.1")).To(BeNumerically(">", next))
	})

	It("returns no port that it has returned in another process", func() {
		next := portBase + int(portOffset.Load()) + 1
		taken("unix", claimName(next))
		Expect(FreePort("127.35.0.1")).To(BeNumerically(">", next))
	})
})
