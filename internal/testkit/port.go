package testkit

import (
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
)

var (
	portOffset atomic.Int64
	// claims holds the claims of this process, as a listener that is not reachable is closed.
	claims sync.Map
)

const (
	// portBase is below the kernel's range of ephemeral ports, so that no outgoing connection
	// takes a port between FreePort and its use.
	portBase = 21000
	// neighbours is the number of loopback addresses, from x.x.x.1 on, on which a port is free besides the one asked for:
	// the VMs of a test listen for peers at one port.
	neighbours = 6
)

// FreePort returns a port that is free on a loopback address and on the first addresses of its network. It never
// returns the same port twice, nor one that it has returned in another process that still runs.
func FreePort(ip string) int {
	for {
		port := portBase + int(portOffset.Add(1))
		if claim(port) && isFree(ip, port) {
			return port
		}
	}
}

// claim claims a port among the tests on this machine until the process ends.
func claim(port int) bool {
	l, err := net.Listen("unix", claimName(port)) //nolint:noctx // never closed
	if err != nil {
		return false
	}
	claims.Store(port, l)
	return true
}

// claimName is the name of an abstract socket, which ends with its process.
func claimName(port int) string { return fmt.Sprintf("@spindle-test-port-%d", port) }

func isFree(ip string, port int) bool {
	ips := []string{ip}
	network := netip.MustParseAddr(ip).As4()
	for i := range neighbours {
		network[3] = byte(i + 1)
		ips = append(ips, netip.AddrFrom4(network).String())
	}
	for _, ip := range ips {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port))) //nolint:noctx // loopback
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}
