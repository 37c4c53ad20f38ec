package facts_test

import (
	"fmt"
	"slices"
	"strings"
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

var _ = Describe("Repair", func() {
	// Load pattern: of 60 VMs that started beside other work, six learned of no other VM for 40 s: over 1,000
	// statements that VMs were lost, each more urgent than an announcement, filled each reply to their digests.
	It("has room for the announcements of 60 VMs beside 1,000 statements that VMs were lost", func() {
		var fs []rules.Fact
		for i := range 1000 {
			fs = append(fs, rules.Fact{Key: fmt.Sprint("lost/127.32.0.", i%60), Origin: fmt.Sprintf("127.32.0.%d/%d", i/60, i), Value: "12 0", Expires: 2 * time.Minute})
		}
		for i := range 60 {
			fs = append(fs, rules.Fact{Key: fmt.Sprint("member/127.32.0.", i), Origin: fmt.Sprintf("127.32.0.%d/1", i), Value: "0 0.13 z1", Expires: time.Minute})
		}
		kinds := map[string]int{}
		for _, f := range rules.Repair(fs, 256, 32<<10) {
			kind, _, _ := strings.Cut(f.Key, "/")
			kinds[kind]++
		}
		Expect(kinds["member"]).To(Equal(60))
		Expect(kinds["lost"]).To(BeNumerically(">=", 150))
	})

	It("chooses within the limits, the most urgent kind first, and no fact twice", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			fs := rapid.SliceOfNDistinct(rapid.Custom(drawFact), 0, 12, func(f rules.Fact) string { return fmt.Sprint(f) }).Draw(t, "facts")
			maxFacts, maxBytes := rapid.IntRange(0, 30).Draw(t, "max facts"), rapid.IntRange(0, 2000).Draw(t, "max bytes")
			chosen := rules.Repair(fs, maxFacts, maxBytes)
			size := 0
			for i, f := range chosen {
				size += f.Size()
				if !slices.Contains(fs, f) || slices.Contains(chosen[:i], f) {
					t.Fatalf("%v is chosen twice, or was not given", f)
				}
				if rules.Urgency(f.Key) < rules.Urgency(chosen[0].Key) {
					t.Fatalf("%s is chosen before the more urgent %s", chosen[0].Key, f.Key)
				}
			}
			if size > maxBytes || len(chosen) > maxFacts {
				t.Fatalf("chose %d facts, %d bytes", len(chosen), size)
			}
		})
	})
})
