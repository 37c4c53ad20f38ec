package relay

import (
	"fmt"
	"net"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

// blackhole listens on an address without accepting. Its queue is full, so that the kernel drops the
// opening packets of further connections.
type blackhole struct {
	fd   int
	fill []net.Conn
}

const (
	// fillConns fill the queue of a listener whose backlog is 0.
	fillConns   = 2
	fillTimeout = 50 * time.Millisecond
)

func newBlackhole(address string) (*blackhole, error) {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("blackhole: %w", err)
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("blackhole: %w", err)
	}
	b := &blackhole{fd: fd}
	if err := b.listen(ap); err != nil {
		_ = b.Close()
		return nil, fmt.Errorf("blackhole on %s: %w", address, err)
	}
	for range fillConns {
		c, err := net.DialTimeout("tcp", address, fillTimeout) //nolint:noctx // loopback
		if err != nil {
			break // the queue is full
		}
		b.fill = append(b.fill, c)
	}
	return b, nil
}

func (b *blackhole) listen(ap netip.AddrPort) error {
	if err := unix.SetsockoptInt(b.fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return err
	}
	if err := unix.Bind(b.fd, &unix.SockaddrInet4{Port: int(ap.Port()), Addr: ap.Addr().As4()}); err != nil {
		return err
	}
	return unix.Listen(b.fd, 0)
}

// Close implements io.Closer.
func (b *blackhole) Close() error {
	for _, c := range b.fill {
		_ = c.Close()
	}
	return unix.Close(b.fd)
}
