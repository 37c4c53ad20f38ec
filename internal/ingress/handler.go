package ingress

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/policy/clientlimit"
)

type connKey struct{}

// FromContext returns the connection of a request; nil if no Gate counts it. The methods of a nil *Conn do
// nothing.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// drainTimeout is how long the rest of a body that the handler has not read may take to arrive. Without it
// the server waits for the rest before it answers.
const drainTimeout = time.Second

// handler counts the bodies of the requests to h.
func (g *Gate) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		if c != nil && c.isClosing() {
			// The head was parsed while the connection was closed for its load, and 408 may have been sent.
			panic(http.ErrAbortHandler)
		}
		if c == nil || r.ContentLength == 0 || r.Body == nil {
			h.ServeHTTP(w, r)
			return
		}
		c.setPhase(clientlimit.Body)
		c.head.body = r.ContentLength
		c.body = countedBody{conn: c, from: r.Body}
		r.Body = &c.body
		h.ServeHTTP(w, r)
		if !c.body.ended && !c.isClosing() {
			c.setPhase(clientlimit.Body)
			_ = c.SetReadDeadline(time.Now().Add(drainTimeout)) // fails if the connection is closed
		}
	})
}

// countedBody counts a body while it is read.
type countedBody struct {
	conn  *Conn
	from  io.ReadCloser
	ended bool
}

// Read implements io.Reader. It fails with ErrNoRoom if there is no room for the bytes.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.from.Read(p)
	if n > 0 && !b.conn.gate.take(b.conn, clientlimit.BodyCost(n), needRequest, takeTimeout) {
		b.conn.refused(reasonMemory, needRequest)
		return 0, ErrNoRoom
	}
	ended := err == io.EOF //nolint:errorlint // readers return io.EOF itself
	if ended {
		b.conn.setPhase(clientlimit.Running) // from here on the connection is not closed to make room
	}
	if b.conn.isClosing() {
		return 0, ErrNoRoom
	}
	b.ended = ended
	return n, err
}

// Close implements io.Closer.
func (b *countedBody) Close() error { return b.from.Close() }

// HeadSize returns the size of the request's head as it was received, and whether that is known.
func (c *Conn) HeadSize() (size int, known bool) {
	if c == nil {
		return 0, false
	}
	return c.head.size, c.head.ended && !c.head.ahead
}
