package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	dialTimeout       = time.Second
	keepAliveIdle     = 10 * time.Second
	keepAliveInterval = 5 * time.Second
	keepAliveCount    = 3
	userTimeout       = 15 * time.Second
	maxReplyHeader    = 16 << 10
	// A gatherer holds several hundred connections, and net/http keeps both buffers of each. The heads of
	// most replies and small bodies fit into the first, the heads of most requests into the second; longer
	// bodies bypass them.
	connReadBuffer  = 2 << 10
	connWriteBuffer = 1 << 10
)

// sockKey is the context key of a **sock that receives the dialed socket.
type sockKey struct{}

// dialer opens connections to upstreams.
type dialer struct {
	net.Dialer
	portOffset int // added to the port of each upstream
}

// newDialer returns a dialer that dials from fromIP, unless that is empty.
func newDialer(fromIP string, portOffset int) *dialer {
	d := &dialer{portOffset: portOffset, Dialer: net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: setUserTimeout,
	}}
	if fromIP != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(fromIP)}
	}
	return d
}

// dial opens a connection to the upstream at an address.
func (d *dialer) dial(ctx context.Context, address string) (net.Conn, error) {
	if d.portOffset != 0 {
		ap, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, fmt.Errorf("dial %s: %w", address, err)
		}
		address = netip.AddrPortFrom(ap.Addr(), ap.Port()+uint16(d.portOffset)).String()
	}
	return d.DialContext(ctx, "tcp", address)
}

// newTransport returns the transport that dials connections. It uses no proxy and
// no compression, and its own connection pool is not used.
func newTransport(now func() time.Duration, d *dialer) *http.Transport {
	return &http.Transport{
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxReplyHeader,
		ReadBufferSize:         connReadBuffer,
		WriteBufferSize:        connWriteBuffer,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			nc, err := d.dial(ctx, address)
			if err != nil {
				return nil, err
			}
			s := &sock{Conn: nc, now: now, openedAt: now(), onClose: func() {}}
			if p, ok := ctx.Value(sockKey{}).(**sock); ok {
				*p = s
			}
			return s, nil
		},
	}
}

// setUserTimeout bounds how long written bytes may stay unacknowledged. Otherwise a
// connection to a dead host would count against the share for minutes.
func setUserTimeout(_, _ string, rc syscall.RawConn) error {
	var serr error
	err := rc.Control(func(fd uintptr) {
		serr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, serr)
}
