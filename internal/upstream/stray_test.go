package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/testkit"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
)

// strayUpstream answers the first request of a connection with first, and sends stray where the reply to
// the second one is expected. %s in them is the id of the first request.
func strayUpstream(first, stray string) (address string) {
	return testkit.ServeConns(func(c net.Conn) {
		in := bufio.NewReader(c)
		id := ""
		for _, reply := range []string{first, stray} {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if id == "" {
				id = r.Header.Get("Id") + r.Header.Get(headerRequestID)
			}
			_, _ = io.WriteString(c, fmt.Sprintf(reply, id))
		}
		_, _ = io.Copy(io.Discard, in)
	})
}

// A reply that came late was taken for that to the next request: orders ran twice, or were refused though they ran.
var _ = Describe("Client of an upstream that sends a reply twice, the second time late", func() {
	const (
		refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nId: %s\r\nContent-Length: 0\r\n\r\n"
		answer  = "HTTP/1.1 200 OK\r\nSignature: s\r\nId: %s\r\nContent-Length: 0\r\n\r\n"
		unnamed = "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 0%.0s\r\n\r\n"
	)
	var c *Client
	call := func(id string) Result {
		t, _, err := c.PickPassThrough(newManifest().Workloads[wlOrder], "route", nil)
		Expect(err).NotTo(HaveOccurred())
		return c.Do(context.Background(), t, Attempt{
			Kind: PassThrough, Route: "route", Deadline: time.Now().Add(2 * time.Second),
			PassThrough: &PassThroughRequest{Method: http.MethodPost, Target: "/order", Host: "h", ID: id, Header: http.Header{"Id": {id}}},
		})
	}
	// start has a client send a first request to an upstream.
	start := func(first, stray string, want Class) {
		u := &gen.Upstream{Address: strayUpstream(first, stray), Zone: "a", Workload: wlOrder, Slots: 2, ConnectionLimit: 60}
		headers := passThroughHeaders
		headers.Limit = "Limit"
		c = newClient(Options{ManifestOnly: true, Headers: headers}, newManifest(u))
		Expect(call("earlier").Class).To(Equal(want))
	}

	DescribeTable("does not take it for the reply to the next request, which may have run", func(first, stray string, want Class) {
		start(first, stray, want)
		r := call("later")
		Expect(r.Class).To(Equal(InvalidReply))
		Expect(r.Class.MayHaveRun()).To(BeTrue())
		Expect(r.Header).To(BeNil())
		Expect(r.RetryAfter).To(BeZero())
	},
		Entry("a refusal", refusal, refusal, Shed),
		Entry("a refusal after an answer", answer, refusal, OK),
		Entry("a refusal that asks for a pause", answer, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nRetry-After: 9\r\nId: %s\r\nContent-Length: 0\r\n\r\n", OK),
		Entry("a reply of another upstream", answer, "HTTP/1.1 421 Misdirected Request\r\nId: %s\r\nContent-Length: 0\r\n\r\n", OK),
		Entry("a refusal of a request without an id", answer, "HTTP/1.1 400 Bad Request\r\nNot-Run: 1\r\nContent-Length: 0%.0s\r\n\r\n", OK),
		Entry("an answer", answer, answer, OK),
		Entry("a failure", answer, "HTTP/1.1 500 Internal Server Error\r\nSignature: s\r\nId: %s\r\nContent-Length: 0\r\n\r\n", OK),
		Entry("an answer without an id", answer, unnamed, OK),
		Entry("an answer with the ids of two requests", answer, "HTTP/1.1 200 OK\r\nSignature: s\r\nId: later\r\nId: %s\r\nContent-Length: 0\r\n\r\n", OK),
		Entry("a failure without an id", answer, "HTTP/1.1 500 Internal Server Error\r\nSignature: s\r\nContent-Length: 0%.0s\r\n\r\n", OK),
	)

	DescribeTable("does not act on what it says of its upstream, which may have changed since", func(header string) {
		start(answer, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n"+header+"\r\nId: %s\r\nContent-Length: 0\r\n\r\n", OK)
		Expect(call("later").Class).To(Equal(InvalidReply))
		_, _, err := c.PickPassThrough(newManifest().Workloads[wlOrder], "route", nil)
		Expect(err).NotTo(HaveOccurred())
	},
		Entry("that it wants a pause", "Retry-After: 9"),
		Entry("that it leaves", "Leaving: 1"),
		Entry("that it takes hardly any requests", "Limit: 0.01"),
	)

	// Callers got the reply to another request from upstreams that do not echo ids and send replies twice.
	It("uses a connection once if its upstream does not echo the id, so that each request gets its own reply", func() {
		const late = "HTTP/1.1 %d %s\r\nSignature: %s\r\nContent-Length: 0\r\n\r\n"
		address := testkit.ServeConns(func(c net.Conn) {
			in := bufio.NewReader(c)
			pending := ""
			for {
				r, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				id, status := r.Header.Get("Id"), http.StatusOK
				if id == "fails" {
					status = http.StatusNotFound
				}
				reply := fmt.Sprintf(late, status, http.StatusText(status), id)
				_, _ = io.WriteString(c, pending+reply)
				pending = reply
			}
		})
		u := &gen.Upstream{Address: address, Zone: "a", Workload: wlOrder, Slots: 2, ConnectionLimit: 60}
		c = newClient(Options{ManifestOnly: true, Headers: passThroughHeaders}, newManifest(u))
		for _, id := range []string{"first", "fails", "third", "fourth"} {
			r := call(id)
			Expect(r.Class).To(Equal(OK), id)
			Expect(r.Signature).To(Equal(id))
		}
	})

	// Orders ran though they were refused: an upstream that had refused an order got it again, from the same caller
	// or as a retry, and the refusal that came twice bore the id of both.
	It("does not send a request again on a connection on which it was refused", func() {
		var mu sync.Mutex
		conns := map[net.Conn][]string{}
		address := testkit.ServeConns(func(c net.Conn) {
			in := bufio.NewReader(c)
			for {
				r, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				id := r.Header.Get("Id")
				mu.Lock()
				conns[c] = append(conns[c], id)
				mu.Unlock()
				_, _ = fmt.Fprintf(c, refusal, id)
			}
		})
		u := &gen.Upstream{Address: address, Zone: "a", Workload: wlOrder, Slots: 2, ConnectionLimit: 60}
		c = newClient(Options{ManifestOnly: true, Headers: passThroughHeaders}, newManifest(u))
		for i := range 200 {
			Expect(call(strconv.Itoa(i % 150)).Class).To(Equal(Shed))
		}
		mu.Lock()
		defer mu.Unlock()
		most := 0
		for _, ids := range conns {
			most = max(most, len(ids))
			slices.Sort(ids)
			Expect(slices.Compact(slices.Clone(ids))).To(Equal(ids), "no id twice")
		}
		Expect(most).To(Equal(maxRefusedIDs), "a connection is used again for other requests, up to its bound")
	})
})

// An upstream that drains counted as ready: a late copy of an earlier reply was taken for the reply to a later probe.
var _ = DescribeTable("Client that probes an upstream which sends a reply twice, the second time late, does not take it for that to the next probe",
	func(stray string) {
		u := &gen.Upstream{Address: strayUpstream("HTTP/1.1 204 No Content\r\nSpindle-Request-Id: %s\r\n\r\n", stray), Zone: "a", Workload: wlOrder, ConnectionLimit: 60}
		c := newClient(Options{}, newManifest(u))
		s := c.current.Load().servers[u.Address]
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		Expect(c.tryProbe(ctx, s, probePath(u))).To(Succeed())
		Expect(c.tryProbe(ctx, s, probePath(u))).To(MatchError(errOtherAttempt))
	},
	Entry("with its id", "HTTP/1.1 204 No Content\r\nSpindle-Request-Id: %s\r\n\r\n"),
	Entry("without an id", "HTTP/1.1 204 No Content\r\n\r\n%.0s"),
)
