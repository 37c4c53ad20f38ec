package readlimit_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sardinespindle/sardinespindle/internal/readlimit"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

func TestReadlimit(t *testing.T) { testkit.Run(t, "readlimit") }

// endless is a body without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

var _ = Describe("Budget", func() {
	It("reads a body of any size up to the limit, in chunks of any size", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			limit := rapid.IntRange(0, 100_000).Draw(t, "limit")
			body := bytes.Repeat([]byte("x"), rapid.IntRange(0, 100_000).Draw(t, "size"))
			length := int64(-1)
			if rapid.Bool().Draw(t, "announced") {
				length = int64(len(body))
			}
			var r io.Reader = bytes.NewReader(body)
			if rapid.Bool().Draw(t, "with EOF") {
				r = iotest.DataErrReader(r)
			}
			b := readlimit.New(1 << 20)
			got, err := b.ReadAll(r, int64(limit), length)
			switch {
			case len(body) > limit && err == nil:
				t.Fatalf("%d bytes read, at most %d", len(got), limit)
			case len(body) <= limit && (err != nil || !bytes.Equal(got, body)):
				t.Fatalf("%d of %d bytes: %v", len(got), len(body), err)
			case b.Left() != 1<<20:
				t.Fatalf("%d bytes are not given back", 1<<20-b.Left())
			}
		})
	})

	It("ends a body without end at the limit, or when it uses too much of what is left", func() {
		b := readlimit.New(1 << 30)
		_, err := b.ReadAll(endless{}, 1<<20, -1)
		Expect(err).To(MatchError(readlimit.ErrTooLarge))
		b = readlimit.New(1 << 20)
		_, err = b.ReadAll(endless{}, 8<<20, -1)
		Expect(err).To(And(MatchError(readlimit.ErrNoMemory), MatchError(readlimit.ErrOwnSize)))
		Expect(b.Left()).To(BeEquivalentTo(1 << 20))
	})

	// Guards against upstreams that are blamed for what others send.
	It("tells a body that is too much by itself from one that others leave no room for", func() {
		b := readlimit.New(1 << 20)
		release, started := make(chan struct{}), make(chan struct{}, 20)
		defer close(release)
		for range 20 {
			go func() {
				_, _ = b.ReadAll(io.MultiReader(strings.NewReader(strings.Repeat("x", 60<<10)), &waiting{release, started}), 8<<20, -1)
			}()
		}
		Eventually(b.Left, "5s").Should(BeNumerically("<", 300<<10))
		_, err := b.ReadAll(strings.NewReader(strings.Repeat("y", 100<<10)), 8<<20, -1)
		Expect(err).To(MatchError(readlimit.ErrNoMemory))
		Expect(err).NotTo(MatchError(readlimit.ErrOwnSize))
	})

	// Load pattern: hundreds of connections on which bytes come without end, beside requests of
	// callers.
	It("leaves room for a body of usual size beside many reads that have taken what they can", func() {
		b := readlimit.New(16 << 20)
		release := make(chan struct{})
		defer close(release)
		started := make(chan struct{}, 300)
		for range 300 {
			// 1 MB each, then no more for a while.
			r := io.MultiReader(strings.NewReader(strings.Repeat("x", 1<<20)), &waiting{release, started})
			go func() {
				_, err := b.ReadAll(r, 8<<20, -1)
				if err != nil {
					started <- struct{}{}
				}
			}()
		}
		for range 300 {
			Eventually(started, "5s").Should(Receive())
		}
		Expect(b.Left()).To(BeNumerically(">", 256<<10))
		got, err := b.ReadAll(strings.NewReader(strings.Repeat("y", 60<<10)), 8<<20, -1)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(HaveLen(60 << 10))
	})

	It("allocates no more than was announced for a short body, and little ahead of a long one", func() {
		b := readlimit.New(1 << 20)
		got, err := b.ReadAll(strings.NewReader("abc"), 1<<20, 3)
		Expect(err).NotTo(HaveOccurred())
		Expect(cap(got)).To(Equal(4))
		_, err = b.ReadAll(strings.NewReader(""), 8<<20, 8<<20)
		Expect(err).NotTo(HaveOccurred())
		Expect(b.Left()).To(BeEquivalentTo(1 << 20))
		_, err = b.ReadAll(endless{}, 100, 101)
		Expect(err).To(MatchError(readlimit.ErrTooLarge))
	})
})

// waiting reports its first read and sends nothing until it is released.
type waiting struct {
	release <-chan struct{}
	started chan<- struct{}
}

func (w *waiting) Read([]byte) (int, error) {
	w.started <- struct{}{}
	<-w.release
	return 0, io.EOF
}
