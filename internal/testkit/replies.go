package testkit

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// ServeConns accepts connections on loopback until the test ends, and returns the address. Each is closed when serve returns.
func ServeConns(serve func(c net.Conn)) (address string) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(l.Close)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
	return l.Addr().String()
}

// ServeReplies serves HTTP requests on loopback until the test ends, and returns its address. The bytes of the replies are
// sent in turn, on whatever connections the requests come; the last one is sent to all that follow.
func ServeReplies(replies ...string) (address string) {
	var next atomic.Int64
	return ServeConns(func(c net.Conn) {
		for in := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			i := min(int(next.Add(1)), len(replies)) - 1
			if _, err := io.WriteString(c, replies[i]); err != nil {
				return
			}
		}
	})
}
