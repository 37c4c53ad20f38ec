package ingress

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/sardinespindle/sardinespindle/internal/policy/clientlimit"
)

// pipeListener accepts one connection.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// FuzzRequestHeads sends bytes to an http.Server behind a Gate, in pieces. Each header field of a request
// that a handler sees must be counted, and all that was counted must be given back.
func FuzzRequestHeads(f *testing.F) {
	many := strings.Repeat("a:\r\n", 200)
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\n"+many+"\r\n"), uint16(7))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\nHost: a\r\n"+many+"\r\n"), uint16(4096))
	f.Add([]byte("POST / HTTP/1.1\nHost: a\nTransfer-Encoding: chunked\n\n1\r\nb\r\n0\r\n\r\nGET / HTTP/1.1\nHost: a\n b\nc: d\n\n"), uint16(30))
	f.Add([]byte("\r\n\r\nGET / HTTP/1.0\r\nHost: a\r\n\r\n"), uint16(1))
	f.Fuzz(func(t *testing.T, text []byte, piece uint16) {
		g := New(Options{
			Listener: "callers", Capacity: clientlimit.Capacity{Memory: 1 << 30, Connections: 10},
			HeadLimit: func() int { return 1 << 20 }, Metrics: NewMetrics(nil), Log: log.New(io.Discard),
		})
		ended := make(chan bool)
		var once sync.Once
		server := &http.Server{
			Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				fields := 0
				for _, values := range r.Header {
					fields += len(values)
				}
				if counted, least := FromContext(r.Context()).held.Load(), clientlimit.HeadCost(fields, 0); counted < least {
					t.Errorf("%d counted for %d fields", counted, fields)
				}
				_, _ = io.Copy(io.Discard, r.Body) // an error is the text's
			}),
			ConnState: func(_ net.Conn, to http.ConnState) {
				if to == http.StateClosed {
					once.Do(func() { close(ended) })
				}
			},
			ErrorLog: nil,
		}
		g.Protect(server)
		client, accepted := net.Pipe()
		l := &pipeListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
		l.conns <- accepted
		go server.Serve(g.Listen(l))
		go io.Copy(io.Discard, client)
		if err := client.SetWriteDeadline(time.Now().Add(5 * time.Second)); err != nil {
			t.Fatal(err)
		}
		for rest := text; len(rest) > 0; {
			n := min(len(rest), int(piece)+1)
			if _, err := client.Write(rest[:n]); err != nil {
				break // the server has refused the text
			}
			rest = rest[n:]
		}
		client.Close()
		select {
		case <-ended:
		case <-time.After(10 * time.Second):
			t.Fatal("the connection is not closed")
		}
		server.Close()
		if used := g.requests.used.Load() + g.answers.used.Load(); used != 0 {
			t.Errorf("%d bytes are not given back", used)
		}
	})
}
