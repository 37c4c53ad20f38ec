package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/testkit"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
)

// Replies that were cut in their head reached callers as complete ones with an empty or short body.
var _ = Describe("Client of an upstream that closes the connection in the middle of a reply", func() {
	// replyWith serves the bytes of one reply on each connection, and closes it.
	replyWith := func(reply string) *Client {
		address := testkit.ServeConns(func(c net.Conn) {
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, reply)
			}
		})
		u := &gen.Upstream{Address: address, Zone: "a", Workload: wlOrder, Slots: 1000, ConnectionLimit: 20_000}
		return newClient(Options{ManifestOnly: true, Headers: passThroughHeaders}, newManifest(u))
	}
	call := func(c *Client) Result {
		t, _, err := c.PickPassThrough(newManifest().Workloads[wlOrder], "route", nil)
		Expect(err).NotTo(HaveOccurred())
		return c.Do(context.Background(), t, Attempt{
			Kind: PassThrough, Route: "route", Deadline: time.Now().Add(2 * time.Second),
			PassThrough: &PassThroughRequest{Method: http.MethodGet, Target: "/x", Host: "h", ID: "id", Header: http.Header{"Id": {"id"}}},
		})
	}

	DescribeTable("takes no part of it for a reply", func(head, body string, detectable int) {
		whole := head + body
		r := call(replyWith(whole))
		Expect(r.Class).To(Equal(OK))
		Expect(r.Signature).To(Equal("s"))
		for n := range len(whole) - detectable {
			Expect(call(replyWith(whole[:n])).Class).To(BeElementOf(Lost, InvalidReply), "after %q", whole[:n])
		}
	},
		Entry("with a length", "HTTP/1.1 200 OK\r\nId: id\r\nSignature: s\r\nContent-Length: 5\r\n\r\n", "parts", 0),
		Entry("in chunks", "HTTP/1.1 200 OK\r\nSignature: s\r\nTransfer-Encoding: chunked\r\nId: id\r\n\r\n", "5\r\nparts\r\n0\r\n\r\n", 0),
		Entry("without a body", "HTTP/1.1 204 No Content\r\nId: id\r\nSignature: s\r\n\r\n", "", 0),
		Entry("with a first line without text", "HTTP/1.1 200\r\nId: id\r\nSignature: s\r\nContent-Length: 0\r\n\r\n", "", 0),
		// A body that ends with its connection can't be told from a cut one.
		Entry("that ends with the connection, in its head", "HTTP/1.1 200 OK\r\nId: id\r\nSignature: s\r\nConnection: close\r\n\r\n", "parts", len("parts")),
	)
})
