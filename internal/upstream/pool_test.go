package upstream

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/mechanism"
	"github.com/sardinespindle/sardinespindle/internal/policy/replica"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
	"github.com/sardinespindle/sardinespindle/schema/gen/settings"
)

var _ = Describe("A replica", func() {
	// Client errors would take a healthy replica out of use.
	It("keeps its limit and is not suspect after a client error, but is suspect after a server error", func() {
		f := newFakeUpstream()
		m := newManifest(entry(f.address()))
		c := newClient(Options{}, m)
		f.setHandler(func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "shard not held", http.StatusNotFound) })
		before := c.States()[0].Limit
		Expect(attemptOnce(context.Background(), c, m, newSearch()).Class).To(Equal(Failed))
		Expect(c.States()[0]).To(And(HaveField("Suspect", false), HaveField("Limit", before), HaveField("Outstanding", 0)))
		f.setHandler(func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "broken", http.StatusInternalServerError) })
		Expect(attemptOnce(context.Background(), c, m, newSearch()).Class).To(Equal(Failed))
		Expect(c.States()[0].Suspect).To(BeTrue())
		_, err := c.Pick(m.Workloads[wlSearch], "s0", nil, true)
		Expect(err).To(MatchError(ErrNoHedgeTarget))
	})
})

var _ = Describe("Connections", func() {
	var f *fakeUpstream
	var m *manifest.Manifest
	bg := context.Background()
	baseline := mechanism.New(&settings.Experiment{Policy: settings.ExperimentPolicyBaseline})

	BeforeEach(func() {
		f = newFakeUpstream()
		m = newManifest(entry(f.address()))
	})

	It("stay within the share under the baseline policy too", func() {
		c := newClient(Options{Mechanisms: baseline, VMs: func() int { return 16 }}, m) // a share of three
		f.setHandler(func(w http.ResponseWriter, r *http.Request) {
			Expect(f.conns.Load()).To(BeNumerically("<=", 3))
			time.Sleep(time.Millisecond)
			f.replyEmpty(w, r)
		})
		var wg sync.WaitGroup
		for range 40 {
			wg.Go(func() {
				defer GinkgoRecover()
				Expect(attemptOnce(bg, c, m, newSearch()).Class).To(Equal(OK))
			})
		}
		wg.Wait()
		Expect(f.requests.Load()).To(BeEquivalentTo(40))
		Expect(c.States()[0].Connections).To(Equal(3))
	})

	// An upstream that still holds the connections of VMs that lost power is at its
	// connection limit and resets each new one. Dialing without backoff keeps it there.
	It("are dialed with increasing backoff if the upstream resets them", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		var accepted atomic.Int64
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				accepted.Add(1)
				_ = conn.Close()
			}
		}()
		clock := atomic.Int64{}
		c := newClient(Options{VMs: func() int { return 16 }, Now: func() time.Duration { return time.Duration(clock.Load()) }}, newManifest(entry(l.Addr().String())))
		for range 40 { // 10 s
			c.maintain(bg, c.opts.Now())
			time.Sleep(5 * time.Millisecond)
			clock.Add(int64(maintenanceInterval))
		}
		// Two dials at a time, after 0, 1, 3 and 7 s.
		Expect(accepted.Load()).To(And(BeNumerically(">=", 2), BeNumerically("<=", 8)))
	})

	It("are opened ahead of requests only when MayPreconnect allows it", func() {
		allowed := atomic.Bool{}
		c := newClient(Options{MayPreconnect: allowed.Load, VMs: func() int { return 16 }}, m)
		maintain := func() int {
			for range 20 {
				c.maintain(bg, c.opts.Now())
			}
			return c.States()[0].Connections
		}
		Consistently(maintain, "100ms", "20ms").Should(BeZero())
		allowed.Store(true)
		Eventually(maintain).Should(Equal(2))
	})

	It("are kept open while requests need them, and not opened again once the upstream closed them unused", func() {
		var now atomic.Int64
		c := newClient(Options{VMs: func() int { return 16 }, Now: func() time.Duration { return time.Duration(now.Load()) }}, m)
		maintain := func() int {
			for range 20 {
				c.maintain(bg, c.opts.Now())
			}
			return c.States()[0].Connections
		}
		Eventually(maintain).Should(Equal(2))
		Eventually(f.conns.Load).Should(BeEquivalentTo(2))
		f.CloseClientConnections()
		Eventually(maintain).Should(BeZero())
		Consistently(maintain, "100ms", "20ms").Should(BeZero())
		Expect(attemptOnce(bg, c, m, newSearch()).Class).To(Equal(OK))
		Expect(maintain()).To(Equal(1))
		f.CloseClientConnections()
		Eventually(maintain).Should(Equal(1))
		Eventually(func() int {
			now.Add(int64(time.Minute))
			return maintain()
		}).Should(BeZero())
	})

	It("above a reduced share are closed at once if idle, and after use otherwise", func() {
		vms := atomic.Int64{}
		vms.Store(10)
		c := newClient(Options{Mechanisms: baseline, VMs: func() int { return int(vms.Load()) }}, m)
		release := make(chan struct{})
		f.setHandler(func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-release:
			case <-r.Context().Done():
			}
			f.replyEmpty(w, r)
		})
		var wg sync.WaitGroup
		for range 4 {
			wg.Go(func() { attemptOnce(bg, c, m, newSearch()) })
		}
		Eventually(f.requests.Load).Should(BeEquivalentTo(4))
		vms.Store(40)
		c.setShares(c.current.Load())
		close(release)
		wg.Wait()
		Eventually(f.conns.Load).Should(BeEquivalentTo(1))
		vms.Store(100)
		c.setShares(c.current.Load())
		Eventually(f.conns.Load).Should(BeZero())
		_, err := c.Pick(m.Workloads[wlSearch], "s0", nil, false)
		Expect(err).To(MatchError(ErrNoShare))
	})

	It("are replaced after a cancelled attempt closed its own, and after the upstream closed all", func() {
		c := newClient(Options{}, m)
		Expect(attemptOnce(bg, c, m, newSearch()).Class).To(Equal(OK))
		ctx, cancel := context.WithCancel(bg)
		f.setHandler(func(_ http.ResponseWriter, r *http.Request) { cancel(); <-r.Context().Done() })
		Expect(attemptOnce(ctx, c, m, newSearch()).Class).To(Equal(Canceled))
		Eventually(f.conns.Load).Should(BeEquivalentTo(1))
		f.setHandler(f.replyEmpty)
		for range 20 {
			f.CloseClientConnections()
			Expect(attemptOnce(bg, c, m, newSearch()).Class).To(Or(Equal(OK), Equal(Lost)))
		}
	})

	It("are closed when their address leaves the manifest, after the request in flight has finished", func() {
		c := newClient(Options{}, m)
		arrived, release := make(chan struct{}), make(chan struct{})
		f.setHandler(func(w http.ResponseWriter, r *http.Request) { close(arrived); <-release; f.replyEmpty(w, r) })
		result := make(chan Result)
		go func() { result <- attemptOnce(bg, c, m, newSearch()) }()
		<-arrived
		c.Apply(newManifest())
		close(release)
		Expect((<-result).Class).To(Equal(OK))
		Eventually(f.conns.Load).Should(BeZero())
		_, err := c.Pick(m.Workloads[wlSearch], "s0", nil, false)
		Expect(err).To(MatchError(ErrNoReplica))
	})

	// The upstreams of an evacuated zone leave the manifest while attempts wait for a connection to them.
	It("get no attempt that waits or has a connection when their address leaves the manifest", func() {
		vms := atomic.Int64{}
		vms.Store(40)
		c := newClient(Options{VMs: func() int { return int(vms.Load()) }}, m)
		arrived, release := make(chan struct{}), make(chan struct{})
		f.setHandler(func(w http.ResponseWriter, r *http.Request) { close(arrived); <-release; f.replyEmpty(w, r) })
		finish := sync.OnceFunc(func() { close(release) })
		DeferCleanup(finish) // also if the test fails: the upstream waits for it
		first, second := make(chan Result, 1), make(chan Result, 1)
		go func() { first <- attemptOnce(bg, c, m, newSearch()) }()
		<-arrived
		go func() { second <- attemptOnce(bg, c, m, newSearch()) }()
		s := c.current.Load().servers[f.address()]
		Eventually(func() int { s.pool.mu.Lock(); defer s.pool.mu.Unlock(); return len(s.pool.waiters) }).Should(Equal(1))
		a := newSearch()
		Expect(c.checkBeforeWrite(bg, s, &a)).To(Succeed())
		c.Apply(newManifest())
		var r Result
		Eventually(second).Should(Receive(&r))
		Expect(r.Class).To(Equal(NotSent))
		Expect(c.checkBeforeWrite(bg, s, &a)).NotTo(Succeed())
		finish()
		Eventually(first).Should(Receive(&r))
		Expect(r.Class).To(Equal(OK), "the upstream had received it")
		Expect(f.requests.Load()).To(BeEquivalentTo(1))
	})

	// When all zones were evacuated, no upstream was known, and those that came back, maybe cold, were
	// taken for known ones as at the start of a VM.
	It("start slowly when they come back after none was left", func() {
		c := newClient(Options{Now: func() time.Duration { return time.Minute }}, m)
		health := func() replica.State { return c.current.Load().servers[f.address()].health }
		Expect(health()).To(Equal(replica.New(time.Minute, true)), "the VM has just started")
		c.Apply(newManifest())
		c.Apply(m)
		Expect(health()).To(Equal(replica.New(time.Minute, false)))
	})

	// An attempt that ran but is reported as not run would be sent again, and run twice.
	It("never classify an attempt that ran as not run, and leak no goroutines, under random failures", func() {
		existing := goleak.IgnoreCurrent()
		f := newFakeUpstream()
		m := newManifest(entry(f.address()))
		vms := atomic.Int64{}
		vms.Store(16)
		c, err := New(Options{VM: "vm-1", Zone: "a", Mechanisms: baseline, VMs: func() int { return int(vms.Load()) }})
		Expect(err).NotTo(HaveOccurred())
		c.Apply(m)
		var ran sync.Map
		f.setHandler(func(w http.ResponseWriter, r *http.Request) {
			ran.Store(r.Header.Get(headerRequestID), true)
			switch rand.IntN(6) {
			case 0:
				hijack(w).Close()
			case 1:
				time.Sleep(time.Duration(rand.IntN(4)) * time.Millisecond)
				f.replyEmpty(w, r)
			case 2:
				w.Header().Set("Connection", "close")
				f.replyEmpty(w, r)
			default:
				f.replyEmpty(w, r)
			}
		})
		var classes [numClasses]atomic.Int64
		var wg sync.WaitGroup
		for g := range 16 {
			r := rand.New(rand.NewPCG(uint64(testkit.Seed()), uint64(g)))
			wg.Go(func() {
				defer GinkgoRecover()
				for range 60 {
					a := newSearch()
					a.Deadline = time.Now().Add(time.Duration(r.IntN(8000)) * time.Microsecond)
					ctx, cancel := context.WithCancel(bg)
					timer := time.AfterFunc(time.Duration(r.IntN(8000))*time.Microsecond, cancel)
					got := attemptOnce(ctx, c, m, a)
					timer.Stop()
					cancel()
					classes[got.Class].Add(1)
					_, didRun := ran.Load(a.RequestID)
					if didRun {
						Expect(got.Class.MayHaveRun()).To(BeTrue(), "%v: %v", got.Class, got.Err)
					}
					if r.IntN(20) == 0 {
						vms.Store(int64(8 + r.IntN(40)))
						c.applyMu.Lock()
						c.setShares(c.current.Load())
						c.applyMu.Unlock()
					}
				}
			})
		}
		wg.Wait()
		for i := range classes {
			GinkgoWriter.Printf("%v %d\n", Class(i), classes[i].Load())
		}
		Expect(classes[OK].Load()).To(BeNumerically(">", 0))
		Expect(c.States()[0].Outstanding).To(BeZero())
		c.Close()
		f.Close()
		Eventually(c.current.Load().servers[f.address()].pool.size, "3s").Should(BeZero())
		Eventually(func() error { return goleak.Find(existing) }, "3s").Should(Succeed())
	})
})
