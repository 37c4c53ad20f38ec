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

// jumpingClock can jump ahead, as the clock does for a process that was paused.
type jumpingClock struct{ offset atomic.Int64 }

func (c *jumpingClock) now() time.Duration   { return clock.Boot() + time.Duration(c.offset.Load()) }
func (c *jumpingClock) jump(d time.Duration) { c.offset.Add(int64(d)) }

var _ = Describe("A client with drain leases", func() {
	var f *fakeUpstream
	var m *manifest.Manifest
	var c *Client
	var clk *jumpingClock
	var reports chan DrainEvidence
	bg := context.Background()

	BeforeEach(func() {
		f, clk, reports = newFakeUpstream(), &jumpingClock{}, make(chan DrainEvidence, 100)
		m = newManifest(entry(f.address()))
		c = newClient(Options{Now: clk.now, OnDrainChange: func(e DrainEvidence) { reports <- e }}, m)
	})

	It("probes an upstream without a lease before sending, and sends nothing to a draining one", func() {
		Expect(attemptOnce(bg, c, m, newSearch()).Class).To(Equal(OK))
		Expect(attemptOnce(bg, c, m, newSearch()).Class).To(Equal(OK))
		Expect(f.probes.Load()).To(BeEquivalentTo(1))
		f.draining.Store(true)
		clk.jump(3 * time.Second)
		r := attemptOnce(bg, c, m, newSearch())
		Expect(r.Class).To(Equal(NotSent))
		Expect(r.Err).To(MatchError(ErrDraining))
		Expect(f.requests.Load()).To(BeEquivalentTo(2))
		_, err := c.Pick(m.Workloads[wlSearch], "s0", nil, false)
		Expect(err).To(MatchError(ErrDraining))
		Expect(reports).To(Receive(HaveField("Draining", true)))
	})

	// If the VM is paused while an attempt waits for a connection, the attempt would be sent
	// after the lease has expired.
	It("checks the lease again when a connection becomes free", func() {
		c = newClient(Options{Now: clk.now, VMs: func() int { return 40 }}, m) // a share of one connection
		arrived, release := make(chan struct{}), make(chan struct{})
		f.setHandler(func(w http.ResponseWriter, r *http.Request) {
			close(arrived)
			<-release
			f.replyEmpty(w, r)
		})
		var wg sync.WaitGroup
		first, second := Result{}, Result{}
		wg.Go(func() { first = attemptOnce(bg, c, m, newSearch()) })
		<-arrived
		wg.Go(func() { second = attemptOnce(bg, c, m, newSearch()) })
		Eventually(func() int { return c.States()[0].Outstanding }).Should(Equal(2))
		time.Sleep(20 * time.Millisecond) // lets the second attempt reach the queue; the result is the same if it does not
		f.draining.Store(true)
		clk.jump(5 * time.Second)
		close(release)
		wg.Wait()
		Expect(first.Class).To(Equal(OK))
		Expect(second.Class).To(Equal(NotSent))
		Expect(f.requests.Load()).To(BeEquivalentTo(1))
	})

	// A pause after the last check would send work to an upstream that has started to
	// drain meanwhile.
	It("sends nothing if the VM is paused between taking a connection and the write", func() {
		Expect(attemptOnce(bg, c, m, newSearch()).Class).To(Equal(OK))
		s := c.current.Load().servers[f.address()]
		cn, err := s.pool.get(bg)
		Expect(err).NotTo(HaveOccurred())
		clk.jump(3 * time.Second)
		a := newSearch()
		r, _ := c.send(bg, s, cn, &a)
		Expect(r.Class).To(Equal(NotSent))
		Expect(f.requests.Load()).To(BeEquivalentTo(1))
	})

	It("sends nothing if the attempt's BeforeWrite fails", func() {
		a := newOrder()
		a.BeforeWrite = func() error { return fmt.Errorf("claim lost") }
		Expect(attemptOnce(bg, c, m, a).Class).To(Equal(NotSent))
		Expect(f.requests.Load()).To(BeZero())
	})

	// A probe for each waiting attempt would use up the connections.
	It("shares one probe among concurrent attempts", func() {
		var wg sync.WaitGroup
		for range 4 {
			wg.Go(func() {
				defer GinkgoRecover()
				Expect(attemptOnce(bg, c, m, newSearch()).Class).To(Equal(OK))
			})
		}
		wg.Wait()
		Expect(f.probes.Load()).To(BeEquivalentTo(1))
	})

	It("learns that an upstream drains from a reply, and that it stopped draining from a probe", func() {
		f.draining.Store(true)
		s := c.current.Load().servers[f.address()]
		s.recordReply(clk.now(), clk.now(), false)
		Expect(attemptOnce(bg, c, m, newSearch()).Class).To(Equal(OK))
		_, err := c.Pick(m.Workloads[wlSearch], "s0", nil, false)
		Expect(err).To(MatchError(ErrDraining))
		Expect(reports).To(Receive(HaveField("Draining", true)))
		f.draining.Store(false)
		c.opts.Members = func() []string { return []string{"vm-1"} }
		ctx, cancel := context.WithCancel(bg)
		done := make(chan struct{})
		go func() { defer close(done); c.Run(ctx) }()
		Eventually(reports, "5s").Should(Receive(HaveField("Draining", false)))
		Expect(attemptOnce(bg, c, m, newSearch()).Class).To(Equal(OK))
		cancel()
		Eventually(done).Should(BeClosed())
	})

	// An outdated report of a peer would make the last replica unavailable.
	It("probes the last replica if only a peer reports that it drains", func() {
		Expect(attemptOnce(bg, c, m, newSearch()).Class).To(Equal(OK))
		c.RecordPeerEvidence(DrainEvidence{Address: f.address(), Draining: true})
		Expect(attemptOnce(bg, c, m, newSearch()).Class).To(Equal(OK))
		Expect(f.probes.Load()).To(BeEquivalentTo(2))
		c.RecordPeerEvidence(DrainEvidence{Address: f.address(), Draining: true, Age: time.Minute}) // older than the reply
		Expect(attemptOnce(bg, c, m, newSearch()).Class).To(Equal(OK))
		Expect(f.probes.Load()).To(BeEquivalentTo(2))
	})

	// A replica without a lease costs an extra round trip for its probe.
	It("prefers a replica with a lease while it is idle and not much slower", func() {
		other := newFakeUpstream()
		m = newManifest(entry(f.address()), entry(other.address()))
		c = newClient(Options{Now: clk.now}, m) // starts with both replicas, so that neither is in slow start
		leased, unleased := c.current.Load().servers[f.address()], c.current.Load().servers[other.address()]
		renew := func() {
			clk.jump(3 * time.Second)
			leased.recordReply(clk.now(), clk.now(), false)
		}
		recordOK := func(s *server, latency time.Duration) {
			s.takeSlot(c.rules)
			s.recordResult(clk.now(), OK, latency, latency, 0)
		}
		unleasedPicks := func() (n int) {
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
		recordOK(leased, 10*time.Millisecond)
		recordOK(unleased, 10*time.Millisecond)
		renew()
		Expect(unleasedPicks()).To(BeZero())
		leased.takeSlot(c.rules)
		Expect(unleasedPicks()).To(BeNumerically(">", 50))
		leased.releaseSlot(&Ticket{})
		for range 20 {
			recordOK(leased, 100*time.Millisecond)
		}
		Expect(unleasedPicks()).To(BeNumerically(">", 150))
	})

	It("avoids a replica that a peer reports as draining if there is another", func() {
		other := newFakeUpstream()
		m = newManifest(entry(f.address()), entry(other.address()))
		c.Apply(m)
		c.RecordPeerEvidence(DrainEvidence{Address: f.address(), Draining: true})
		for range 10 {
			Expect(attemptOnce(bg, c, m, newSearch()).Address).To(Equal(other.address()))
		}
		Expect(f.probes.Load()).To(BeZero())
	})

	// An error reply is no evidence that the upstream accepts work.
	It("follows the manifest's draining mark, and treats a probe reply with any status but 2xx as a failure", func() {
		e := entry(f.address())
		e.Draining = true
		c.Apply(newManifest(e))
		_, err := c.Pick(m.Workloads[wlSearch], "s0", nil, false)
		Expect(err).To(MatchError(ErrDraining))
		f.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) })
		c.Apply(m)
		Expect(attemptOnce(bg, c, m, newSearch()).Class).To(Equal(NotSent))
		Expect(c.States()[0].Suspect).To(BeTrue())
	})

	It("sends to a draining upstream without a probe if the drain mechanism is off", func() {
		off := newClient(Options{Now: clk.now, Mechanisms: mechanism.New(&settings.Experiment{Disable: []settings.ExperimentDisableElem{settings.ExperimentDisableElemDrain}})}, m)
		f.draining.Store(true)
		for range 3 {
			Expect(attemptOnce(bg, off, m, newSearch()).Class).To(Equal(OK))
		}
		Expect(f.probes.Load()).To(BeZero())
	})
})
