// Package relay forwards connections to one address, as a link that an experiment or a test can
// break. It serves experiments and tests only. A Relay is safe for concurrent use.
package relay

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Fault describes how a link is broken. The zero value is a link without fault.
type Fault struct {
	// Cut closes the connections; those opened later are closed at once.
	Cut bool
	// Refuse refuses new connections, as a host without a listener; open ones live on.
	Refuse bool
	// Blackhole leaves new connections without a reply and stalls open ones, as a partition. Bytes
	// that are held up are lost if their sender resets the connection meanwhile.
	Blackhole bool
	// StallToTarget holds back bytes sent to the target until the fault is over, and
	// StallFromTarget those sent by the target, as on a network that loses packets.
	StallToTarget, StallFromTarget bool
	// Delay is added to each chunk of bytes, in both directions.
	Delay time.Duration
}

// Relay forwards connections to one address and applies a Fault to them.
type Relay struct {
	address string
	target  string
	from    net.IP // source address to the target; nil for that of the incoming connection
	bytes   atomic.Int64

	listening sync.Mutex // held while the listener is replaced
	listen    io.Closer  // nil while the link refuses connections

	mu    sync.Mutex // guards the fields below
	fault Fault
	conns map[net.Conn]bool
}

// New listens on an address and forwards connections to target, with the source IP
// address from, or that of the incoming connection if from is empty. On links between VMs, that is
// the sender's IP address in the VM list of the target.
func New(ctx context.Context, address, target, from string) (*Relay, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{address: l.Addr().String(), target: target, from: net.ParseIP(from), listen: l, conns: map[net.Conn]bool{}}
	go r.accept(l)
	return r, nil
}

// Addr returns the address that the relay listens on.
func (r *Relay) Addr() string { return r.address }

// Bytes returns how many bytes were forwarded, in both directions.
func (r *Relay) Bytes() int64 { return r.bytes.Load() }

func (r *Relay) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go r.forward(c)
	}
}

// forward copies in both directions until either side ends or the link is cut.
func (r *Relay) forward(in net.Conn) {
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
	done := make(chan struct{}, 2)
	pipe := func(dst, src net.Conn, stalled func(Fault) bool) {
		r.copy(dst, src, stalled)
		done <- struct{}{}
	}
	go pipe(out, in, func(f Fault) bool { return f.StallToTarget || f.Blackhole })
	go pipe(in, out, func(f Fault) bool { return f.StallFromTarget || f.Blackhole })
	<-done
}

const (
	bufferBytes = 16 << 10
	// stallPoll is how often a stalled direction checks whether the fault is over.
	stallPoll = 5 * time.Millisecond
)

// copy forwards bytes in one direction until either side ends.
func (r *Relay) copy(dst, src net.Conn, stalled func(Fault) bool) {
	buf := make([]byte, bufferBytes)
	for {
		n, err := src.Read(buf)
		f := r.currentFault()
		held := stalled(f)
		for stalled(f) && !f.Cut {
			time.Sleep(stallPoll)
			f = r.currentFault()
		}
		if held && wasReset(src) {
			return
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

// wasReset reports whether the peer has reset a connection from which nothing more is read.
func wasReset(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	reset := true
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err != nil || info.State == tcpClose
	})
	return err != nil || reset
}

// tcpClose is the state of a connection that was reset, TCP_CLOSE.
const tcpClose = 7

func (r *Relay) currentFault() Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault
}

func (r *Relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fault.Cut {
		return false
	}
	r.conns[c] = true
	return true
}

func (r *Relay) closeConn(c net.Conn) {
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
	_ = c.Close()
}

// Cut closes the connections and refuses new ones, or accepts them again.
func (r *Relay) Cut(on bool) { r.SetFault(Fault{Cut: on}) }

// Impair applies a fault that closes no connection, or removes it if f is nil; a cut link
// stays cut.
func (r *Relay) Impair(f *Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f == nil {
		f = &Fault{}
	}
	cut := r.fault.Cut
	r.fault = *f
	r.fault.Cut = cut
}

// SetFault replaces the fault of the link. It panics if the link can't listen again.
func (r *Relay) SetFault(f Fault) {
	r.listening.Lock()
	defer r.listening.Unlock()
	r.mu.Lock()
	old := r.fault
	r.fault = f
	r.mu.Unlock()
	if f.Cut {
		r.Reset()
	}
	if f.Refuse != old.Refuse || f.Blackhole != old.Blackhole {
		r.listenAs(f)
	}
}

// SetFaults sets the fault of several links at the same time. Links that are nil are left out.
func SetFaults(links []*Relay, f Fault) {
	var setting sync.WaitGroup
	for _, r := range links {
		if r != nil {
			setting.Go(func() { r.SetFault(f) })
		}
	}
	setting.Wait()
}

// listenAs replaces the listener by what a fault needs.
func (r *Relay) listenAs(f Fault) {
	if r.listen != nil {
		_ = r.listen.Close()
		r.listen = nil
	}
	switch {
	case f.Refuse:
	case f.Blackhole:
		b, err := newBlackhole(r.address)
		if err != nil {
			panic(fmt.Errorf("relay: %w", err))
		}
		r.listen = b
	default:
		l, err := net.Listen("tcp", r.address) //nolint:noctx // loopback
		if err != nil {
			panic(fmt.Errorf("relay: %w", err))
		}
		r.listen = l
		go r.accept(l)
	}
}

// Reset closes all connections with a TCP reset, so that bytes under way are lost.
func (r *Relay) Reset() {
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

// Close closes the relay and its connections.
func (r *Relay) Close() {
	r.SetFault(Fault{Cut: true, Refuse: true})
}
