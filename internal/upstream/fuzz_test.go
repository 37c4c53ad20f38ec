package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/readlimit"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
)

// FuzzReply sends any bytes as the reply to a pass-through request. The attempt is OK only for a
// complete reply with a signature to this request, read as net/http's server side would write it, and
// certainly not run only for one that says so of this request.
func FuzzReply(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 4\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nSignature: s\r\nId: id\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nTrailer: x\r\n\r\nextra",
		"HTTP/1.1 200 OK\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nBad Name: x\r\n\r\n",
		"HTTP/1.1 200 OK\r\nSignature: s\r\nConnection: close\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nSignature: s\r\nId: other\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx",
		"HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
		"HTTP/1.1 503 x\r\nNot-Run: 1\r\nRetry-After: 1e300\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 x\r\nNot-Run: 1\r\nId: id\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 x\r\nNot-Run: 1\r\nId: other\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 421 x\r\nId: other\r\nId: id\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 421 x\r\nId: id\r\nContent-Length: 5\r\n\r\nabc",
		"HTTP/1.1 000 OK\r\nSignature: s\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 103 x\r\n\r\nHTTP/1.1 600 OK\r\nSignature: s\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length : 3\r\n\r\nabcd",
		"HTTP/1.1 200 OK\r\nSignature: s\r\n Bad-Name: x\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nSignature: s\r\nLoad: 1,2,3\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n",
		"\x00\x01\x02", "HTTP/1.1 200", "",
	} {
		f.Add([]byte(seed))
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { listener.Close() })
	var current atomic.Pointer[[]byte]
	go serveReplies(listener, &current)
	f.Fuzz(func(t *testing.T, reply []byte) {
		current.Store(&reply)
		r := passThroughOnce(t, listener.Addr().String())
		want, body, err := readReply(reply)
		if r.Class == Shed && (err != nil || want.Header.Get("Id") != "id" || want.Header.Get("Not-Run") == "" && want.StatusCode != http.StatusMisdirectedRequest) {
			t.Fatalf("not run, for a reply that does not say so of this request: %v", err)
		}
		if r.Class != OK {
			return
		}
		switch {
		case err != nil:
			t.Fatalf("OK for a reply that cannot be read: %v", err)
		case !bytes.Equal(body, r.Body):
			t.Fatalf("body %q, want %q", r.Body, body)
		case want.Header.Get("Signature") == "" || want.Header.Get("Signature") != r.Signature:
			t.Fatalf("signature %q, want %q", r.Signature, want.Header.Get("Signature"))
		case want.StatusCode != r.Status || r.Status < 200 || r.Status >= 500:
			t.Fatalf("status %d, want %d", r.Status, want.StatusCode)
		case want.Header.Get("Id") != "" && want.Header.Get("Id") != "id":
			t.Fatal("OK for the reply to another request")
		case want.Header.Get("Content-Encoding") != "":
			t.Fatal("OK for an encoded body")
		}
		for _, fields := range []http.Header{want.Header, want.Trailer} {
			for name := range fields {
				if strings.Contains(name, " ") {
					t.Fatalf("OK for a reply with a field of the name %q", name)
				}
			}
		}
	})
}

// serveReplies sends the current reply to the first request of each connection, and closes it.
func serveReplies(l net.Listener, current *atomic.Pointer[[]byte]) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = c.Write(*current.Load())
			}
		}()
	}
}

// passThroughOnce makes one attempt at the upstream with an address.
func passThroughOnce(t *testing.T, address string) Result {
	c, err := New(Options{ManifestOnly: true, Headers: passThroughHeaders, Reads: readlimit.New(1 << 20), VM: "vm", Zone: "a"})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	u := &gen.Upstream{Address: address, Zone: "a", Workload: wlOrder, Slots: 2, ConnectionLimit: 64}
	w := &manifest.Workload{Workload: gen.Workload{Name: wlOrder, Kind: gen.WorkloadKindSingle}, Upstreams: []*gen.Upstream{u}}
	c.Apply(&manifest.Manifest{
		Workloads: map[string]*manifest.Workload{wlOrder: w}, Upstreams: map[string]*gen.Upstream{address: u},
	})
	ticket, _, err := c.PickPassThrough(w, "route", nil)
	if err != nil {
		t.Fatal(err)
	}
	return c.Do(context.Background(), ticket, Attempt{
		Kind: PassThrough, Route: "route", Deadline: time.Now().Add(time.Second),
		PassThrough: &PassThroughRequest{Method: http.MethodGet, Target: "/x", Host: "h", ID: "id"},
	})
}

// readReply reads a whole reply, after those that only announce it.
func readReply(reply []byte) (*http.Response, []byte, error) {
	b := bufio.NewReader(bytes.NewReader(reply))
	for {
		resp, err := http.ReadResponse(b, &http.Request{Method: http.MethodGet})
		if err != nil {
			return nil, nil, err
		}
		if resp.StatusCode/100 == 1 && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		body, err := io.ReadAll(resp.Body)
		return resp, body, err
	}
}

// FuzzLoad parses any value of the header that carries an upstream's load.
func FuzzLoad(f *testing.F) {
	for _, seed := range []string{"1,0,2", "1,0,2,250", "1,0,2,", "1,0,2,100,1", "1,2", "-1,0,2", "9999999999,0,1", " 1 , 2 , 3 "} {
		f.Add(seed)
	}
	c := &Client{opts: Options{Headers: passThroughHeaders}}
	f.Fuzz(func(t *testing.T, value string) {
		l := c.passThroughLoad(http.Header{"Load": {value}})
		figures := strings.Count(value, ",") + 1
		if l.Known && (l.Running < 0 || l.Waiting < 0 || l.Slots < 0 || l.Pace < 0 || figures != 3 && figures != 4) {
			t.Fatalf("%q gives %+v", value, l)
		}
	})
}
