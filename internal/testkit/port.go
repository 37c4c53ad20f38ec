package testkit

import (
	"net"
	"strconv"
	"sync/atomic"

	"github.com/onsi/gomega"
)

var portOffset atomic.Int64

// portBase is below the kernel's range of ephemeral ports, so that no outgoing connection
// takes a port between FreePort and its use.
const portBase = 21000

// FreePort returns a port that is free on a loopback address. It never returns the same
// port twice in a process; packages, whose tests run side by side, use different addresses.
func FreePort(ip string) int {
	for {
		port := portBase + int(portOffset.Add(1))
		l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port))) //nolint:noctx // loopback
		if err != nil {
			continue
		}
		gomega.Expect(l.Close()).To(gomega.Succeed())
		return port
	}
}
