package bench

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// linkFault describes how a link is broken. The zero value is a link without fault.
type linkFault struct {
	// Cut closes the connections and refuses new ones.
	Cut bool
	// StallToTarget holds back bytes sent to the target until the fault is over, and
	// StallFromTarget those sent by the target, as on a network that loses packets.
	StallToTarget, StallFromTarget bool
	// Delay is added to each chunk of bytes, in both directions.
	Delay time.Duration
}

// relay forwards connections to one address and applies a linkFault to them. mu guards
// fault and the fields after it.
type relay struct {
	target      string
	from        net.IP // source address to the target; nil for that of the incoming connection
	listen      net.Listener
	bytes       atomic.Int64 // forwarded, in both directions
	mu          sync.Mutex
	fault       linkFault
	conns       map[net.Conn]bool
	targetConns int // open connections to the target
}

// newRelay listens on an address and forwards connections to target, with the source IP
// address from, or that of the incoming connection if from is empty. On links between VMs, that is
// the sender's IP address in the VM list of the target.
func newRelay(ctx context.Context, address, target, from string) (*relay, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &relay{target: target, from: net.ParseIP(from), listen: l, conns: map[net.Conn]bool{}}
	go r.accept()
	return r, nil
}

func (r *relay) accept() {
	for {
		c, err := r.listen.Accept()
		if err != nil {
			return
		}
		go r.forward(c)
	}
}

// forward copies in both directions until either side ends or the link is cut.
func (r *relay) forward(in net.Conn) {
	defer r.closeConn(in)
	if !r.track(in) {
		return
	}
	source := r.from
	if remote, ok := in.RemoteAddr().(*net.TCPAddr); ok && source == nil {
		source = remote.IP
	}
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: source}}
	out, err := d.Dial("tcp", r.target) //nolint:noctx // loopback, refused at once
	if err != nil {
		return
	}
	defer r.closeConn(out)
	if !r.track(out) {
		return
	}
	r.addTargetConns(1)
	defer r.addTargetConns(-1)
	done := make(chan struct{}, 2)
	pipe := func(dst, src net.Conn, stalled func(linkFault) bool) {
		r.copy(dst, src, stalled)
		done <- struct{}{}
	}
	go pipe(out, in, func(f linkFault) bool { return f.StallToTarget })
	go pipe(in, out, func(f linkFault) bool { return f.StallFromTarget })
	<-done
}

// addTargetConns adds n to targetConns.
func (r *relay) addTargetConns(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.targetConns += n
}

const (
	bufferBytes = 16 << 10
	// stallPoll is how often a stalled direction checks whether the fault is over.
	stallPoll = 5 * time.Millisecond
)

// copy forwards bytes in one direction until either side ends.
func (r *relay) copy(dst, src net.Conn, stalled func(linkFault) bool) {
	buf := make([]byte, bufferBytes)
	for {
		n, err := src.Read(buf)
		f := r.currentFault()
		for stalled(f) && !f.Cut {
			time.Sleep(stallPoll)
			f = r.currentFault()
		}
		time.Sleep(f.Delay)
		if n > 0 {
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
			r.bytes.Add(int64(n))
		}
		if err != nil {
			return
		}
	}
}

func (r *relay) currentFault() linkFault {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault
}

func (r *relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fault.Cut {
		return false
	}
	r.conns[c] = true
	return true
}

func (r *relay) closeConn(c net.Conn) {
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
	_ = c.Close()
}

// cut closes the connections and refuses new ones, or accepts them again.
func (r *relay) cut(on bool) { r.setFault(linkFault{Cut: on}) }

// impair applies a fault that closes no connection, or removes it if f is nil; a cut link
// stays cut.
func (r *relay) impair(f *linkFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f == nil {
		f = &linkFault{}
	}
	cut := r.fault.Cut
	r.fault = *f
	r.fault.Cut = cut
}

// setFault replaces the fault of the link. The fault Cut closes the connections.
func (r *relay) setFault(f linkFault) {
	r.mu.Lock()
	r.fault = f
	r.mu.Unlock()
	if f.Cut {
		r.reset()
	}
}

// reset closes all connections with a TCP reset, so that bytes under way are lost.
func (r *relay) reset() {
	r.mu.Lock()
	conns := slices.Collect(maps.Keys(r.conns))
	r.mu.Unlock()
	for _, c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (r *relay) close() {
	_ = r.listen.Close()
	r.cut(true)
}
