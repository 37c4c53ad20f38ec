package peer_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sardinespindle/sardinespindle/internal/clock"
	"github.com/sardinespindle/sardinespindle/internal/peer"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
	"github.com/sardinespindle/sardinespindle/schema/gen/platform"
)

func TestPeer(t *testing.T) { testkit.Run(t, "peer") }

// vm is one node of a test fleet on a loopback address of its own.
type vm struct {
	*peer.Node
	name, ip, address string
	registry          *prometheus.Registry
	server            *httptest.Server
	cancel            context.CancelFunc
	done              chan struct{}
	// clockJump is added to the node's clock; a jump looks like a pause of the process.
	clockJump atomic.Int64
}

func (v *vm) stop() {
	v.cancel()
	<-v.done
	v.server.Close()
}

// fleet is a set of nodes whose network links can be cut.
type fleet struct {
	vms    []*vm
	limits *peer.Limits
	mu     sync.Mutex
	cuts   map[[2]string]bool
}

func newFleet(n int) *fleet { return newLimitedFleet(n, nil) }

func newLimitedFleet(n int, limits *peer.Limits) *fleet {
	f := &fleet{cuts: map[[2]string]bool{}, limits: limits}
	for i := range n {
		f.vms = append(f.vms, f.start(i, "1"))
	}
	f.announceVMs()
	DeferCleanup(func() {
		for _, v := range f.vms {
			v.stop()
		}
	})
	return f
}

func (f *fleet) start(i int, incarnation string) *vm {
	v := &vm{
		name: fmt.Sprintf("vm%d", i), ip: fmt.Sprintf("127.0.%d.%d", 10+GinkgoParallelProcess(), i+1),
		registry: prometheus.NewRegistry(), done: make(chan struct{}),
	}
	d := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(v.ip)}}
	v.Node = peer.New(peer.Options{
		Name: v.name, Zone: fmt.Sprintf("z%d", i%3), Incarnation: v.name + "-" + incarnation,
		Started: clock.Boot(), ListenIP: v.ip, Log: log.New(io.Discard), Registerer: v.registry, Limits: f.limits,
		Now: func() time.Duration { return clock.Boot() + time.Duration(v.clockJump.Load()) },
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			host, _, _ := net.SplitHostPort(address)
			if f.isCut(v.ip, host) {
				return nil, fmt.Errorf("cut")
			}
			c, err := d.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &link{Conn: c, fleet: f, a: v.ip, b: host}, nil
		},
	})
	mux := http.NewServeMux()
	mux.Handle(peer.Path, v.Handler())
	v.server = httptest.NewUnstartedServer(mux)
	l, err := net.Listen("tcp", v.ip+":0")
	Expect(err).NotTo(HaveOccurred())
	v.server.Listener.Close()
	v.server.Listener = l
	v.server.Start()
	v.address = l.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel = cancel
	go func() { defer close(v.done); v.Run(ctx) }()
	return v
}

func (f *fleet) announceVMs() {
	var vms []platform.VM
	for i, v := range f.vms {
		vms = append(vms, platform.VM{Name: v.name, Zone: fmt.Sprintf("z%d", i%3), PeerAddress: v.address, State: platform.VMStateLive})
	}
	for _, v := range f.vms {
		v.SetVMs(vms)
	}
}

func (f *fleet) isCut(a, b string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cuts[[2]string{min(a, b), max(a, b)}]
}

func (f *fleet) setCut(a, b *vm, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts[[2]string{min(a.ip, b.ip), max(a.ip, b.ip)}] = cut
}

// link is a connection between two VMs. Once it is used while the network between them is
// cut, it drops all bytes without an error, also after the network is restored.
type link struct {
	net.Conn
	fleet *fleet
	a, b  string
	dead  atomic.Bool
}

func (l *link) silent() bool {
	if l.fleet.isCut(l.a, l.b) {
		l.dead.Store(true)
	}
	return l.dead.Load()
}

func (l *link) Write(p []byte) (int, error) {
	if l.silent() {
		return len(p), nil
	}
	return l.Conn.Write(p)
}

func (l *link) Read(p []byte) (int, error) {
	n, err := l.Conn.Read(p)
	for err == nil && l.silent() {
		n, err = l.Conn.Read(p)
	}
	return n, err
}

// reached counts the nodes that hold a fact with this key prefix and value.
func (f *fleet) reached(key, value string) int {
	count := 0
	for _, v := range f.vms {
		for _, fact := range v.Facts().List(key) {
			if fact.Value == value {
				count++
				break
			}
		}
	}
	return count
}

var _ = Describe("a fleet", func() {
	It("carries a fact to all of 20 VMs, and to an isolated one once it is reconnected", func() {
		f := newFleet(20)
		f.vms[0].Facts().Put("drain/a", "1", time.Minute)
		Eventually(func() int { return f.reached("drain/a", "1") }, "5s", "5ms").Should(Equal(20))
		start := time.Now()
		f.vms[7].Facts().Put("drain/b", "1", time.Minute)
		Eventually(func() int { return f.reached("drain/b", "1") }, "5s", "1ms").Should(Equal(20))
		GinkgoWriter.Println("reached 20 after", time.Since(start))
		for _, v := range f.vms[1:] {
			f.setCut(f.vms[0], v, true)
		}
		f.vms[3].Facts().Put("drain/c", "1", time.Minute)
		Eventually(func() int { return f.reached("drain/c", "1") }, "5s", "5ms").Should(Equal(19))
		Consistently(func() int { return f.reached("drain/c", "1") }, "300ms", "20ms").Should(Equal(19))
		for _, v := range f.vms[1:] {
			f.setCut(f.vms[0], v, false)
		}
		start = time.Now()
		Eventually(func() int { return f.reached("drain/c", "1") }, "20s", "10ms").Should(Equal(20))
		GinkgoWriter.Println("healed after", time.Since(start))
	})

	It("passes a spread fact by gossip to a VM that its sender cannot reach", func() {
		f := newFleet(6)
		spread := func(key string) int {
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			return f.vms[0].Spread(ctx, f.vms[0].Facts().PutFact(key, "1", time.Minute))
		}
		Eventually(func() int { return spread("crash/f/warm") }, "5s", "10ms").Should(Equal(5))
		f.setCut(f.vms[0], f.vms[3], true)
		Expect(spread("crash/f/1")).To(Equal(4))
		Eventually(func() int { return f.reached("crash/f/1", "1") }, "500ms", "5ms").Should(Equal(6))
	})
})
