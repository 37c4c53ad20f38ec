package standin

import (
	"net"
	"sync"
	"sync/atomic"
)

// limitListener keeps at most limit connections open. It closes excess ones at once and
// calls onExcess for each.
type limitListener struct {
	net.Listener
	limit    int64
	onExcess func()
	open     atomic.Int64
	mu       sync.Mutex
	conns    map[*limitConn]bool
}

func newLimitListener(l net.Listener, limit int, onExcess func()) *limitListener {
	return &limitListener{Listener: l, limit: int64(limit), onExcess: onExcess, conns: map[*limitConn]bool{}}
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
			l.onExcess()
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

// closeAll closes every open connection.
func (l *limitListener) closeAll() {
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
	l        *limitListener
	once     sync.Once
	costPaid atomic.Bool // the delay of the first request is done
}

// Close closes the connection, which no longer counts towards the limit.
func (c *limitConn) Close() error {
	c.once.Do(func() {
		c.l.open.Add(-1)
		c.l.mu.Lock()
		delete(c.l.conns, c)
		c.l.mu.Unlock()
	})
	return c.Conn.Close()
}
