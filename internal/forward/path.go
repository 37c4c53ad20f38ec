package forward

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/sardinespindle/sardinespindle/internal/policy/answer"
)

// callerConn is a caller's connection and the round trip to the caller once it is known.
type callerConn struct {
	net.Conn
	roundTrip atomic.Int64 // a time.Duration; 0 while it is not known
	used      atomic.Bool  // a request has arrived
}

type callerConnKey struct{}

// withConn stores a caller's connection in the context of its requests. It is the ConnContext
// hook of an http.Server.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, &callerConn{Conn: c})
}

// measure returns the round trip that the kernel has measured on the connection, from its
// first packets on, and 0 if there is none.
func (c *callerConn) measure() time.Duration {
	if known := c.roundTrip.Load(); known != 0 {
		return time.Duration(known)
	}
	tcp, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	rc, err := tcp.SyscallConn()
	if err != nil {
		return 0 // the connection has been closed, and its request will end
	}
	var info *unix.TCPInfo
	var infoErr error
	if err := rc.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	}); err != nil || infoErr != nil {
		return 0
	}
	roundTrip := time.Duration(info.Rtt) * time.Microsecond
	c.roundTrip.Store(int64(roundTrip))
	return roundTrip
}

// opensConn reports whether a request is the first one on its connection.
func opensConn(r *http.Request) bool {
	c, ok := r.Context().Value(callerConnKey{}).(*callerConn)
	return ok && !c.used.Swap(true)
}

const (
	// signatureBytes is the size of the signature of one shard in an answer, with its separator,
	// and answerBytes that of the rest of an answer.
	signatureBytes = 36
	answerBytes    = 700
)

// path describes the way of a search's answer to its caller.
func (s *Server) path(r *http.Request, q *request) answer.Path {
	var p answer.Path
	if c, ok := r.Context().Value(callerConnKey{}).(*callerConn); ok {
		p.RoundTrip, p.Opened = c.measure(), q.opensConn
	}
	if s.o.LinkMbps > 0 {
		bits := 8 * float64(answerBytes+signatureBytes*len(q.route.Shards))
		p.Transmission = time.Duration(bits / s.o.LinkMbps * float64(time.Microsecond))
	}
	return p
}
