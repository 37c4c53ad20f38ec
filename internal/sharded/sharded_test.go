package sharded_test

import (
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/sharded"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

func TestSharded(t *testing.T) { testkit.Run(t, "sharded") }

var _ = Describe("Map", func() {
	It("loses no concurrent update, and evicts other entries for a new one at its limit", func() {
		const workers, updates, keys = 8, 10_000, 100
		m := sharded.New[int, int](64_000)
		var wg sync.WaitGroup
		for range workers {
			wg.Go(func() {
				for i := range updates {
					m.Update(i%keys, func(v *int) { *v++ })
				}
			})
		}
		wg.Wait()
		total := 0
		for k := range keys {
			m.View(k, func(v *int) { total += *v })
		}
		Expect(total).To(Equal(workers * updates))

		const limit = 640
		small := sharded.New[int, int](limit)
		for k := range 10 * limit {
			small.Update(k, func(v *int) { *v = k })
		}
		Expect(small.Len()).To(BeNumerically("<=", limit))
		Expect(small.View(10*limit-1, func(*int) {})).To(BeTrue())
	})
})
