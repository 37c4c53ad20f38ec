package upstream

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/clock"
	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/mechanism"
	"github.com/sardinespindle/sardinespindle/schema/gen/settings"
)

// freezer is a clock that jumps, as it does for a process that was frozen.
type jumpingClock struct{ jumped atomic.Int64 }

func (f *jumpingClock) now() time.Duration   { return clock.Boot() + time.Duration(f.jumped.Load()) }
func (f *jumpingClock) jump(d time.Duration) { f.jumped.Add(int64(d)) }

var _ = Describe("Drain lease", func() {
	var f *fakeUpstream
	var m *manifest.Manifest
	var c *Client
	var z *jumpingClock
	var reports chan Evidence
	bg := context.Background()

	BeforeEach(func() {
		f, z, reports = newFakeUpstream(), &jumpingClock{}, make(chan Evidence, 100)
		m = newManifest(entry(f.address()))
		c = newClient(Options{Now: z.now, Report: func(e Evidence) { reports <- e }}, m)
	})

	It("asks an upstream first that it has not heard of lately, and sends nothing to a leaving one", func() {
		Expect(attemptOnce(bg, c, m, search()).Class).To(Equal(OK))
		Expect(attemptOnce(bg, c, m, search()).Class).To(Equal(OK))
		Expect(f.probes.Load()).To(BeEquivalentTo(1))
		f.draining.Store(true)
		z.jump(3 * time.Second)
		r := attemptOnce(bg, c, m, search())
		Expect(r.Class).To(Equal(NotSent))
		Expect(r.Err).To(MatchError(ErrDraining))
		Expect(f.requests.Load()).To(BeEquivalentTo(2))
		_, err := c.Pick(m.Workloads[wlSearch], "s0", nil, false)
		Expect(err).To(MatchError(ErrDraining))
		Expect(reports).To(Receive(HaveField("Draining", true)))
	})

	It("checks the lease when a connection comes free, after a freeze in the queue", func() {
		c = newClient(Options{Now: z.now, VMs: func() int { return 40 }}, m) // a share of one connection
		arrived, release := make(chan struct{}), make(chan struct{})
		f.setHandler(func(w http.ResponseWriter, r *http.Request) {
			close(arrived)
			<-release
			f.replyEmpty(w, r)
		})
		var wg sync.WaitGroup
		first, second := Result{}, Result{}
		wg.Go(func() { first = attemptOnce(bg, c, m, search()) })
		<-arrived
		wg.Go(func() { second = attemptOnce(bg, c, m, search()) })
		Eventually(func() int { return c.States()[0].Outstanding }).Should(Equal(2))
		time.Sleep(20 * time.Millisecond) // lets the second reach the queue; the verdict does not depend on it
		f.draining.Store(true)
		z.jump(5 * time.Second)
		close(release)
		wg.Wait()
		Expect(first.Class).To(Equal(OK))
		Expect(second.Class).To(Equal(NotSent))
		Expect(f.requests.Load()).To(BeEquivalentTo(1))
	})

	It("checks at the write itself: a freeze after every other check sends nothing", func() {
		Expect(attemptOnce(bg, c, m, search()).Class).To(Equal(OK))
		s := c.current.Load().servers[f.address()]
		cn, err := s.pool.get(bg)
		Expect(err).NotTo(HaveOccurred())
		z.jump(3 * time.Second)
		a := search()
		r, _ := c.send(bg, s, cn, &a)
		Expect(r.Class).To(Equal(NotSent))
		Expect(f.requests.Load()).To(BeEquivalentTo(1))
	})

	It("stops an attempt whose check fails before the first byte", func() {
		a := order()
		a.Check = func() error { return fmt.Errorf("claim lost") }
		Expect(attemptOnce(bg, c, m, a).Class).To(Equal(NotSent))
		Expect(f.requests.Load()).To(BeZero())
	})

	It("shares one probe among all that wait for it", func() {
		var wg sync.WaitGroup
		for range 4 {
			wg.Go(func() {
				defer GinkgoRecover()
				Expect(attemptOnce(bg, c, m, search()).Class).To(Equal(OK))
			})
		}
		wg.Wait()
		Expect(f.probes.Load()).To(BeEquivalentTo(1))
	})

	It("hears of a drain from a reply, and of its end from its own probe", func() {
		f.draining.Store(true)
		s := c.current.Load().servers[f.address()]
		s.recordReply(z.now(), z.now(), false)
		Expect(attemptOnce(bg, c, m, search()).Class).To(Equal(OK))
		_, err := c.Pick(m.Workloads[wlSearch], "s0", nil, false)
		Expect(err).To(MatchError(ErrDraining))
		Expect(reports).To(Receive(HaveField("Draining", true)))
		f.draining.Store(false)
		c.opts.Members = func() []string { return []string{"vm-1"} }
		ctx, cancel := context.WithCancel(bg)
		done := make(chan struct{})
		go func() { defer close(done); c.Run(ctx) }()
		Eventually(reports, "5s").Should(Receive(HaveField("Draining", false)))
		Expect(attemptOnce(bg, c, m, search()).Class).To(Equal(OK))
		cancel()
		Eventually(done).Should(BeClosed())
	})

	It("asks itself where only a peer says that the last replica drains", func() {
		Expect(attemptOnce(bg, c, m, search()).Class).To(Equal(OK))
		c.Learn(Evidence{Address: f.address(), Draining: true})
		Expect(attemptOnce(bg, c, m, search()).Class).To(Equal(OK))
		Expect(f.probes.Load()).To(BeEquivalentTo(2))
		c.Learn(Evidence{Address: f.address(), Draining: true, Age: time.Minute}) // older than the reply
		Expect(attemptOnce(bg, c, m, search()).Class).To(Equal(OK))
		Expect(f.probes.Load()).To(BeEquivalentTo(2))
	})

	It("keeps to the replica with a lease while that is idle, and to no slow one", func() {
		other := newFakeUpstream()
		m = newManifest(entry(f.address()), entry(other.address()))
		c = newClient(Options{Now: z.now}, m) // neither replica is new to it
		held, free := c.current.Load().servers[f.address()], c.current.Load().servers[other.address()]
		renew := func() {
			z.jump(3 * time.Second)
			held.recordReply(z.now(), z.now(), false)
		}
		learn := func(s *server, latency time.Duration) {
			s.takeSlot(c.rules)
			s.recordResult(z.now(), OK, latency, latency, 0)
		}
		picks := func() (n int) {
			for range 200 {
				t, err := c.Pick(m.Workloads[wlSearch], "s0", nil, false)
				Expect(err).NotTo(HaveOccurred())
				if t.Address() == other.address() {
					n++
				}
				t.Cancel()
			}
			return n
		}
		learn(held, 10*time.Millisecond)
		learn(free, 10*time.Millisecond)
		renew()
		Expect(picks()).To(BeZero())
		held.takeSlot(c.rules)
		Expect(picks()).To(BeNumerically(">", 50))
		held.returnSlot(&Ticket{})
		for range 20 {
			learn(held, 100*time.Millisecond)
		}
		Expect(picks()).To(BeNumerically(">", 150))
	})

	It("passes by a replica that a peer doubts", func() {
		other := newFakeUpstream()
		m = newManifest(entry(f.address()), entry(other.address()))
		c.Apply(m)
		c.Learn(Evidence{Address: f.address(), Draining: true})
		for range 10 {
			Expect(attemptOnce(bg, c, m, search()).Address).To(Equal(other.address()))
		}
		Expect(f.probes.Load()).To(BeZero())
	})

	It("follows the manifest, and never takes a probe without a good status for evidence", func() {
		e := entry(f.address())
		e.Draining = true
		c.Apply(newManifest(e))
		_, err := c.Pick(m.Workloads[wlSearch], "s0", nil, false)
		Expect(err).To(MatchError(ErrDraining))
		f.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) })
		c.Apply(m)
		Expect(attemptOnce(bg, c, m, search()).Class).To(Equal(NotSent))
		Expect(c.States()[0].Suspect).To(BeTrue())
	})

	It("sends to a leaving upstream only where the mechanism is off", func() {
		off := newClient(Options{Now: z.now, Mechanisms: mechanism.New(&settings.Experiment{Disable: []settings.ExperimentDisableElem{settings.ExperimentDisableElemDrain}})}, m)
		f.draining.Store(true)
		for range 3 {
			Expect(attemptOnce(bg, off, m, search()).Class).To(Equal(OK))
		}
		Expect(f.probes.Load()).To(BeZero())
	})
})
