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
			if live := p.Callers.Memory + p.Callers.Answers + p.Peers.Memory + p.Admin.Memory; float64(2*live) > 0.9*memory*1e6 {
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
		Expect(p.Callers.Answers).To(BeNumerically(">=", 3*2<<20), "three of the largest answers that are read")
		Expect(p.Peers.Connections).To(BeNumerically(">=", 256+64), "accepted connections and handshakes of peers")
		Expect(p.Admin.Connections).To(BeNumerically(">=", 8))
	})

	// Guards against a part for answers that leaves less for connections than descriptors allow.
	It("has memory for as many connections of callers as it has descriptors, beside a request at the published limits", func() {
		p := clientlimit.Divide(136, 2870)
		atLimits := clientlimit.HeadCost(16_384/4, 16_384) + clientlimit.BodyCost(262_144)
		Expect(p.Callers.Memory).To(BeNumerically(">=", int64(p.Callers.Connections)*clientlimit.ConnCost+atLimits))
	})

	It("counts values that are not stated as those of a large machine", func() {
		p := clientlimit.Divide(0, 0)
		Expect(p).To(Equal(clientlimit.Divide(4096, 65_536)))
		Expect(p.Callers.Memory + p.Callers.Answers).To(BeNumerically(">", 1e9))
	})

	It("leaves every listener some capacity on a machine too small for it", func() {
		p := clientlimit.Divide(1, 1)
		for _, c := range []clientlimit.Capacity{p.Callers, p.Peers, p.Admin} {
			Expect(c.Memory).To(BeNumerically(">=", 1e6))
			Expect(c.Connections).To(BeNumerically(">=", 8))
		}
	})
})

var _ = Describe("Room for answers", func() {
	// Load pattern: upstreams announce or send large replies while ordinary callers are idle, connect and send.
	It("is never made by closing a connection that holds none of it", func() {
		const now = time.Minute
		for phase := clientlimit.Fresh; phase <= clientlimit.Closing; phase++ {
			for _, writing := range []time.Duration{0, now - clientlimit.SlowWrite/2} {
				Expect(clientlimit.MayCloseForAnswers(clientlimit.Conn{Phase: phase, Writing: writing, Answer: 1 << 20}, now)).To(BeFalse())
			}
		}
		stalled := clientlimit.Conn{Phase: clientlimit.Running, Writing: now - clientlimit.SlowWrite}
		Expect(clientlimit.MayCloseForAnswers(stalled, now)).To(BeFalse(), "its answer holds nothing")
		stalled.Answer = 1
		Expect(clientlimit.MayCloseForAnswers(stalled, now)).To(BeTrue())
	})

	// Load pattern: hundreds of replies without end, whose upstreams announce any length or none.
	It("is not all taken by replies that grow, however many", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			capacity := rapid.Int64Range(1e6, 1e9).Draw(t, "capacity")
			left := capacity
			for range rapid.IntRange(1, 1000).Draw(t, "replies") {
				size, step := int64(0), rapid.Int64Range(1, 1e6).Draw(t, "step")
				for n := range 1000 {
					next := clientlimit.CountedAhead(int64(n+1)*step, capacity)
					if next == size || next-size > left || !clientlimit.MayGrow(next, left) {
						break
					}
					left, size = left-(next-size), next
				}
			}
			if left <= 0 {
				t.Fatalf("%d left of %d", left, capacity)
			}
		})
	})

	// Load pattern: a route with small answers and a large one now and then, to many callers at a time.
	It("is expected by the mean of a route's answers", func() {
		expected, sum := 0, 0
		for n := range 1000 {
			size := 1000
			if n%50 == 0 {
				size = 1_000_000
			}
			expected = clientlimit.ExpectedAnswer(expected, size)
			if n >= 500 {
				sum += expected
			}
		}
		Expect(sum / 500).To(BeNumerically("~", 21_000, 5_000))
		Expect(clientlimit.ExpectedAnswer(0, 1_000_000)).To(Equal(1_000_000))
	})

	It("lets one reply of any size be read if nothing else is held", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			capacity, step := rapid.Int64Range(1e6, 1e9).Draw(t, "capacity"), rapid.Int64Range(1, 64<<10).Draw(t, "step")
			for read := int64(0); read < capacity/2; read += max(step, capacity/1000) {
				held, next := clientlimit.CountedAhead(read, capacity), clientlimit.CountedAhead(read+step, capacity)
				if next > held && !clientlimit.MayGrow(next, capacity-held) {
					t.Fatalf("%d of %d after %d", next, capacity, held)
				}
			}
		})
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
