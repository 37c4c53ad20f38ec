package generation_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sardinespindle/sardinespindle/internal/policy/generation"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

func TestGeneration(t *testing.T) { testkit.Run(t, "generation") }

// vm is a model VM; checked says that it follows Decide and Gate.
type vm struct {
	current generation.Head
	gate    generation.Gate
	checked bool
}

func (v *vm) receive(now time.Duration, h generation.Head) {
	if !v.checked {
		v.current = h
		return
	}
	if generation.Decide(v.current, h) != generation.Newer {
		return
	}
	v.gate.Offer(now, h)
}

func (v *vm) tick(now time.Duration, h generation.Head) {
	if v.checked && generation.Decide(v.current, h) == generation.Newer && v.gate.Settled(now, h) {
		v.current = h
		v.gate.DropBelow(h.Generation)
	}
}

// replay delivers commits repeatedly and in any order, and reports whether the manifest in
// force ever went back to a lower generation or to another one of the same generation.
func replay(t *rapid.T, checked bool) bool {
	v := &vm{checked: checked}
	now := time.Duration(0)
	reverted := false
	offers := rapid.SliceOfN(rapid.IntRange(1, 6), 1, 30).Draw(t, "offers")
	for _, n := range offers {
		h := generation.Head{Generation: n, Digest: fmt.Sprintf("%d%s", n, rapid.SampledFrom([]string{"a", "a", "b"}).Draw(t, "digest"))}
		before := v.current
		now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
		v.receive(now, h)
		v.tick(now, h)
		if v.current.Generation < before.Generation || (v.current.Generation == before.Generation && v.current != before) {
			reverted = true
		}
	}
	return reverted
}

// A delayed or repeated head would put an older manifest, or another one of the same
// generation, in force.
var _ = Describe("A VM that receives manifests in any order", func() {
	It("never reverts to an older or conflicting manifest", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			if replay(t, true) {
				t.Fatal("reverted")
			}
		})
	})

	It("reverts in the model once Decide and Gate are left out", func() {
		found := false
		rapid.Check(GinkgoT(), func(t *rapid.T) { found = replay(t, false) || found })
		Expect(found).To(BeTrue())
	})

	It("accepts neither of two commits of one generation made within the settle time", func() {
		var g generation.Gate
		a := generation.Head{Generation: 3, Digest: "a"}
		b := generation.Head{Generation: 3, Digest: "b"}
		Expect(g.Offer(0, a)).To(BeFalse())
		Expect(g.Offer(generation.SettleTime/2, b)).To(BeTrue())
		Expect(g.Settled(generation.SettleTime*2, a)).To(BeFalse())
		Expect(g.Settled(generation.SettleTime*2, b)).To(BeFalse())
		Expect(g.Conflicting(3)).To(BeTrue())
	})

	It("drops the lowest pending generations when ever higher ones are offered", func() {
		var g generation.Gate
		for n := range 1000 {
			g.Offer(0, generation.Head{Generation: n + 1, Digest: "x"})
		}
		Expect(g.Settled(generation.SettleTime, generation.Head{Generation: 1, Digest: "x"})).To(BeFalse())
		Expect(g.Settled(generation.SettleTime, generation.Head{Generation: 1000, Digest: "x"})).To(BeTrue())
	})

	It("holds a bounded number of generations when ever lower ones are offered", func() {
		var g generation.Gate
		for n := 1000; n > 0; n-- {
			g.Offer(0, generation.Head{Generation: n, Digest: "x"})
		}
		settled := 0
		for n := range 1000 {
			if g.Settled(generation.SettleTime, generation.Head{Generation: n + 1, Digest: "x"}) {
				settled++
			}
		}
		Expect(settled).To(BeNumerically("<=", 16))
		Expect(g.Settled(generation.SettleTime, generation.Head{Generation: 1000, Digest: "x"})).To(BeTrue())
	})
})
