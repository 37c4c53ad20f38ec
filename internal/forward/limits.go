package forward

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/outcome"
)

// idlers ends callers' connections that stay idle for longer than the operators publish.
// The server's own idle time holds while nothing is published.
type idlers struct {
	limit func() time.Duration // 0 for none

	mu     sync.Mutex // guards timers
	timers map[net.Conn]*idleTimer
}

// idleTimer tells one idle time of a connection from the next.
type idleTimer struct{ *time.Timer }

// state takes note of what a connection does; it is the ConnState of an http.Server.
func (i *idlers) state(c net.Conn, to http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if t := i.timers[c]; t != nil {
		t.Stop()
		delete(i.timers, c)
	}
	if to != http.StateIdle {
		return
	}
	if limit := i.limit(); limit > 0 {
		t := &idleTimer{}
		t.Timer = time.AfterFunc(limit, func() { i.end(c, t) })
		i.timers[c] = t
	}
}

// end closes a connection that is still idle since t was started.
func (i *idlers) end(c net.Conn, t *idleTimer) {
	i.mu.Lock()
	idle := i.timers[c] == t
	if idle {
		delete(i.timers, c)
	}
	i.mu.Unlock()
	if idle {
		_ = c.Close()
	}
}

// publishedIdle returns how long a caller's connection may stay idle; 0 where that is not
// known.
func (s *Server) publishedIdle() time.Duration {
	c := s.o.Catalog()
	if c == nil {
		return 0
	}
	return c.Config.Limits.IdleTimeout
}

// checkHead refuses a request whose head is larger than the operators allow.
func checkHead(r *http.Request, most int) *outcome.Outcome {
	if size := headBytes(r); most > 0 && size > most {
		o := outcome.Rejected(outcome.HeadTooLarge, fmt.Sprintf("head of %d bytes, at most %d", size, most))
		return &o
	}
	return nil
}

// headBytes returns the size of a request's head as it came, but for spaces around values.
func headBytes(r *http.Request) int {
	const lineEnd = len("\r\n")
	size := len(r.Method) + len(" ") + len(r.RequestURI) + len(" ") + len(r.Proto) + lineEnd
	size += len("Host: ") + len(r.Host) + lineEnd + lineEnd
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(": ") + len(v) + lineEnd
		}
	}
	return size
}
