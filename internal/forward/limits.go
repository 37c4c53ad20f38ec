package forward

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/catalog"
	"github.com/sardinespindle/sardinespindle/internal/ingress"
	"github.com/sardinespindle/sardinespindle/internal/outcome"
)

// idleCloser closes callers' connections that stay idle for longer than the published idle
// timeout, and new ones on which no whole head arrives within the idle and the head timeout
// together. While none is published, only the server's own timeouts apply.
type idleCloser struct {
	limits func() catalog.Limits

	mu     sync.Mutex // guards timers
	timers map[net.Conn]*idleTimer
}

// idleTimer is the timer of one idle period. closeIfIdle compares its pointer, so that a
// timer that fires late does not close a connection in its next idle period.
type idleTimer struct{ *time.Timer }

// onStateChange starts a timer when a connection is opened or becomes idle and stops it at any
// other change. It is the ConnState hook of an http.Server, which reports a new connection as
// active once the first head has arrived.
func (i *idleCloser) onStateChange(c net.Conn, to http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if t := i.timers[c]; t != nil {
		t.Stop()
		delete(i.timers, c)
	}
	if limit := i.limit(to); limit > 0 {
		t := &idleTimer{}
		t.Timer = time.AfterFunc(limit, func() { i.closeIfIdle(c, t) })
		i.timers[c] = t
	}
}

// limit returns how long a connection may stay in a state; 0 for no limit.
func (i *idleCloser) limit(state http.ConnState) time.Duration {
	l := i.limits()
	switch {
	case state == http.StateIdle:
		return l.IdleTimeout
	case state == http.StateNew && l.HeaderTimeout > 0 && l.IdleTimeout > 0:
		return l.IdleTimeout + l.HeaderTimeout
	default:
		return 0
	}
}

// closeIfIdle closes a connection if it has been idle since t was started.
func (i *idleCloser) closeIfIdle(c net.Conn, t *idleTimer) {
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

// HeadLimit returns the published limit of a request's head in bytes; 0 if none is known.
func (s *Server) HeadLimit() int { return s.publishedLimits().HeaderBytes }

// publishedLimits returns the published limits; none while no configuration is known.
func (s *Server) publishedLimits() catalog.Limits {
	c := s.o.Catalog()
	if c == nil {
		return catalog.Limits{}
	}
	return c.Config.Limits
}

// checkHead rejects a request whose head exceeds the limit; a limit of 0 allows any size. c is the
// request's connection, which may be nil.
func checkHead(r *http.Request, c *ingress.Conn, limit int) *outcome.Outcome {
	size, known := c.HeadSize()
	if !known {
		size = headBytes(r)
	}
	if limit > 0 && size > limit {
		o := outcome.Rejected(outcome.HeadTooLarge, fmt.Sprintf("head of %d bytes, at most %d", size, limit))
		return &o
	}
	return nil
}

// headBytes returns the size of a request's head if each header value has one space before it. What spaces
// were received is not known, since net/http removes them.
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
