package forward

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/catalog"
	"github.com/sardinespindle/sardinespindle/internal/outcome"
)

var _ = Describe("The published limits", func() {
	It("reject a request whose head is too large", func() {
		r := httptest.NewRequest(http.MethodGet, "/find/x", nil)
		r.Header.Set("X-Long", strings.Repeat("x", 300))
		size := headBytes(r)
		Expect(size).To(BeNumerically("~", len("GET /find/x HTTP/1.1\r\nHost: example.com\r\nX-Long: \r\n\r\n")+300, 1))
		Expect(checkHead(r, nil, size)).To(BeNil())
		Expect(checkHead(r, nil, 0)).To(BeNil(), "no limit is published")
		o := checkHead(r, nil, size-1)
		Expect(o.Reason).To(Equal(outcome.HeadTooLarge))
		Expect(statusOf(o)).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
	})

	It("close a connection that is idle for longer than the timeout, but not one that runs a request", func() {
		const limit = 300 * time.Millisecond
		closer := &idleCloser{limits: func() catalog.Limits { return catalog.Limits{IdleTimeout: limit} }, timers: map[net.Conn]*idleTimer{}}
		s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				time.Sleep(2 * limit)
			}
			w.WriteHeader(http.StatusOK)
		}))
		var opened atomic.Int64
		s.Config.ConnState = func(c net.Conn, to http.ConnState) {
			if to == http.StateNew {
				opened.Add(1)
			}
			closer.onStateChange(c, to)
		}
		s.Start()
		DeferCleanup(s.Close)
		get := func(path string) {
			resp, err := s.Client().Get(s.URL + path)
			Expect(err).NotTo(HaveOccurred())
			resp.Body.Close()
		}
		get("/slow")
		time.Sleep(limit / 2)
		get("/")
		Expect(opened.Load()).To(BeEquivalentTo(1))
		time.Sleep(2 * limit)
		get("/")
		Expect(opened.Load()).To(BeEquivalentTo(2))
	})

	It("close a new connection on which the first head takes too long", func() {
		const limit = 100 * time.Millisecond
		closer := &idleCloser{
			limits: func() catalog.Limits { return catalog.Limits{IdleTimeout: limit, HeaderTimeout: limit} },
			timers: map[net.Conn]*idleTimer{},
		}
		s := httptest.NewUnstartedServer(http.NotFoundHandler())
		s.Config.ConnState = closer.onStateChange
		s.Start()
		DeferCleanup(s.Close)
		c, err := net.Dial("tcp", s.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		_, err = c.Write([]byte("GET / HTTP/1.1\r\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		_, err = c.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
	})
})
