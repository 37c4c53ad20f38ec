package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/policy/poison"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
)

// recordedFate receives the fates that a watcher is told of.
type recordedFate struct {
	known chan poison.Fate
	gone  atomic.Bool
}

func (r *recordedFate) Sending(poison.Upstream, string, time.Duration) WatchedAttempt { return r }
func (r *recordedFate) Sent(f poison.Fate, _ time.Duration)                           { r.known <- f }
func (r *recordedFate) Gone(time.Duration)                                            { r.gone.Store(true) }

var _ = Describe("Client that loses a connection while a request runs", func() {
	const pause = time.Millisecond
	var l net.Listener
	var conns chan net.Conn
	var c *Client
	BeforeEach(func() {
		var err error
		l, err = net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = l.Close() })
		conns = make(chan net.Conn, 10)
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				conns <- conn
			}
		}()
		u := &gen.Upstream{Address: l.Addr().String(), Zone: "a", Workload: wlOrder, Slots: 1000, ConnectionLimit: 20_000}
		c = newClient(Options{ManifestOnly: true, Headers: passThroughHeaders}, newManifest(u))
	})
	// callFor sends a request with a timeout and returns its result and the fate of the upstream once it has ended.
	callFor := func(id string, timeout time.Duration) (chan Result, *recordedFate) {
		t, _, err := c.PickPassThrough(newManifest().Workloads[wlOrder], "route", nil)
		Expect(err).NotTo(HaveOccurred())
		done, fate := make(chan Result, 1), &recordedFate{known: make(chan poison.Fate, 1)}
		go func() {
			done <- c.Do(context.Background(), t, Attempt{
				Kind: PassThrough, Route: "route", Deadline: time.Now().Add(timeout), Watcher: fate,
				PassThrough: &PassThroughRequest{Method: http.MethodGet, Target: "/x", Host: "h", ID: id, Header: http.Header{"Id": {id}}},
			})
		}()
		return done, fate
	}
	call := func(id string) (chan Result, *recordedFate) { return callFor(id, 2*time.Second) }
	// accept returns the next connection once a request has arrived on it.
	accept := func() net.Conn {
		var conn net.Conn
		Eventually(conns, time.Second).Should(Receive(&conn))
		_, err := http.ReadRequest(bufio.NewReader(conn))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = conn.Close() })
		return conn
	}
	// twoConns returns a request that runs on one connection, and another, idle connection.
	twoConns := func() (done chan Result, fate *recordedFate, busy, idle net.Conn) {
		first, _ := call("first")
		idle = accept()
		done, fate = call("second")
		busy = accept()
		_, err := io.WriteString(idle, "HTTP/1.1 200 OK\r\nId: first\r\nSignature: s\r\nContent-Length: 0\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Eventually(first, time.Second).Should(Receive(HaveField("Class", OK)))
		return done, fate, busy, idle
	}

	// The connections of a process that ends do not end at the same moment. One that was still open was taken for a
	// sign of life: of 32 servers that ended, one was missed.
	It("takes the upstream for ended though the end of another connection is noticed later", func() {
		done, fate, busy, idle := twoConns()
		Expect(l.Close()).To(Succeed())
		Expect(busy.Close()).To(Succeed())
		time.AfterFunc(pause, func() { _ = idle.Close() })
		Eventually(done, time.Second).Should(Receive(HaveField("Class", Lost)))
		Eventually(fate.known, time.Second).Should(Receive(Equal(poison.Ended)))
	})

	It("takes it for alive if another connection stays open, or a new one is accepted", func() {
		done, fate, busy, _ := twoConns()
		Expect(busy.Close()).To(Succeed())
		Eventually(done, time.Second).Should(Receive(HaveField("Crashed", false)))
		Eventually(fate.known, time.Second).Should(Receive(Equal(poison.Lives)))
	})

	It("knows nothing of it if the check has no result", func() {
		done, fate := call("only")
		conn := accept()
		c.current.Load().servers[l.Addr().String()].pool.setMaxOpen(0)
		Expect(conn.Close()).To(Succeed())
		Eventually(done, time.Second).Should(Receive(HaveField("Crashed", false)))
		Eventually(fate.known, time.Second).Should(Receive(Equal(poison.Unknown)))
	})

	It("takes it for ended at once if there is no other connection", func() {
		done, fate := call("only")
		conn := accept()
		Expect(l.Close()).To(Succeed())
		Expect(conn.Close()).To(Succeed())
		Eventually(done, time.Second).Should(Receive(HaveField("Crashed", true)))
		Eventually(fate.known).Should(Receive(Equal(poison.Ended)))
	})

	// An upstream that falls silent closes no connection, and it was not known later on that it had ended.
	Describe("or gets no reply", func() {
		const reply = "HTTP/1.1 %s\r\nId: %s\r\nSignature: s\r\nContent-Length: 0\r\n\r\n"
		var fate *recordedFate
		BeforeEach(func() {
			done, f := callFor("silent", 20*time.Millisecond)
			accept()
			Eventually(done, time.Second).Should(Receive(HaveField("Class", TimedOut)))
			fate = f
			Eventually(fate.known).Should(Receive(Equal(poison.Unknown)))
		})
		answer := func(id, status string) {
			done, _ := call(id)
			_, err := fmt.Fprintf(accept(), reply, status, id)
			Expect(err).NotTo(HaveOccurred())
			Eventually(done, time.Second).Should(Receive())
		}

		It("learns that the upstream has ended if another one replies at its address", func() {
			answer("next", "421 Misdirected Request")
			Expect(fate.gone.Load()).To(BeTrue())
		})

		It("learns it if another one is published at its address", func() {
			c.Apply(newManifest(&gen.Upstream{Address: l.Addr().String(), Identity: "other", Zone: "a", Workload: wlOrder, Slots: 2, ConnectionLimit: 60}))
			Eventually(fate.gone.Load, time.Second).Should(BeTrue())
		})

		It("learns it if it is not published any more and takes no connection", func() {
			Expect(l.Close()).To(Succeed())
			c.Apply(newManifest())
			Eventually(fate.gone.Load, time.Second).Should(BeTrue())
		})

		It("does not take it for ended while it takes connections, as one that drains", func() {
			c.Apply(newManifest())
			Consistently(fate.gone.Load, 200*time.Millisecond).Should(BeFalse())
		})

		It("does not take it for ended if it has replied since", func() {
			answer("next", "200 OK")
			Expect(l.Close()).To(Succeed())
			c.Apply(newManifest())
			Consistently(fate.gone.Load, 200*time.Millisecond).Should(BeFalse())
		})
	})
})
