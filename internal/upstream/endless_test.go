package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/policy/poison"
	"github.com/sardinespindle/sardinespindle/internal/readlimit"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
)

// endlessUpstream reads the head of each request, sends start, and then filler until the
// connection is closed, with a pause after each block.
type endlessUpstream struct {
	net.Listener
	pause   time.Duration
	open    atomic.Int64 // connections
	serving atomic.Int64 // connections that have got a request
}

func newEndlessUpstream(start, filler string) *endlessUpstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	e := &endlessUpstream{Listener: l}
	DeferCleanup(l.Close)
	block := []byte(strings.Repeat(filler, 1+(32<<10)/len(filler)))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.open.Add(1)
			go func() {
				defer e.open.Add(-1)
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				e.serving.Add(1)
				defer e.serving.Add(-1)
				_, err := c.Write([]byte(start))
				for err == nil {
					_, err = c.Write(block)
					time.Sleep(e.pause)
				}
			}()
		}
	}()
	return e
}

// held is a reader that sends nothing until it is closed.
type held chan struct{}

func (h held) Read([]byte) (int, error) {
	<-h
	return 0, io.EOF
}

// Bytes that are no answer may come without end, in a head or a body, until this VM closes.
var _ = Describe("Client of upstreams that send bytes without end", func() {
	newEndlessClient := func(us ...*endlessUpstream) *Client {
		var entries []*gen.Upstream
		for _, u := range us {
			entries = append(entries, &gen.Upstream{Address: u.Addr().String(), Zone: "a", Workload: wlOrder, Slots: 1000, ConnectionLimit: 20_000})
		}
		return newClient(Options{ManifestOnly: true, Headers: passThroughHeaders, Reads: readlimit.New(16 << 20)}, newManifest(entries...))
	}
	within := 2 * time.Second // until the deadline of an attempt
	do := func(ctx context.Context, c *Client, limit int64) Result {
		t, _, err := c.PickPassThrough(newManifest().Workloads[wlOrder], "route", nil)
		if err != nil {
			return Result{Class: NotSent, Err: err}
		}
		return c.Do(ctx, t, Attempt{
			Kind: PassThrough, Route: "route", Deadline: time.Now().Add(within), MaxReplyBytes: limit,
			PassThrough: &PassThroughRequest{Method: http.MethodGet, Target: "/x", Host: "h", ID: "id"},
		})
	}
	const head = "HTTP/1.1 200 OK\r\nSignature: s\r\n"

	DescribeTable("ends the attempt, closes the connection and ranks the upstream as one that fails", func(start, filler string) {
		u := newEndlessUpstream(start, filler)
		c := newEndlessClient(u)
		within = time.Minute // which is not what ends it
		DeferCleanup(func() { within = 2 * time.Second })
		begun, supply := time.Now(), testkit.StartSupply()
		r := do(context.Background(), c, 1<<20)
		Expect(time.Since(begun)).To(BeNumerically("<", supply.Stretch(time.Second)))
		Expect(r.Class).To(Equal(InvalidReply))
		Expect(r.Body).To(BeEmpty())
		Expect(c.States()[0].Suspect).To(BeTrue())
		Expect(c.States()[0].Outstanding).To(BeZero())
		Eventually(u.open.Load, time.Second).Should(BeZero())
	},
		Entry("instead of a head", "", "\x00\xff"),
		Entry("in a line of the head", head+"Name: ", "x"),
		Entry("in lines of the head", head, "Name: x\r\n"),
		Entry("in heads that announce others", "", "HTTP/1.1 103 Early Hints\r\n\r\n"),
		Entry("in a body that ends with its connection", head+"Connection: close\r\n\r\n", "x"),
		Entry("in the chunks of a body", head+"Transfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"),
		Entry("in the size of a chunk", head+"Transfer-Encoding: chunked\r\n\r\n", "0"),
		Entry("in a body of an announced length", head+"Content-Length: 9000000000\r\n\r\n", "x"),
		Entry("in the trailer of a body", head+"Transfer-Encoding: chunked\r\n\r\n0\r\n", "Name: x\r\n"),
	)

	// Upstreams that did nothing wrong were avoided while others sent bytes without end.
	It("does not rank an upstream as one that fails whose reply finds no room beside others", func() {
		address := testkit.ServeConns(func(c net.Conn) {
			for in := bufio.NewReader(c); ; {
				if _, err := http.ReadRequest(in); err != nil {
					return
				}
				_, _ = io.WriteString(c, head+"Id: id\r\nContent-Length: 200000\r\n\r\n"+strings.Repeat("x", 200_000))
			}
		})
		c := newClient(Options{ManifestOnly: true, Headers: passThroughHeaders, Reads: readlimit.New(2 << 20)},
			newManifest(&gen.Upstream{Address: address, Zone: "a", Workload: wlOrder, Slots: 1000, ConnectionLimit: 20_000}))
		Expect(do(context.Background(), c, 0).Class).To(Equal(OK))
		release := make(chan struct{})
		var reading sync.WaitGroup
		defer reading.Wait()
		defer close(release)
		other := strings.Repeat("x", 100_000)
		for range 60 {
			reading.Go(func() {
				_, _ = c.opts.Reads.ReadAll(io.MultiReader(strings.NewReader(other), held(release)), 8<<20, -1)
			})
		}
		Eventually(c.opts.Reads.Left).Should(BeNumerically("<", 800_000))
		r := do(context.Background(), c, 0)
		Expect(r.Class).To(Equal(InvalidReply))
		Expect(r.Err).To(MatchError(readlimit.ErrNoMemory))
		Expect(c.States()[0].Suspect).To(BeFalse())
		Expect(c.States()[0].Outstanding).To(BeZero())
	})

	// Requests were taken for ones that end their upstreams since this VM had no room for the replies.
	It("does not hold against a request that its reply found no room until the deadline", func() {
		for _, class := range []Class{TimedOut, Canceled, InvalidReply} {
			Expect(fateOf(&Result{Class: class, Err: fmt.Errorf("%w: no room", readlimit.ErrNoMemory)})).To(Equal(poison.Lives))
		}
		Expect(fateOf(&Result{Class: TimedOut, Err: context.DeadlineExceeded})).To(Equal(poison.Unknown))
	})

	It("ranks an upstream as one that fails whose reply alone is more than may be read", func() {
		c := newEndlessClient(newEndlessUpstream(head+"Connection: close\r\n\r\n", "x"))
		r := do(context.Background(), c, 0)
		Expect(r.Err).To(MatchError(readlimit.ErrNoMemory))
		Expect(c.States()[0].Suspect).To(BeTrue())
	})

	It("ends with the request that it is for, and holds nothing after it", func() {
		u := newEndlessUpstream(head+"Connection: close\r\n\r\n", "x")
		u.pause = 20 * time.Millisecond
		c := newEndlessClient(u)
		before := runtime.NumGoroutine()
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		Expect(do(ctx, c, 1<<40).Class).To(BeElementOf(TimedOut, Canceled, InvalidReply))
		Eventually(u.serving.Load, time.Second).Should(BeZero())
		c.Close() // the connection that replaces the one dropped
		Eventually(u.open.Load, time.Second).Should(BeZero())
		Eventually(runtime.NumGoroutine, time.Second).Should(BeNumerically("<=", before))
		Expect(c.States()[0].Outstanding).To(BeZero())
		Expect(c.opts.Reads.Left()).To(BeEquivalentTo(16 << 20))
	})

	// Load pattern: all replicas of many shards send bytes without end at once; a VM of 136 MB has
	// hundreds of such connections.
	It("uses little memory for hundreds of them at a time", func() {
		var us []*endlessUpstream
		for range 20 {
			us = append(us, newEndlessUpstream(head+"Connection: close\r\n\r\n", "x"))
		}
		c := newEndlessClient(us...)
		ctx, cancel := context.WithCancel(context.Background())
		var peak atomic.Uint64
		var watching, sending sync.WaitGroup
		watching.Go(func() {
			for ctx.Err() == nil {
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				peak.Store(max(peak.Load(), m.HeapAlloc))
				time.Sleep(2 * time.Millisecond)
			}
		})
		for range 400 {
			sending.Go(func() { do(context.Background(), c, 0) })
		}
		sending.Wait()
		cancel()
		watching.Wait()
		Expect(peak.Load()).To(BeNumerically("<", 64<<20))
		for _, u := range us {
			Eventually(u.serving.Load, 2*time.Second).Should(BeZero())
		}
	})
})
