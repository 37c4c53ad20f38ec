package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/testkit"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
)

// A connection that still carries a reply, or part of a request, gave its bytes to a later request.
var _ = Describe("Client after a request that ended in an unusual way", func() {
	const ok = "HTTP/1.1 200 OK\r\nSignature: %s\r\nId: %s\r\nContent-Length: 0\r\n\r\n"
	deadline := 100 * time.Millisecond
	// unsentBody is longer than net/http waits, after a reply, for the rest of a body to be sent: 50 ms.
	const unsentBody = 300 * time.Millisecond
	// play answers the first request on a connection, whose body it has not read.
	type play func(c net.Conn, r *http.Request, id string)
	send := func(reply string) play {
		return func(c net.Conn, _ *http.Request, id string) {
			_, _ = io.WriteString(c, strings.ReplaceAll(reply, "ID", id))
		}
	}
	late := func(after time.Duration, reply string) play {
		return func(c net.Conn, r *http.Request, id string) {
			time.Sleep(after)
			send(reply)(c, r, id)
		}
	}
	both := func(plays ...play) play {
		return func(c net.Conn, r *http.Request, id string) {
			for _, p := range plays {
				p(c, r, id)
			}
		}
	}
	readBody := func(_ net.Conn, r *http.Request, _ string) {
		body, err := io.ReadAll(r.Body)
		if err == nil && strings.Trim(string(body), "b") != "" {
			panic("the body holds other bytes than were sent")
		}
	}
	const answer = "HTTP/1.1 200 OK\r\nSignature: ID\r\nId: ID\r\nContent-Length: 0\r\n\r\n"
	const unnamed = "HTTP/1.1 200 OK\r\nSignature: ID\r\nContent-Length: 0\r\n\r\n"

	DescribeTable("takes no reply to it for that of a later request", func(first play, bodySize int, mayReuse bool) {
		var mu sync.Mutex
		var alien []string // requests on a connection that has carried the unusual one
		address := testkit.ServeConns(func(c net.Conn) {
			in := bufio.NewReader(c)
			unusual := false
			for {
				r, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				id := r.Header.Get("Id")
				if id == "unusual" {
					first(c, r, id)
					unusual = true
					continue
				}
				if unusual {
					mu.Lock()
					alien = append(alien, id)
					mu.Unlock()
				}
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = fmt.Fprintf(c, ok, id, id)
			}
		})
		u := &gen.Upstream{Address: address, Zone: "a", Workload: wlOrder, Slots: 2, ConnectionLimit: 60}
		c := newClient(Options{ManifestOnly: true, Headers: passThroughHeaders}, newManifest(u))
		call := func(id string, body []byte, timeout time.Duration) Result {
			t, _, err := c.PickPassThrough(newManifest().Workloads[wlOrder], "route", nil)
			Expect(err).NotTo(HaveOccurred())
			return c.Do(context.Background(), t, Attempt{
				Kind: PassThrough, Route: "route", Deadline: time.Now().Add(timeout), MaxReplyBytes: 1 << 10,
				PassThrough: &PassThroughRequest{Method: http.MethodPost, Target: "/order", Host: "h", ID: id, Header: http.Header{"Id": {id}}, Body: body},
			})
		}
		if r := call("unusual", []byte(strings.Repeat("b", bodySize)), deadline); r.Class == OK {
			Expect(r.Signature).To(Equal("unusual"))
		}
		for i := range 4 {
			id := fmt.Sprintf("later-%d", i)
			r := call(id, nil, 2*time.Second)
			if r.Class == OK || r.Class == Failed || r.Class == Shed {
				Expect(r.Signature).To(Equal(id))
			}
			time.Sleep(10 * time.Millisecond) // for late bytes to come between two requests too
		}
		mu.Lock()
		defer mu.Unlock()
		if !mayReuse {
			Expect(alien).To(BeEmpty(), "its connection is not used again")
		}
	},
		Entry("it was cut off by its deadline, and its reply comes later", late(deadline+10*time.Millisecond, unnamed), 0, false),
		Entry("the same, with the head of the reply in time", both(send("HTTP/1.1 200 OK\r\nSignature: ID\r\nId: ID\r\nContent-Length: 4\r\n\r\n"), late(deadline+10*time.Millisecond, "body"+unnamed)), 0, false),
		Entry("it was answered long before its body was read", both(send(answer), late(unsentBody, ""), readBody), 16<<20, false),
		Entry("the same, and again once the body was read", both(send(answer), late(unsentBody, ""), readBody, send(unnamed)), 16<<20, false),
		Entry("it was answered shortly before its body was read", both(send(answer), late(20*time.Millisecond, ""), readBody), 16<<20, true),
		Entry("the same, and again once the body was read", both(send(answer), late(20*time.Millisecond, ""), readBody, send(unnamed)), 16<<20, true),
		Entry("its reply is too large", send("HTTP/1.1 200 OK\r\nSignature: ID\r\nId: ID\r\nContent-Length: 2000\r\n\r\n"+strings.Repeat("b", 2000)+unnamed), 0, false),
		Entry("its reply is too large, in chunks", send("HTTP/1.1 200 OK\r\nSignature: ID\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n"+strings.Repeat("b", 2000)+"\r\n0\r\n\r\n"+unnamed), 0, false),
		Entry("its reply says that the connection is closed", send("HTTP/1.1 200 OK\r\nConnection: close\r\nSignature: ID\r\nId: ID\r\nContent-Length: 0\r\n\r\n"+unnamed), 0, false),
		Entry("its connection becomes another protocol", send("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\nSignature: ID\r\nId: ID\r\n\r\n"+unnamed), 0, false),
		Entry("its reply has trailers, which come late", both(send("HTTP/1.1 200 OK\r\nSignature: ID\r\nId: ID\r\nTrailer: T\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"), late(20*time.Millisecond, "T: 1\r\n\r\n")), 0, true),
		Entry("its reply has bytes after a status that has no body", send("HTTP/1.1 204 No Content\r\nSignature: ID\r\nId: ID\r\nContent-Length: 70\r\n\r\n"+unnamed), 0, true),
		Entry("its reply was announced before, and is announced again", send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nId: ID\r\n\r\n"+answer+"HTTP/1.1 100 Continue\r\n\r\n"), 0, true),
		Entry("its reply comes again at once", send(answer+answer), 0, true),
		Entry("its reply comes again, without an id", send(answer+unnamed), 0, true),
		Entry("its reply comes again while the next request is sent", both(send(answer), late(9*time.Millisecond, unnamed)), 0, true),
	)
})
