package ingress

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"pgregory.net/rapid"

	"github.com/sardinespindle/sardinespindle/internal/policy/clientlimit"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

func TestIngress(t *testing.T) { testkit.Run(t, "ingress") }

// gated is a server behind a Gate.
type gated struct {
	gate     *Gate
	address  string
	registry *prometheus.Registry
	lines    logLines
}

// logLines receives the lines of a log.
type logLines chan string

func (l logLines) Write(p []byte) (int, error) {
	l <- string(p)
	return len(p), nil
}

func serve(capacity clientlimit.Capacity, headLimit int, h http.HandlerFunc) *gated {
	s := &gated{registry: prometheus.NewRegistry(), lines: make(logLines, 1000)}
	s.gate = New(Options{
		Listener: "callers", Capacity: capacity, HeadLimit: func() int { return headLimit }, Metrics: NewMetrics(s.registry), Log: log.New(s.lines),
	})
	server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second}
	s.gate.Protect(server)
	l, err := net.Listen("tcp", fmt.Sprintf("127.34.0.1:%d", testkit.FreePort("127.34.0.1")))
	Expect(err).NotTo(HaveOccurred())
	s.address = l.Addr().String()
	done := make(chan error, 1)
	go func() { done <- server.Serve(s.gate.Listen(l)) }()
	DeferCleanup(func() {
		server.Close()
		Eventually(done, 5*time.Second).Should(Receive())
		Eventually(s.gate.open.Load, 5*time.Second).Should(BeZero())
		Eventually(s.gate.requests.used.Load, 5*time.Second).Should(BeZero(), "all bytes are given back")
		Eventually(s.gate.requests.closing.Load, 5*time.Second).Should(BeZero())
		Eventually(s.gate.answers.used.Load, 5*time.Second).Should(BeZero(), "all bytes of answers are given back")
		Eventually(s.gate.answers.closing.Load, 5*time.Second).Should(BeZero())
	})
	return s
}

func (s *gated) dial(text string) net.Conn {
	c, err := net.Dial("tcp", s.address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { c.Close() })
	Expect(c.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	_, err = io.WriteString(c, text)
	Expect(err).NotTo(HaveOccurred())
	return c
}

// status reads an answer and returns its status; 0 if the connection ends without one.
func status(c net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return resp.StatusCode
}

func (s *gated) refused(reason string) (n float64) {
	families, err := s.registry.Gather()
	Expect(err).NotTo(HaveOccurred())
	for _, f := range families {
		for _, m := range f.GetMetric() {
			for _, l := range m.GetLabel() {
				if f.GetName() == "spindle_client_refused_total" && l.GetName() == "reason" && l.GetValue() == reason {
					n += m.GetCounter().GetValue()
				}
			}
		}
	}
	return n
}

const (
	get  = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	post = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n"
)

var roomy = clientlimit.Capacity{Memory: 1 << 30, Answers: 1 << 30, Connections: 1000}

// readBody reads the body as a handler of callers' requests does, and refuses the request if there is no room.
func readBody(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

var _ = Describe("A Gate", func() {
	// Guards against a leak, which would in time refuse all requests.
	It("counts a request until it is answered, and a connection until it is closed", func() {
		s := serve(roomy, 0, readBody)
		c := s.dial(post)
		Eventually(s.gate.requests.used.Load).Should(BeEquivalentTo(clientlimit.ConnCost + clientlimit.HeadCost(4, len(post))))
		_, err := c.Write(make([]byte, 100_000))
		Expect(err).NotTo(HaveOccurred())
		Expect(status(c)).To(Equal(http.StatusOK))
		Eventually(s.gate.requests.used.Load).Should(BeEquivalentTo(clientlimit.ConnCost))
		for range 10 {
			_, err = io.WriteString(c, strings.Repeat(get, 7))
			Expect(err).NotTo(HaveOccurred())
			r := bufio.NewReader(c)
			for range 7 {
				resp, err := http.ReadResponse(r, nil)
				Expect(err).NotTo(HaveOccurred())
				resp.Body.Close()
			}
		}
		Eventually(s.gate.requests.used.Load).Should(BeEquivalentTo(clientlimit.ConnCost))
		c.Close()
		Eventually(s.gate.requests.used.Load).Should(BeZero())
	})

	It("closes the idlest connection for a new one beyond the number allowed", func() {
		s := serve(clientlimit.Capacity{Memory: 1 << 30, Connections: 8}, 0, readBody)
		first := s.dial("GET / HT")
		Eventually(s.gate.open.Load).Should(BeEquivalentTo(1))
		time.Sleep(10 * time.Millisecond) // for the first to be the oldest
		for range 7 {
			s.dial("")
		}
		Eventually(s.gate.open.Load).Should(BeEquivalentTo(8))
		Expect(status(s.dial(get))).To(Equal(http.StatusOK))
		Expect(status(first)).To(Equal(http.StatusRequestTimeout))
		Expect(s.refused(reasonConnections)).To(BeEquivalentTo(1))
	})

	It("does not accept a connection if all are busy, and does again", func() {
		release, runs := make(chan struct{}), make(chan bool, 20)
		s := serve(clientlimit.Capacity{Memory: 1 << 30, Connections: 8}, 0, func(http.ResponseWriter, *http.Request) {
			runs <- true
			<-release
		})
		var busy []net.Conn
		for range 9 { // with the one that may be open while an earlier one is closed
			busy = append(busy, s.dial(get))
			Eventually(runs).Should(Receive())
		}
		Expect(status(s.dial(""))).To(BeZero())
		Expect(s.refused(reasonNotAccepted)).To(BeEquivalentTo(1))
		close(release)
		for _, c := range busy {
			Expect(status(c)).To(Equal(http.StatusOK))
		}
		Expect(status(s.dial(get))).To(Equal(http.StatusOK))
	})

	It("refuses a head over the limit before the handler sees it", func() {
		called := make(chan bool, 1)
		s := serve(roomy, 10_000, func(http.ResponseWriter, *http.Request) { called <- true })
		c := s.dial("GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 10_000+headSlack) + "\r\n\r\n")
		Expect(status(c)).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		Expect(called).NotTo(Receive())
		Expect(s.refused(reasonHead)).To(BeEquivalentTo(1))
		Expect(status(s.dial("GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 9000) + "\r\n\r\n"))).To(Equal(http.StatusOK))
	})

	// Load pattern: requests of legal size of very many short fields that lack their last byte.
	It("refuses the oldest requests that have not arrived, as not run, when heads spend the memory", func() {
		s := serve(clientlimit.Capacity{Memory: 2e6, Connections: 1000}, 0, readBody)
		head := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n" + strings.Repeat("a:\r\n", 3000) + "\r\n"
		var conns []net.Conn
		for range 6 {
			conns = append(conns, s.dial(head))
			time.Sleep(30 * time.Millisecond) // for their order
		}
		Expect(status(conns[0])).To(BeElementOf(http.StatusServiceUnavailable, http.StatusRequestTimeout))
		Expect(status(s.dial(get))).To(Equal(http.StatusOK))
		Expect(s.gate.requests.used.Load()).To(BeNumerically("<=", 2e6))
		_, err := conns[5].Write([]byte("b"))
		Expect(err).NotTo(HaveOccurred())
		Expect(status(conns[5])).To(Equal(http.StatusOK), "the newest has its room")
	})

	It("refuses the oldest bodies that have not arrived when bodies spend the memory", func() {
		s := serve(clientlimit.Capacity{Memory: 1e6, Connections: 1000}, 0, readBody)
		var conns []net.Conn
		for range 8 {
			conns = append(conns, s.dial(post+strings.Repeat("b", 99_999)))
			time.Sleep(30 * time.Millisecond)
		}
		Expect(status(conns[0])).To(Equal(http.StatusServiceUnavailable))
		_, err := conns[7].Write([]byte("b"))
		Expect(err).NotTo(HaveOccurred())
		Expect(status(conns[7])).To(Equal(http.StatusOK))
	})

	It("refuses a request if requests that run spend the memory, and does not give those up", func() {
		release := make(chan struct{})
		s := serve(clientlimit.Capacity{Memory: 300e3, Answers: 300e3, Connections: 1000}, 0, func(w http.ResponseWriter, r *http.Request) {
			if !FromContext(r.Context()).Take(70e3, time.Now().Add(time.Minute)) {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			<-release
		})
		var running []net.Conn
		for range 4 {
			running = append(running, s.dial(get))
		}
		Eventually(s.gate.answers.used.Load).Should(BeNumerically(">", 250e3))
		Expect(status(s.dial(get))).To(Equal(http.StatusServiceUnavailable))
		close(release)
		for _, c := range running {
			Expect(status(c)).To(Equal(http.StatusOK))
		}
	})

	// Guards against a request that runs though its caller was told by 408 that it did not.
	It("does not hand a request over whose connection is being closed", func() {
		s := serve(roomy, 0, readBody)
		client, server := net.Pipe()
		DeferCleanup(client.Close)
		c := s.gate.admit(server)
		DeferCleanup(c.Close)
		called := false
		h := s.gate.handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { called = true }))
		r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("b"))
		r = r.WithContext(context.WithValue(r.Context(), connKey{}, c))
		Expect(c.closeFrom(clientlimit.Conn{Phase: clientlimit.Fresh})).To(BeTrue())
		c.onState(http.StateActive)
		Expect(func() { h.ServeHTTP(httptest.NewRecorder(), r) }).To(PanicWith(http.ErrAbortHandler))
		Expect(called).To(BeFalse())
	})

	// Guards against a request that runs and loses its connection for the answer to the one before it.
	It("does not close a connection whose answer has been read meanwhile", func() {
		s := serve(roomy, 0, readBody)
		client, server := net.Pipe()
		DeferCleanup(client.Close)
		c := s.gate.admit(server)
		DeferCleanup(c.Close)
		c.setPhase(clientlimit.Running)
		c.writing.Store(1)
		unread := c.state()
		c.writing.Store(0)
		Expect(c.closeFrom(unread)).To(BeFalse())
		Expect(c.isClosing()).To(BeFalse())
	})

	It("does not let a handler have the end of a body whose connection is being closed", func() {
		s := serve(roomy, 0, readBody)
		client, server := net.Pipe()
		DeferCleanup(client.Close)
		c := s.gate.admit(server)
		DeferCleanup(c.Close)
		c.setPhase(clientlimit.Body)
		body := countedBody{conn: c, from: io.NopCloser(strings.NewReader("b"))}
		Expect(c.closeFrom(clientlimit.Conn{Phase: clientlimit.Body})).To(BeTrue())
		_, err := io.ReadAll(&body)
		Expect(err).To(MatchError(ErrNoRoom))
	})

	// Without a deadline the server waits for the rest of the body before it answers.
	It("answers a request whose body does not come, though no handler reads it", func() {
		s := serve(roomy, 0, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
		begun := time.Now()
		Expect(status(s.dial(post + "half"))).To(Equal(http.StatusNotFound))
		Expect(time.Since(begun)).To(BeNumerically(">=", drainTimeout))
	})

	It("closes connections whose answers are not read, to make room", func() {
		answer := bytes.Repeat([]byte("x"), 32<<20)
		s := serve(clientlimit.Capacity{Memory: 2e6, Answers: 2e6, Connections: 1000}, 0, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/large" {
				FromContext(r.Context()).Hold(len(answer))
				_, _ = w.Write(answer)
				return
			}
			if !FromContext(r.Context()).Take(20_000, time.Now().Add(time.Minute)) {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		})
		s.dial("GET /large HTTP/1.1\r\nHost: a\r\n\r\n")
		Eventually(s.gate.answers.used.Load).Should(BeNumerically(">=", len(answer)))
		Eventually(func() int { return status(s.dial("GET /small HTTP/1.1\r\nHost: a\r\n\r\n")) }, 3*time.Second).Should(Equal(http.StatusOK))
		Eventually(s.gate.answers.used.Load).Should(BeNumerically("<", 2e6))
	})

	It("logs one line for many refusals of a kind", func() {
		s := serve(roomy, 1000, readBody)
		for range 20 {
			Expect(status(s.dial("GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 8000) + "\r\n\r\n"))).To(Equal(431))
		}
		Expect(s.refused(reasonHead)).To(BeEquivalentTo(20))
		Expect(s.lines).To(HaveLen(1))
		Expect(<-s.lines).To(And(ContainSubstring("client refused"), ContainSubstring("listener=callers"), ContainSubstring("reason=head")))
	})

	// Guards against a log that does not tell whose connection was closed for what.
	It("logs the phase of the connection that it closes, and what needed the room", func() {
		s := serve(clientlimit.Capacity{Memory: 100e3, Connections: 1000}, 0, readBody)
		for range 7 {
			s.dial("")
		}
		Eventually(s.lines).Should(Receive(And(ContainSubstring("reason=memory"), ContainSubstring("phase=fresh"), ContainSubstring("need=conn"))))
	})
})

var _ = Describe("A scanner", func() {
	// Guards against fields that pass uncounted because they arrived with an earlier request.
	It("finds the end of a head, and counts what arrived of the next one", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			end := rapid.SampledFrom([]string{"\r\n", "\n"}).Draw(t, "line end")
			head := strings.Repeat(end, rapid.IntRange(0, 1).Draw(t, "empty lines")) + "GET / HTTP/1.1" + end
			head += strings.Repeat("a:"+end, rapid.IntRange(0, 50).Draw(t, "fields")) + end
			text := []byte(head + strings.Repeat("b:"+end, rapid.IntRange(0, 50).Draw(t, "next fields")))
			var s scanner
			lines, read := 0, 0
			for !s.ended {
				n := rapid.IntRange(1, len(text)-read).Draw(t, "piece")
				lines += s.scan(text[read : read+n])
				read += n
			}
			ahead := text[len(head):read]
			if s.size != len(head) || lines != bytes.Count(text[:read], lineEnd) {
				t.Fatalf("%d bytes and %d lines of %q", s.size, lines, head)
			}
			if cost := s.next(); cost != clientlimit.HeadCost(bytes.Count(ahead, lineEnd), len(ahead)) || s.ahead != (len(ahead) > 0) {
				t.Fatalf("%d for %q", cost, ahead)
			}
		})
	})
})
