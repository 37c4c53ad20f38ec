package upstream

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/policy/warmup"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
)

var _ = Describe("Client with upstreams that may be cold", func() {
	var a, b *fakeUpstream
	var c *Client
	var now atomic.Int64
	var told []time.Duration
	senders := []string{"vm-1"}
	const perSecond = 4
	clock := func() time.Duration { return time.Duration(now.Load()) }
	entries := func(started int) (us []*gen.Upstream) {
		for _, f := range []*fakeUpstream{a, b} {
			us = append(us, &gen.Upstream{
				Address: f.address(), Identity: "i", StartedMs: started, Zone: "a", Workload: wlOrder, Slots: 40, ConnectionLimit: 640,
			})
		}
		return us
	}
	// publish applies what is published: a is cold for left, b is warm.
	publish := func(started int, left time.Duration, perSecond float64) {
		w := map[string]warmup.Upstream{}
		for _, f := range []*fakeUpstream{a, b} {
			w[f.address()] = warmup.Upstream{PerSecond: perSecond, For: 3 * time.Second, Published: warmup.Published{ReadAt: clock(), Stated: true}}
		}
		u := w[a.address()]
		u.Left = left
		w[a.address()] = u
		if perSecond == 0 {
			w = nil
		}
		c.SetWarmups(w)
		c.Apply(newManifest(entries(started)...))
	}
	replyWith := func(f *fakeUpstream, remaining string) {
		f.setHandler(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Signature", "s")
			if remaining != "" {
				w.Header().Set("Warmup", remaining)
			}
		})
	}
	BeforeEach(func() {
		a, b, told = newFakeUpstream(), newFakeUpstream(), nil
		replyWith(a, "")
		replyWith(b, "")
		now.Store(int64(time.Hour))
		headers := passThroughHeaders
		headers.Warmup = "Warmup"
		c = newClient(Options{
			ManifestOnly: true, Headers: headers, Now: clock,
			Cold: ColdOptions{
				Overage: 1, Senders: func(*gen.Upstream) []string { return senders },
				OnCold: func(_ Incarnation, left time.Duration) { told = append(told, left) },
			},
		}, newManifest(entries(7)...))
	})
	pick := func(exclude ...string) (*Ticket, error) {
		t, _, err := c.PickPassThrough(newManifest().Workloads[wlOrder], "route", exclude)
		return t, err
	}
	do := func(t *Ticket) Result {
		return c.Do(context.Background(), t, Attempt{
			Kind: PassThrough, Route: "route", Deadline: time.Now().Add(2 * time.Second),
			PassThrough: &PassThroughRequest{Method: http.MethodGet, Target: "/x", Host: "h", ID: "id"},
		})
	}
	toA := func() error {
		t, err := pick(b.address())
		if err == nil {
			do(t)
		}
		return err
	}
	cold := func() *Cold {
		for _, s := range c.States() {
			if s.Address == a.address() {
				return s.Cold
			}
		}
		return nil
	}
	// sendable returns how many of 20 requests a gets now.
	sendable := func() (n int) {
		for range 20 {
			if toA() == nil {
				n++
			}
		}
		return n
	}

	// Before, an upstream that had just started got all requests that its replicas could not take.
	It("send it what it takes in a second, and the rest to the others", func() {
		publish(7, 5*time.Second, perSecond)
		Expect(cold()).To(Equal(&Cold{LeftMs: 5000, Source: "entry", PerSecond: perSecond, Share: perSecond}))
		var sending sync.WaitGroup
		for range 40 {
			sending.Go(func() {
				defer GinkgoRecover()
				t, err := pick()
				Expect(err).NotTo(HaveOccurred())
				do(t)
			})
		}
		sending.Wait()
		Expect(a.requests.Load()).To(BeNumerically("<=", perSecond))
		Expect(a.requests.Load() + b.requests.Load()).To(BeNumerically(">=", 36))
		for range 40 {
			_ = toA()
		}
		Expect(a.requests.Load()).To(BeNumerically("==", perSecond))
		now.Add(int64(1200 * time.Millisecond))
		Expect(sendable()).To(Equal(perSecond))
		now.Add(int64(4 * time.Second))
		c.refreshAllCold()
		Expect(cold()).To(BeNil())
		Expect(sendable()).To(Equal(20))
	})

	It("refuse with the time until the next request if there is no other", func() {
		publish(7, 5*time.Second, perSecond)
		Expect(sendable()).To(Equal(perSecond))
		var wait *WaitError
		Expect(errors.As(toA(), &wait)).To(BeTrue())
		Expect(wait.AtLimit).To(BeTrue())
		Expect(wait.Left).To(BeNumerically("~", 1100*time.Millisecond, 100*time.Millisecond))
	})

	It("give back requests that were not sent", func() {
		publish(7, 5*time.Second, perSecond)
		for range 10 {
			t, err := pick(b.address())
			Expect(err).NotTo(HaveOccurred())
			t.Cancel()
		}
		Expect(sendable()).To(Equal(perSecond))
	})

	// A request that waits for a connection while its upstream becomes cold must not be sent on top of the others.
	It("send nothing that was picked while it was warm and exceeds the bound when it is written", func() {
		publish(7, 0, perSecond)
		var tickets []*Ticket
		for range 20 {
			t, err := pick(b.address())
			Expect(err).NotTo(HaveOccurred())
			tickets = append(tickets, t)
		}
		c.RecordPeerCold(Incarnation{a.address(), "i", 7}, 5*time.Second, 0)
		for _, t := range tickets {
			do(t)
		}
		Expect(a.requests.Load()).To(BeNumerically("<=", perSecond))
	})

	It("believe a reply that it is cold, tell the others once, and believe that it is warm", func() {
		publish(7, 0, perSecond)
		replyWith(a, "2000")
		Expect(toA()).To(Succeed())
		Expect(cold().Source).To(Equal("reply"))
		now.Add(int64(1300 * time.Millisecond))
		Expect(toA()).To(Succeed())
		Expect(told).To(Equal([]time.Duration{2 * time.Second}))
		replyWith(a, "0")
		Expect(toA()).To(Succeed())
		Expect(cold()).To(BeNil())
	})

	It("believe no reply that it did not make, nor a malformed one", func() {
		publish(7, 0, perSecond)
		for _, value := range []string{"-1", "x", "NaN", "1e999x", "2000, 3000"} {
			replyWith(a, value)
			Expect(toA()).To(Succeed())
		}
		a.setHandler(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Warmup", "2000") })
		Expect(toA()).To(Succeed())
		Expect(cold()).To(BeNil())
	})

	// An upstream that crashes and returns at once is cold before its new entry is read.
	It("take it for cold after it cut a connection, until it has returned for as long as upstreams are cold", func() {
		publish(7, 0, perSecond)
		a.setHandler(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		Expect(toA()).To(Succeed())
		Expect(cold().Source).To(Equal("failure"))
		replyWith(a, "")
		now.Add(int64(1300 * time.Millisecond))
		Expect(toA()).To(Succeed())
		Expect(cold().LeftMs).To(BeNumerically("<=", 3000))
		now.Add(int64(3 * time.Second))
		c.refreshAllCold()
		Expect(cold()).To(BeNil())
	})

	It("take a new incarnation for cold that does not state its time", func() {
		publish(7, 0, perSecond)
		w := map[string]warmup.Upstream{a.address(): {PerSecond: perSecond, For: 3 * time.Second, Published: warmup.Published{ReadAt: clock()}}}
		c.SetWarmups(w)
		c.Apply(newManifest(entries(8)...))
		Expect(cold().Source).To(Equal("new"))
	})

	It("send a cold upstream nothing while this VM does not know who else does", func() {
		senders = nil
		DeferCleanup(func() { senders = []string{"vm-1"} })
		publish(7, 5*time.Second, perSecond)
		Expect(sendable()).To(BeZero())
	})

	It("name the VMs that may send to it", func() {
		senders = []string{"vm-1", "vm-2", "vm-3"}
		DeferCleanup(func() { senders = []string{"vm-1"} })
		publish(7, 5*time.Second, perSecond)
		Expect(c.LimitHolders(newManifest().Workloads[wlOrder])).To(Equal([]string{"vm-2", "vm-3"}))
		Expect(sendable()).To(BeNumerically("<=", 2))
	})

	// Deployments without a bound are served as before.
	It("do nothing where no bound is published", func() {
		publish(7, 5*time.Second, 0)
		replyWith(a, "2000")
		Expect(sendable()).To(Equal(20))
		Expect(cold()).To(BeNil())
		Expect(told).To(BeEmpty())
		Expect(c.current.Load().bounded).To(BeEmpty())
	})

	It("stop when the bound is no longer published", func() {
		publish(7, 5*time.Second, perSecond)
		Expect(sendable()).To(Equal(perSecond))
		publish(7, 5*time.Second, 0)
		Expect(sendable()).To(Equal(20))
		Expect(cold()).To(BeNil())
	})
})
