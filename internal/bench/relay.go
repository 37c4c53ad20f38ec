package bench

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// relay passes on the connections from one VM to another, and can cut them. One lock
// guards its state.
type relay struct {
	target string
	dialer net.Dialer
	listen net.Listener
	bytes  atomic.Int64 // passed on in both directions
	mu     sync.Mutex
	isCut  bool
	conns  map[net.Conn]bool
}

// newRelay listens on an address and passes connections on to target, from the IP
// number by which the target's VM knows the other.
func newRelay(ctx context.Context, address, target, from string) (*relay, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &relay{target: target, dialer: net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}, listen: l, conns: map[net.Conn]bool{}}
	go r.accept()
	return r, nil
}

func (r *relay) accept() {
	for {
		c, err := r.listen.Accept()
		if err != nil {
			return
		}
		go r.pass(c)
	}
}

// pass copies in both directions until either side ends or the link is cut.
func (r *relay) pass(in net.Conn) {
	defer r.drop(in)
	if !r.keep(in) {
		return
	}
	out, err := r.dialer.Dial("tcp", r.target) //nolint:noctx // loopback, refused at once
	if err != nil {
		return
	}
	defer r.drop(out)
	if !r.keep(out) {
		return
	}
	done := make(chan struct{}, 2)
	pipe := func(dst, src net.Conn) {
		_, _ = io.Copy(counter{dst, &r.bytes}, src)
		done <- struct{}{}
	}
	go pipe(out, in)
	go pipe(in, out)
	<-done
}

func (r *relay) keep(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isCut {
		return false
	}
	r.conns[c] = true
	return true
}

func (r *relay) drop(c net.Conn) {
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
	_ = c.Close()
}

// cut ends the connections and refuses new ones, or lets them pass again.
func (r *relay) cut(on bool) {
	r.mu.Lock()
	r.isCut = on
	conns := make([]net.Conn, 0, len(r.conns))
	for c := range r.conns {
		conns = append(conns, c)
	}
	r.mu.Unlock()
	if !on {
		return
	}
	for _, c := range conns {
		_ = c.Close()
	}
}

func (r *relay) close() {
	_ = r.listen.Close()
	r.cut(true)
}

// counter counts what is written.
type counter struct {
	io.Writer
	n *atomic.Int64
}

// Write writes and counts.
func (c counter) Write(b []byte) (int, error) {
	n, err := c.Writer.Write(b)
	c.n.Add(int64(n))
	return n, err
}
