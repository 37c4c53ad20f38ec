package clientlimit_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sardinespindle/sardinespindle/internal/policy/clientlimit"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

func TestClientlimit(t *testing.T) { testkit.Run(t, "clientlimit") }

var _ = Describe("Divide", func() {
	// Guards against capacities that together exceed the machine, or leave no descriptors for upstreams.
	It("leaves memory for the process and descriptors for upstreams", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			memory, descriptors := rapid.Float64Range(80, 1e6).Draw(t, "memory"), rapid.Float64Range(700, 1e6).Draw(t, "descriptors")
			p := clientlimit.Divide(memory, descriptors)
			if live := p.Callers.Memory + p.Peers.Memory + p.Admin.Memory; float64(2*live) > 0.9*memory*1e6 {
				t.Fatalf("%d bytes in use of %f MB", live, memory)
			}
			if conns := p.Callers.Connections + p.Peers.Connections + p.Admin.Connections; float64(conns) > 0.6*(descriptors-200) {
				t.Fatalf("%d connections of %f descriptors", conns, descriptors)
			}
		})
	})

	It("has room for requests at the published limits on the smallest machine", func() {
		p := clientlimit.Divide(136, 2870)
		atLimits := clientlimit.ConnCost + clientlimit.HeadCost(16_384/4, 16_384) + clientlimit.BodyCost(262_144)
		Expect(p.Callers.Memory / atLimits).To(BeNumerically(">=", 10))
		Expect(p.Peers.Connections).To(BeNumerically(">=", 256+64), "accepted connections and handshakes of peers")
		Expect(p.Admin.Connections).To(BeNumerically(">=", 8))
	})

	It("counts values that are not stated as those of a large machine", func() {
		p := clientlimit.Divide(0, 0)
		Expect(p).To(Equal(clientlimit.Divide(4096, 65_536)))
		Expect(p.Callers.Memory).To(BeNumerically(">", 1e9))
	})

	It("leaves every listener some capacity on a machine too small for it", func() {
		p := clientlimit.Divide(1, 1)
		for _, c := range []clientlimit.Capacity{p.Callers, p.Peers, p.Admin} {
			Expect(c.Memory).To(BeNumerically(">=", 1e6))
			Expect(c.Connections).To(BeNumerically(">=", 8))
		}
	})
})

var _ = Describe("The connection that is closed to make room", func() {
	const now = time.Minute
	first := func(conns ...clientlimit.Conn) int {
		best := -1
		for i, c := range conns {
			if clientlimit.MayClose(c, now) && (best < 0 || clientlimit.CloseBefore(c, conns[best], now)) {
				best = i
			}
		}
		return best
	}

	// Load pattern: many clients stop half-way, and ordinary callers, whose requests arrive at once, connect
	// later.
	It("is one whose request arrives slowly, not one that an ordinary caller has just opened or left idle", func() {
		Expect(first(
			clientlimit.Conn{Phase: clientlimit.Idle, Since: now - 10*time.Second},
			clientlimit.Conn{Phase: clientlimit.Head, Since: now - time.Millisecond},
			clientlimit.Conn{Phase: clientlimit.Body, Since: now - 3*time.Second},
			clientlimit.Conn{Phase: clientlimit.Fresh, Since: now - time.Second},
			clientlimit.Conn{Phase: clientlimit.Running, Since: now - 20*time.Second},
		)).To(Equal(2))
	})

	// Load pattern: clients that do not read large answers.
	It("is before that one whose answer is not read", func() {
		Expect(first(
			clientlimit.Conn{Phase: clientlimit.Head, Since: now - 10*time.Second},
			clientlimit.Conn{Phase: clientlimit.Running, Writing: now - clientlimit.SlowWrite},
		)).To(Equal(1))
		Expect(clientlimit.Stalled(clientlimit.Conn{Phase: clientlimit.Running, Writing: now - clientlimit.StalledWrite}, now)).To(BeTrue())
	})

	It("is the one that was idle for longest if all requests have arrived", func() {
		Expect(first(
			clientlimit.Conn{Phase: clientlimit.Idle, Since: now - time.Second},
			clientlimit.Conn{Phase: clientlimit.Idle, Since: now - 2*time.Second},
		)).To(Equal(1))
	})

	// A refusal after a request was sent to upstreams would be untrue.
	It("is never one whose request has arrived, one between VMs, or one that is being closed", func() {
		for _, phase := range []clientlimit.Phase{clientlimit.Running, clientlimit.Upgraded, clientlimit.Closing} {
			Expect(first(clientlimit.Conn{Phase: phase})).To(Equal(-1))
		}
		Expect(first(clientlimit.Conn{Phase: clientlimit.Running, Writing: now - clientlimit.SlowWrite/2})).To(Equal(-1))
	})
})
