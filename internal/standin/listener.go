package standin

import (
	"net"
	"sync"
	"sync/atomic"
)

// limitListener accepts a bounded number of connections at a time. Excess ones are
// closed at once and counted.
type limitListener struct {
	net.Listener
	limit int64
	over  func()
	open  atomic.Int64
	mu    sync.Mutex
	conns map[*limitConn]bool
}

func newLimitListener(l net.Listener, limit int, over func()) *limitListener {
	return &limitListener{Listener: l, limit: int64(limit), over: over, conns: map[*limitConn]bool{}}
}

// Accept waits for the next connection within the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) > l.limit {
			l.open.Add(-1)
			l.over()
			_ = c.Close()
			continue
		}
		lc := &limitConn{Conn: c, l: l}
		l.mu.Lock()
		l.conns[lc] = true
		l.mu.Unlock()
		return lc, nil
	}
}

// cut closes every open connection.
func (l *limitListener) cut() {
	l.mu.Lock()
	conns := make([]*limitConn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

type limitConn struct {
	net.Conn
	l    *limitListener
	once sync.Once
	used atomic.Bool // whether the cost of the connection has been paid
}

// Close closes the connection and gives its place back.
func (c *limitConn) Close() error {
	c.once.Do(func() {
		c.l.open.Add(-1)
		c.l.mu.Lock()
		delete(c.l.conns, c)
		c.l.mu.Unlock()
	})
	return c.Conn.Close()
}
