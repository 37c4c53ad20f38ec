package replyhead

import (
	"context"
	"net"
	"sync"
)

// DialFunc opens a connection, as http.Transport.DialContext does.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a dial function for an http.Transport: reads on its connections fail at a reply with an invalid head. Requests
// must be short enough to be written at once, since a write after a reply begins the next request.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
}

// conn is a connection whose replies are checked.
type conn struct {
	net.Conn

	mu    sync.Mutex // guards reply
	reply Scanner
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.reply.ended {
		c.reply.Expect()
	}
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if headErr := c.reply.Scan(p[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}
