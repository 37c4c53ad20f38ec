package takeover_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sardinespindle/sardinespindle/internal/policy/takeover"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

func TestTakeover(t *testing.T) { testkit.Run(t, "takeover") }

var _ = Describe("A search that a second VM takes over", func() {
	// Load pattern: a gatherer loses power after it has hedged some shards; the search goes to
	// another gatherer, which knows only what the first one reported.
	It("reaches no more replicas of a shard than it may, as far as the first VM reported them", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			replicas := []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80", "10.0.0.4:80", "10.0.0.5:80"}
			maxAttempts := rapid.IntRange(1, 4).Draw(t, "max")
			ran := map[byte]bool{}
			u := takeover.NewUsed(3)
			for range rapid.IntRange(0, maxAttempts).Draw(t, "first") {
				r := rapid.SampledFrom(replicas).Draw(t, "replica")
				u.Add(1, r)
				ran[takeover.Hash(r)] = true
			}
			a := takeover.Allow(maxAttempts, true, true, u.At(1))
			if a.Repeats != (len(ran) > 0) {
				t.Fatalf("%d replicas used, repeats %v", len(ran), a.Repeats)
			}
			for range a.Attempts {
				r := takeover.Hash(rapid.SampledFrom(replicas).Draw(t, "replica"))
				if a.Only != nil {
					r = rapid.SampledFrom(a.Only).Draw(t, "used replica")
				}
				ran[r] = true
			}
			if len(ran) > maxAttempts {
				t.Fatalf("%d replicas ran the request, at most %d may", len(ran), maxAttempts)
			}
			if a.Attempts < 1 {
				t.Fatal("the shard cannot be asked at all")
			}
		})
	})

	It("counts each shard as sent once if the first VM reported nothing", func() {
		Expect(takeover.Allow(3, true, false, nil)).To(Equal(takeover.Allowance{Attempts: 2, Repeats: true}))
		Expect(takeover.Allow(1, true, false, nil)).To(Equal(takeover.Allowance{Attempts: 1, Repeats: true}))
		Expect(takeover.Allow(2, false, false, nil)).To(Equal(takeover.Allowance{Attempts: 2}))
	})

	It("ignores shards beyond the record, as a peer may send a short one", func() {
		u := takeover.NewUsed(2)
		for i := range 5 {
			u.Add(0, fmt.Sprint("replica ", i))
		}
		Expect(u.At(0)).To(HaveLen(2))
		Expect(u.At(1)).To(BeEmpty())
		Expect(u.At(2)).To(BeNil())
		Expect(takeover.Used("\x01").At(0)).To(BeNil())
	})
})
