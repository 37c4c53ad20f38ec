package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sardinespindle/sardinespindle/internal/manifest"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
)

// benchClient returns a client of one shard with two replicas that never fail.
func benchClient(b *testing.B) (*Client, *manifest.Manifest) {
	b.Helper()
	var us []*gen.Upstream
	for range 2 {
		s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get(headerRequestID)
			w.Header().Set(headerRequestID, id)
			_, _ = io.Copy(io.Discard, r.Body)
			fmt.Fprintf(w, `{"request_id":%q,"shard":"s0","snapshot":{"index":1,"map":1},"documents":[{"id":"d1","score":1,"body":"quill"}],"documents_held":5}`, id)
		}))
		s.Config.ConnState = func(net.Conn, http.ConnState) {}
		s.Start()
		b.Cleanup(s.Close)
		u := entry(strings.TrimPrefix(s.URL, "http://"))
		u.ConnectionLimit = 1000
		us = append(us, u)
	}
	m := newManifest(us...)
	c, err := New(Options{VM: "vm-1", Zone: "a", VMs: func() int { return 16 }})
	if err != nil {
		b.Fatal(err)
	}
	c.Apply(m)
	b.Cleanup(c.Close)
	return c, m
}

func BenchmarkPick(b *testing.B) {
	c, m := benchClient(b)
	w := m.Workloads[wlSearch]
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if t, err := c.Pick(w, "s0", nil, false); err == nil {
				t.Cancel()
			}
		}
	})
}

func BenchmarkDo(b *testing.B) {
	c, m := benchClient(b)
	w := m.Workloads[wlSearch]
	b.ReportAllocs()
	for b.Loop() {
		t, err := c.Pick(w, "s0", nil, false)
		if err != nil {
			b.Fatal(err)
		}
		if r := c.Do(context.Background(), t, newSearch()); r.Class != OK {
			b.Fatal(r.Class, r.Err)
		}
	}
}

func BenchmarkLatencyQuantile(b *testing.B) {
	c, _ := benchClient(b)
	b.ReportAllocs()
	for b.Loop() {
		c.LatencyQuantile(wlSearch, "s0")
	}
}

func BenchmarkDecodeReply(b *testing.B) {
	body := []byte(`{"request_id":"r","shard":"s0","snapshot":{"index":1,"map":1},"documents":[` +
		strings.Repeat(`{"id":"d1","score":1,"body":"quill"},`, 9) + `{"id":"d2","score":1,"body":"quill"}],"documents_held":500}`)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := decodeReply(body); err != nil {
			b.Fatal(err)
		}
	}
}
