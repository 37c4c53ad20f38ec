package facts_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	rules "github.com/sardinespindle/sardinespindle/internal/policy/facts"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

func TestFacts(t *testing.T) { testkit.Run(t, "policy/facts") }

func drawFact(t *rapid.T) rules.Fact {
	v := rapid.IntRange(1, 4).Draw(t, "version")
	return rules.Fact{
		Key: rapid.SampledFrom([]string{"crash/a/1", "drain/b", "alive/c", "head"}).Draw(t, "key"),
		// An origin never publishes two values under one version.
		Origin: "vm1/x", Version: v, Value: string(rune('a' + v)),
		Expires: time.Duration(rapid.IntRange(-2, 20).Draw(t, "ttl")) * time.Minute,
	}
}

func mergeAll(fs []rules.Fact) map[rules.ID]rules.Fact {
	held := map[rules.ID]rules.Fact{}
	for _, f := range fs {
		old, has := held[f.ID()]
		if merged, v := rules.Merge(0, old, has, f); v == rules.Taken || v == rules.Shortened {
			held[f.ID()] = merged
		}
	}
	return held
}

// Gossip delivers facts late, repeatedly and in any order; all VMs must end with the same
// facts.
var _ = Describe("Merge", func() {
	It("gives the same facts for any order and repetition of offers", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			fs := rapid.SliceOfN(rapid.Custom(drawFact), 1, 20).Draw(t, "facts")
			other := rapid.Permutation(append(append([]rules.Fact{}, fs...), fs...)).Draw(t, "again")
			one, two := mergeAll(fs), mergeAll(other)
			for id, f := range one {
				if two[id].Version != f.Version || two[id].Value != f.Value {
					t.Fatalf("fact %v is %v in one order and %v in another", id, f, two[id])
				}
			}
			if len(one) != len(two) {
				t.Fatalf("facts are %v in one order and %v in another", one, two)
			}
		})
	})

	DescribeTable("reports a fact outside its limits as malformed", func(spoil func(*rules.Fact)) {
		f := rules.Fact{Key: "k", Origin: "vm1/x", Version: 1, Expires: time.Minute}
		spoil(&f)
		_, v := rules.Merge(0, rules.Fact{}, false, f)
		Expect(v).To(Equal(rules.Malformed))
	},
		Entry("empty key", func(f *rules.Fact) { f.Key = "" }),
		Entry("origin without a VM name", func(f *rules.Fact) { f.Origin = "/x" }),
		Entry("key too long", func(f *rules.Fact) { f.Key = string(make([]byte, rules.MaxKeyBytes+1)) }),
		Entry("value too long", func(f *rules.Fact) { f.Value = string(make([]byte, rules.MaxValueBytes+1)) }),
		Entry("origin too long", func(f *rules.Fact) { f.Origin = string(make([]byte, rules.MaxOriginBytes+1)) }),
		Entry("version 0", func(f *rules.Fact) { f.Version = 0 }),
	)

	It("caps the expiry at MaxTTL and never extends it for the same version", func() {
		f := rules.Fact{Key: "k", Origin: "vm1/x", Version: 1, Expires: 24 * time.Hour}
		held, _ := rules.Merge(0, rules.Fact{}, false, f)
		Expect(held.Expires).To(Equal(rules.MaxTTL))
		_, v := rules.Merge(time.Minute, held, true, f)
		Expect(v).To(Equal(rules.Known))
	})
})

var _ = Describe("Select", func() {
	It("returns every fact once, chooses within the limits and prefers urgent kinds", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			fs := rapid.SliceOfN(rapid.Custom(drawFact), 0, 30).Draw(t, "facts")
			maxFacts := rapid.IntRange(0, 30).Draw(t, "max facts")
			maxBytes := rapid.IntRange(0, 2000).Draw(t, "max bytes")
			chosen, rest := rules.Select(fs, maxFacts, maxBytes)
			size := 0
			for _, f := range chosen {
				size += f.Size()
				for _, g := range rest {
					if rules.Urgency(g.Key) < rules.Urgency(f.Key) {
						t.Fatalf("%s is chosen before the more urgent %s", f.Key, g.Key)
					}
				}
			}
			if size > maxBytes || len(chosen) > maxFacts || len(chosen)+len(rest) != len(fs) {
				t.Fatalf("chose %d of %d facts, %d bytes", len(chosen), len(fs), size)
			}
		})
	})
})
