package upstream

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/manifest"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
)

// cannedUpstream replies to each request on a connection with the same 400 bytes. It does
// little else, so that a benchmark measures this side.
func cannedUpstream(b *testing.B) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { l.Close() })
	reply := []byte("HTTP/1.1 200 OK\r\nSpindle-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Request-Id: 9c41d07be2a35f68\r\n" +
		"Content-Type: application/octet-stream\r\nSpindle-Server-Load: 1,0,3\r\nContent-Length: 400\r\n\r\n" + strings.Repeat("0123456789abcdef", 25))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveCanned(c, reply)
		}
	}()
	return l.Addr().String()
}

func serveCanned(c net.Conn, reply []byte) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return
		}
		if len(line) > len("\r\n") {
			continue
		}
		if _, err := c.Write(reply); err != nil {
			return
		}
	}
}

// BenchmarkPassThrough measures one sub-request of a pass-through search, from the pick to
// the reply, on connections that are open already.
func BenchmarkPassThrough(b *testing.B) {
	address := cannedUpstream(b)
	u := &gen.Upstream{Address: address, Identity: "i-1", Zone: "a", Workload: "s", Slots: 3, ConnectionLimit: 400}
	w := &manifest.Workload{Workload: gen.Workload{Name: "s", Kind: gen.WorkloadKindSingle}, Upstreams: []*gen.Upstream{u}}
	c, err := New(Options{
		VM: "vm-1", Zone: "a", ManifestOnly: true, Share: func(*gen.Upstream) int { return 8 },
		Headers: HeaderNames{
			RequestID: "X-Request-Id", Deadline: "Spindle-Left-Ms", Identity: "Spindle-Identity", Signature: "Spindle-Signature",
			NotRun: "Spindle-Refused", Load: "Spindle-Server-Load",
		},
	})
	if err != nil {
		b.Fatal(err)
	}
	c.Apply(&manifest.Manifest{Workloads: map[string]*manifest.Workload{"s": w}, Upstreams: map[string]*gen.Upstream{address: u}})
	p := &PassThroughRequest{
		Method: http.MethodGet, Target: "/bapu561/2f", Host: "pupu76.example", ID: "9c41d07be2a35f68",
		Header: http.Header{"X-Request-Id": {"9c41d07be2a35f68"}, "Accept": {"*/*"}},
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	b.ReportAllocs()
	for b.Loop() {
		t, _, err := c.PickPassThrough(w, "find", nil)
		if err != nil {
			b.Fatal(err)
		}
		r := c.Do(ctx, t, Attempt{Kind: PassThrough, PassThrough: p, Route: "find", Deadline: time.Now().Add(time.Second)})
		if r.Class != OK {
			b.Fatal(fmt.Sprint(r.Class, r.Err))
		}
	}
}
