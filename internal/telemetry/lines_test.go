package telemetry_test

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/telemetry"
)

// safe is a buffer for two goroutines.
type safe struct {
	mu sync.Mutex
	bytes.Buffer
}

func (s *safe) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Buffer.Write(p)
}

func (s *safe) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.String()
}

var _ = Describe("Lines", func() {
	It("never waits for a reader that has stalled", func() {
		r, w := io.Pipe()
		defer r.Close()
		l := telemetry.NewLines(w)
		begun := time.Now()
		for i := range 10_000 {
			_, err := fmt.Fprintf(l, "line %d\n", i)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(time.Since(begun)).To(BeNumerically("<", time.Second))
	})

	It("bounds the lines and counts those that it drops", func() {
		out := &safe{}
		l := telemetry.NewLines(out)
		for i := range 1000 {
			fmt.Fprintf(l, "line %d\n", i)
		}
		time.Sleep(50 * time.Millisecond)
		fmt.Fprintln(l, "after")
		Eventually(out.text).Should(ContainSubstring("after"))
		Expect(out.text()).To(ContainSubstring(`"msg":"lines dropped"`))
		Expect(bytes.Count([]byte(out.text()), []byte("\n"))).To(BeNumerically("<", 400))
		l.Close()
	})
})
