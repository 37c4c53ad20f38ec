package forward

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/catalog"
	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/policy/route"
	"github.com/sardinespindle/sardinespindle/internal/readlimit"
)

// Callers may send bytes without end, or stop in the middle, in a head or a body.
var _ = Describe("A caller that never ends its request", func() {
	var address string
	BeforeEach(func() {
		r := &route.Route{Name: "read", Host: "h", Prefix: "/", Timeout: 5 * time.Second, Idempotent: true}
		c := &catalog.Catalog{
			Config:   &catalog.Config{Version: 1, Limits: catalog.Limits{HeaderBytes: 16 << 10, BodyBytes: 256 << 10, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: 300 * time.Millisecond}},
			Manifest: &manifest.Manifest{}, Table: route.NewTable([]*route.Route{r}),
		}
		s := New(Options{
			Catalog: func() *catalog.Catalog { return c }, Headers: HeaderNames{RequestID: "Id", Deadline: "Deadline"}, Log: log.New(GinkgoWriter),
			Reads: readlimit.New(16 << 20), Poison: noPoison{},
			Gatherers: func() (map[string][]string, bool) { return nil, true },
		})
		server := s.HTTPServer("")
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = server.Serve(l) }()
		DeferCleanup(server.Close)
		address = l.Addr().String()
	})
	const head = "POST /x HTTP/1.1\r\nHost: h\r\nDeadline: 300\r\n"

	// exchange sends start, then block until the connection is closed or stop passes, and returns the
	// status of the answer, 0 for none, and when the connection ended.
	exchange := func(start, block string, stop time.Duration) (status int, ended time.Duration) {
		c, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		begun := time.Now()
		go func() {
			_, err := c.Write([]byte(start))
			for err == nil && time.Since(begun) < stop {
				_, err = c.Write([]byte(block))
			}
		}()
		Expect(c.SetReadDeadline(begun.Add(4 * time.Second))).To(Succeed())
		r := bufio.NewReader(c)
		if resp, err := http.ReadResponse(r, nil); err == nil {
			status = resp.StatusCode
		}
		_, err = io.Copy(io.Discard, r)
		var timeout net.Error
		ok := errors.As(err, &timeout)
		Expect(ok && timeout.Timeout()).To(BeFalse(), "the connection is still open")
		return status, time.Since(begun)
	}

	DescribeTable("is answered or cut off in time", func(start, block string, stop time.Duration, status int) {
		got, ended := exchange(start, block, stop)
		Expect(ended).To(BeNumerically("<", 2500*time.Millisecond))
		if got != 0 { // the answer may be lost where unread bytes reset the connection
			Expect(got).To(Equal(status))
		}
	},
		Entry("with a head line without end", "GET /", "x", time.Minute, http.StatusRequestHeaderFieldsTooLarge),
		Entry("with header lines without end", head, "Name: x\r\n", time.Minute, http.StatusRequestHeaderFieldsTooLarge),
		Entry("with a head that stops", head, "", time.Duration(0), 0),
		Entry("with a body above the limit", head+"Transfer-Encoding: chunked\r\n\r\n", "1000\r\n"+strings.Repeat("x", 4096)+"\r\n", time.Minute, http.StatusRequestEntityTooLarge),
		Entry("with a chunk size without end", head+"Transfer-Encoding: chunked\r\n\r\n", "0", time.Minute, http.StatusBadRequest),
		Entry("with a body that stops", head+"Content-Length: 1000\r\n\r\nxx", "", time.Duration(0), http.StatusServiceUnavailable),
	)

	// Load pattern: hundreds of callers send most of a large body and stop.
	It("uses little memory, also where there are hundreds", func() {
		request := []byte("POST /x HTTP/1.1\r\nHost: h\r\nDeadline: 3000\r\nContent-Length: 262144\r\n\r\n" + strings.Repeat("x", 262_000))
		runtime.GC()
		var before, during runtime.MemStats
		runtime.ReadMemStats(&before)
		var conns []net.Conn
		var sending sync.WaitGroup
		for range 400 {
			c, err := net.Dial("tcp", address)
			Expect(err).NotTo(HaveOccurred())
			conns = append(conns, c)
			sending.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				deadline, _ := ctx.Deadline()
				_ = c.SetDeadline(deadline)
				_, _ = c.Write(request)
			})
		}
		sending.Wait()
		runtime.GC() // what the VM holds, without what it has dropped
		runtime.ReadMemStats(&during)
		for _, c := range conns {
			c.Close()
		}
		Expect(int64(during.HeapAlloc) - int64(before.HeapAlloc)).To(BeNumerically("<", 64<<20))
	})
})
