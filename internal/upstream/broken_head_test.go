package upstream

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/testkit"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
)

// brokenHeads begin replies that are not valid.
var brokenHeads = []string{
	"HTTP/1.1 000 Trouble\r\n",
	"HTTP/1.1 099 Trouble\r\n",
	"HTTP/1.1 +20 Trouble\r\n",
	"HTTP/1.1 600 Trouble\r\n",
	"HTTP/1.1 999 Trouble\r\n",
	"HTTP/1.1 200 OK\r\nBad Name: x\r\n",
	"HTTP/1.1 200 OK\r\nBad-Name : x\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n",
	"HTTP/1.1 200 OK\r\nBad\x01Name: x\r\n",
	"HTTP/1.1 200 OK\r\nName: x\r\n Bad-Name: x\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", // beside the length that each reply has
	"HTTP/1.1 421 Misdirected Request\r\nBad Name: x\r\n",
	"HTTP/1.1 503 Service Unavailable\r\nBad Name: x\r\n",
	"HTTP/1.1 103 Early Hints\r\nBad Name: x\r\n\r\nHTTP/1.1 200 OK\r\n",
}

var _ = Describe("Client of an upstream that sends replies with a broken head", func() {
	// start has a client send requests to an upstream that answers each with a head and more fields.
	start := func(o Options, head, fields string) (*Client, *gen.Upstream) {
		address := testkit.ServeConns(func(c net.Conn) {
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			id := r.Header.Get("Id") + r.Header.Get(headerRequestID)
			_, _ = fmt.Fprintf(c, "%sId: %s\r\n%s: %s\r\n%s\r\nContent-Length: 0\r\n\r\n", head, id, headerRequestID, id, fields)
		})
		u := &gen.Upstream{Address: address, Zone: "a", Workload: wlOrder, Slots: 2, ConnectionLimit: 60}
		return newClient(o, newManifest(u)), u
	}

	It("takes none for the reply to a request that is passed through, and acts on nothing that it says", func() {
		headers := passThroughHeaders
		headers.Limit = "Limit"
		for _, h := range brokenHeads {
			for _, says := range []string{"Signature: s", "Not-Run: 1", "Not-Run: 1\r\nRetry-After: 9", "Signature: s\r\nLeaving: 1", "Signature: s\r\nLimit: 0.01"} {
				left := false
				c, _ := start(Options{ManifestOnly: true, Headers: headers, OnLeaving: func(Incarnation) { left = true }}, h, says)
				t, _, err := c.PickPassThrough(newManifest().Workloads[wlOrder], "route", nil)
				Expect(err).NotTo(HaveOccurred())
				r := c.Do(context.Background(), t, Attempt{
					Kind: PassThrough, Route: "route", Deadline: time.Now().Add(2 * time.Second),
					PassThrough: &PassThroughRequest{Method: http.MethodPost, Target: "/order", Host: "h", ID: "id", Header: http.Header{"Id": {"id"}}},
				})
				Expect(r.Class).To(Equal(InvalidReply), "%q, %q: %v", h, says, r.Err)
				Expect(r.Class.MayHaveRun()).To(BeTrue())
				Expect(r.Header).To(BeNil())
				Expect(r.RetryAfter).To(BeZero())
				Expect(left).To(BeFalse(), "%q", h)
				_, _, err = c.PickPassThrough(newManifest().Workloads[wlOrder], "route", nil)
				Expect(err).NotTo(HaveOccurred(), "%q, %q", h, says)
			}
		}
	})

	It("takes none for the reply to a request of its own interface or to a probe, and acts on nothing that it says", func() {
		for _, h := range brokenHeads {
			changed := false
			c, u := start(Options{OnDrainChange: func(DrainEvidence) { changed = true }}, h, headerDraining+": true")
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			err := c.tryProbe(ctx, c.current.Load().servers[u.Address], probePath(u))
			cancel()
			Expect(err).To(HaveOccurred())
			Expect(err).NotTo(MatchError(ErrDraining), "%q", h)
			Expect(changed).To(BeFalse(), "%q", h)
			t, err := c.Pick(newManifest().Workloads[wlOrder], "", nil, false)
			Expect(err).NotTo(HaveOccurred())
			c.rules.drain = false // no lease is needed
			r := c.Do(context.Background(), t, Attempt{Kind: Single, Workload: wlOrder, RequestID: "id", Deadline: time.Now().Add(2 * time.Second)})
			Expect(r.Class).To(Equal(InvalidReply), "%q: %v", h, r.Err)
			Expect(changed).To(BeFalse(), "%q", h)
		}
	})
})
