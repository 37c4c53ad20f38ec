package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/policy/clientlimit"
	"github.com/sardinespindle/sardinespindle/internal/readlimit"
)

// filler is an endless reader of a reply that its upstream never ends.
type filler struct{}

func (filler) Read(p []byte) (int, error) { return len(p), nil }

// spender is a reader of a reply each piece of which arrives when others hold all room, for a while.
type spender struct{ gate *Gate }

func (s spender) Read(p []byte) (int, error) {
	n := s.gate.answers.capacity - s.gate.answers.used.Load()
	s.gate.answers.used.Add(n)
	time.AfterFunc(replyTimeout*2/5, func() { s.gate.releaseAnswers(n) })
	return min(1000, len(p)), nil
}

// slowReply is a reader of a reply that arrives in pieces.
type slowReply struct{ left int }

func (s *slowReply) Read(p []byte) (int, error) {
	if s.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(time.Millisecond)
	n := min(4000, s.left, len(p))
	s.left -= n
	return n, nil
}

func reply(r io.Reader) io.ReadCloser { return io.NopCloser(r) }

var _ = Describe("CountReply", func() {
	capacity := clientlimit.Capacity{Memory: 1e6, Answers: 1e6, Connections: 100}

	// serveReplies calls f for each request to /reply, and answers others at once.
	serveReplies := func(f func(ctx context.Context, c *Conn)) *gated {
		return serve(capacity, 0, func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/reply" {
				f(r.Context(), FromContext(r.Context()))
			}
		})
	}
	const getReply = "GET /reply HTTP/1.1\r\nHost: a\r\n\r\n"

	It("leaves replies uncounted that are small or for no caller", func() {
		body := reply(strings.NewReader("x"))
		Expect(CountReply(context.Background(), body, 1<<20)).To(BeIdenticalTo(body))
	})

	It("counts replies that are read for a caller once, and no longer those that are not used", func() {
		s := serveReplies(func(ctx context.Context, c *Conn) {
			Expect(c.Take(100_000, time.Now().Add(time.Minute))).To(BeTrue())
			before := c.gate.answers.used.Load()
			_, err := io.Copy(io.Discard, CountReply(ctx, reply(strings.NewReader(strings.Repeat("x", 60_000))), 60_000))
			Expect(err).NotTo(HaveOccurred())
			Expect(c.gate.answers.used.Load()).To(Equal(before), "was expected and counted")
			cut := CountReply(ctx, reply(filler{}), -1)
			_, err = io.CopyN(io.Discard, cut, 200_000)
			Expect(err).NotTo(HaveOccurred())
			Expect(c.gate.answers.used.Load()).To(BeNumerically(">", before+100_000))
			Expect(cut.Close()).To(Succeed())
			Expect(c.gate.answers.used.Load()).To(Equal(before))
		})
		Expect(status(s.dial(getReply))).To(Equal(http.StatusOK))
	})

	// Ordinary callers lost their connections when upstreams announced large replies.
	It("counts what has arrived and not what is announced", func() {
		s := serveReplies(func(ctx context.Context, c *Conn) {
			for range 100 {
				_, err := io.CopyN(io.Discard, CountReply(ctx, reply(filler{}), 90_000_000_000), 4096)
				Expect(err).NotTo(HaveOccurred())
			}
			Expect(c.gate.answers.used.Load()).To(BeZero())
		})
		Expect(status(s.dial(getReply))).To(Equal(http.StatusOK))
	})

	// Ordinary callers lost their connections when replies without end took all room.
	It("closes no connections of other callers, and refuses none of their requests, while replies without end spend the room", func() {
		done := make(chan struct{})
		s := serveReplies(func(ctx context.Context, _ *Conn) {
			_, err := io.Copy(io.Discard, io.LimitReader(CountReply(ctx, reply(filler{}), -1), 10e6))
			if err != nil {
				Expect(err).To(MatchError(readlimit.ErrNoMemory))
			}
			<-done
		})
		silent, half, idle := s.dial(""), s.dial("GET / HT"), s.dial(get)
		Expect(status(idle)).To(Equal(http.StatusOK))
		var replies []net.Conn
		for range 20 {
			replies = append(replies, s.dial(getReply))
		}
		Eventually(func() float64 { return s.refused(reasonMemory) }, 5*time.Second).Should(BeNumerically(">", 0))
		Expect(s.gate.answers.used.Load()).To(BeNumerically("<=", capacity.Answers))
		for _, c := range []struct {
			net.Conn
			rest string
		}{{silent, get}, {half, strings.TrimPrefix(get, "GET / HT")}, {idle, get}, {s.dial(""), get}} {
			_, err := io.WriteString(c, c.rest)
			Expect(err).NotTo(HaveOccurred())
			Expect(status(c.Conn)).To(Equal(http.StatusOK))
		}
		close(done)
		for _, c := range replies {
			Expect(status(c)).To(Equal(http.StatusOK))
		}
	})

	// Replies that were read in part held all the room, waited for each other and failed together.
	It("lets sound replies be read one after the other that have no room together", func() {
		const replies, size = 30, 100_000
		read := make(chan error, replies)
		s := serveReplies(func(ctx context.Context, _ *Conn) {
			_, err := io.Copy(io.Discard, CountReply(ctx, reply(&slowReply{left: size}), size))
			read <- err
		})
		for range replies {
			s.dial(getReply)
		}
		for range replies {
			Eventually(read, 2*replyTimeout).Should(Receive(BeNil()))
		}
	})

	// Requests that had been passed on were answered only after their deadline, when their callers had left.
	It("waits for room no longer than its attempt lasts", func() {
		waited := make(chan time.Duration, 1)
		s := serveReplies(func(ctx context.Context, c *Conn) {
			defer c.gate.answers.used.Add(-1e6)
			c.gate.answers.used.Add(1e6) // which other callers hold
			ctx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
			defer cancel()
			begun := time.Now()
			_, err := io.CopyN(io.Discard, CountReply(ctx, reply(filler{}), 1<<20), 1<<20)
			Expect(err).To(MatchError(readlimit.ErrNoMemory))
			waited <- time.Since(begun)
		})
		s.dial(getReply)
		Expect(<-waited).To(BeNumerically("<", replyTimeout/2))
	})

	// Replies that were read in part held each other up until the deadlines of their requests.
	It("waits for a bounded time in all, though each of its reads finds room after a while", func() {
		ended := make(chan error, 1)
		s := serveReplies(func(ctx context.Context, c *Conn) {
			_, err := io.CopyN(io.Discard, CountReply(ctx, reply(spender{c.gate}), -1), 40_000)
			ended <- err
		})
		c := s.dial(getReply)
		Eventually(ended, 2*replyTimeout).Should(Receive(MatchError(readlimit.ErrNoMemory)))
		Expect(status(c)).To(Equal(http.StatusOK))
	})

	// Guards against replies that are counted for the next request on the connection, for good.
	It("counts nothing for a request that is answered", func() {
		late := make(chan io.ReadCloser, 1)
		s := serveReplies(func(ctx context.Context, _ *Conn) { late <- CountReply(ctx, reply(filler{}), -1) })
		c := s.dial(getReply)
		Expect(status(c)).To(Equal(http.StatusOK))
		r := <-late
		Eventually(func() error { _, err := io.CopyN(io.Discard, r, 100_000); return err }).Should(MatchError(errRequestEnded))
		Expect(r.Close()).To(Succeed())
		Expect(s.gate.answers.used.Load()).To(BeZero())
	})
})
