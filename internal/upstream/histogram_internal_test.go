package upstream

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var _ = Describe("A histogram", func() {
	// Guards against counts of a period that stay, or are lost, when buffers are used again.
	It("counts the latencies of the current and the previous period, whatever the gaps", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			var h histogram
			type sample struct{ at, latency time.Duration }
			var samples []sample
			now, rotated := time.Duration(0), time.Duration(0)
			kept := time.Duration(0) // samples from here on count
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				now += time.Duration(rapid.IntRange(0, 12000).Draw(t, "gap")) * time.Millisecond
				if age := now - rotated; age >= 2*histogramPeriod {
					kept, rotated = now, now
				} else if age >= histogramPeriod {
					kept, rotated = rotated, now
				}
				if rapid.Bool().Draw(t, "add") {
					latency := time.Duration(rapid.IntRange(1, 1_000_000).Draw(t, "latency")) * time.Microsecond
					h.add(now, latency)
					samples = append(samples, sample{now, latency})
				}
				var got, want latencyCounts
				n, wantN := h.addTo(now, &got), uint32(0)
				for _, s := range samples {
					if s.at >= kept {
						want[bucketOf(s.latency)]++
						wantN++
					}
				}
				if n != wantN || got != want {
					t.Fatalf("at %v: %d counts, want %d", now, n, wantN)
				}
			}
		})
	})

	It("takes no memory for counts while there are no samples", func() {
		var h histogram
		h.add(0, time.Millisecond)
		Expect(h.median(11 * time.Second)).To(BeZero())
		Expect(h.cur).To(BeNil())
		Expect(h.old).To(BeNil())
	})
})
