package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/charmbracelet/log"

	"github.com/sardinespindle/sardinespindle/internal/policy/clientlimit"
)

// BenchmarkRequest measures an ordinary request on a connection that stays open, with and without a Gate.
func BenchmarkRequest(b *testing.B) {
	const request = "GET / HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: id-1\r\nX-Deadline: 1000\r\nUser-Agent: a\r\nAccept: */*\r\n\r\n"
	for _, gated := range []bool{false, true} {
		b.Run(map[bool]string{false: "plain", true: "gated"}[gated], func(b *testing.B) {
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("done")) })}
			l, err := net.Listen("tcp", "127.34.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			if gated {
				g := New(Options{
					Listener: "callers", Capacity: clientlimit.Divide(136, 2870).Callers, HeadLimit: func() int { return 16_384 },
					Metrics: NewMetrics(nil), Log: log.New(io.Discard),
				})
				g.Protect(server)
				l = g.Listen(l)
			}
			go server.Serve(l)
			b.Cleanup(func() { server.Close() })
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(func() { c.Close() })
			r := bufio.NewReader(c)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := io.WriteString(c, request); err != nil {
					b.Fatal(err)
				}
				resp, err := http.ReadResponse(r, nil)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := io.Copy(io.Discard, resp.Body); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
