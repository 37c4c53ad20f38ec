package poison_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/clock"
	"github.com/sardinespindle/sardinespindle/internal/peer"
	"github.com/sardinespindle/sardinespindle/internal/poison"
	"github.com/sardinespindle/sardinespindle/schema/gen/platform"
)

// startNodes starts n VMs on loopback addresses and returns the guards of those that work.
// The last ones, as many as mute says, listen but never reply.
func startNodes(n, mute int) []*poison.Guard {
	var guards []*poison.Guard
	var vms []platform.VM
	var nodes []*peer.Node
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	for i := range n {
		ip := fmt.Sprintf("127.0.30.%d", i+1)
		l, err := net.Listen("tcp", ip+":0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { l.Close() })
		vms = append(vms, platform.VM{Name: name(i), Zone: "z", PeerAddress: l.Addr().String(), State: "live"})
		if i >= n-mute {
			continue
		}
		node := peer.New(peer.Options{
			Name: name(i), Zone: "z", Incarnation: "x", Started: clock.Boot(), ListenIP: ip, Log: log.New(io.Discard),
		})
		mux := http.NewServeMux()
		mux.Handle(peer.Path, node.Handler())
		s := httptest.NewUnstartedServer(mux)
		s.Listener.Close()
		s.Listener = l
		s.Start()
		DeferCleanup(s.Close)
		nodes = append(nodes, node)
		guards = append(guards, poison.New(poison.Options{VM: name(i), Fleet: node}))
	}
	for _, node := range nodes {
		node.SetVMs(vms)
		done := make(chan struct{})
		go func() { defer close(done); node.Run(ctx) }()
		DeferCleanup(func() { cancel(); <-done })
	}
	for _, node := range nodes {
		Eventually(func() int {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			return node.Spread(ctx, node.Facts().PutFact("test/"+node.Facts().Origin(), "", time.Second))
		}, "10s", "10ms").Should(Equal(n - 1 - mute))
	}
	return guards
}

var _ = Describe("a request that crashes upstreams, in a fleet connected by a network", func() {
	// VMs that never reply must neither block the permission nor delay each resend for long.
	DescribeTable("crashes two upstreams if it is resent through every VM in turn", func(n, mute int, pause time.Duration) {
		guards := startNodes(n, mute)
		crashes := 0
		var slowest time.Duration
		for round := range 3 {
			for i, g := range guards {
				start := time.Now()
				crashes += (&modelVM{Guard: g}).resend(fmt.Sprint("r", round, "-", i))
				slowest = max(slowest, time.Since(start))
				time.Sleep(pause)
			}
		}
		Expect(crashes).To(Equal(2))
		// A resend reports at most two losses and asks for permission once; each takes at
		// most 50 ms.
		Expect(slowest).To(BeNumerically("<", time.Second))
		GinkgoWriter.Println("slowest resend", slowest)
	},
		Entry("20 VMs, without a pause", 20, 0, time.Duration(0)),
		Entry("20 VMs, 30 ms apart", 20, 0, 30*time.Millisecond),
		Entry("14 VMs, 3 of which never reply", 14, 3, time.Duration(0)),
	)
})
