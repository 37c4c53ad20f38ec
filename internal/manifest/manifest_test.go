package manifest_test

import (
	"encoding/json"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
)

func TestManifest(t *testing.T) { testkit.Run(t, "manifest") }

const partText = `{
 "workloads":[{"name":"parts","kind":"sharded","idempotent":true},{"name":"order-desk","kind":"single","idempotent":false}],
 "partition_maps":[{"workload":"parts","version":1,"shards":[{"name":"s0","first":0,"last":99},{"name":"s1","first":100,"last":4294967295}]}],
 "upstreams":[
  {"address":"127.2.0.1:1","zone":"a","workload":"parts","shards":["s0"],"slots":2,"connection_limit":60},
  {"address":"127.2.0.2:1","zone":"b","workload":"parts","shards":["s1"],"slots":2,"connection_limit":60},
  {"address":"127.2.0.3:1","zone":"b","workload":"order-desk","slots":4,"connection_limit":250}],
 "callers":[{"name":"builders","token_sha256":"` + digest + `","grants":[{"workload":"parts","deadline_ms":100,"trade":"partial"}]}]}`

const digest = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"

func publish(generation int, parts ...string) ([]byte, map[string][]byte) {
	h := gen.Head{Generation: generation}
	texts := make(map[string][]byte)
	for _, p := range parts {
		d := manifest.Digest([]byte(p))
		texts[d] = []byte(p)
		h.Parts = append(h.Parts, gen.PartRef{Digest: gen.Digest(d), Bytes: len(p)})
	}
	text, err := json.Marshal(h)
	Expect(err).NotTo(HaveOccurred())
	return text, texts
}

func build(part string) error {
	head, texts := publish(1, part)
	_, err := manifest.NewBuilder().Build(head, texts)
	return err
}

var _ = Describe("Build", func() {
	It("compiles lookup tables and fills in defaults", func() {
		head, texts := publish(7, partText)
		m, err := manifest.NewBuilder().Build(head, texts)
		Expect(err).NotTo(HaveOccurred())
		Expect(m.Generation).To(Equal(7))
		Expect(m.Workloads["parts"].Replicas["s1"]).To(HaveLen(1))
		g := m.Callers[digest].ByWorkload["parts"]
		Expect(g.Priority).To(Equal(5))
		Expect(g.HedgePercent).To(Equal(3.0))
	})

	// Otherwise a change of one part would make every VM fetch and decode all parts.
	It("needs only the text of the part that changed since the last build", func() {
		b := manifest.NewBuilder()
		head, texts := publish(1, partText)
		_, err := b.Build(head, texts)
		Expect(err).NotTo(HaveOccurred())
		extra := `{"callers":[]}`
		head, _ = publish(2, partText, extra)
		h, err := manifest.ParseHead(head)
		Expect(err).NotTo(HaveOccurred())
		Expect(b.Missing(h)).To(ConsistOf(manifest.Digest([]byte(extra))))
		_, err = b.Build(head, map[string][]byte{manifest.Digest([]byte(extra)): []byte(extra)})
		Expect(err).NotTo(HaveOccurred())
	})

	// The text may come from a peer, which could have altered it.
	It("refuses a part whose text does not match its digest", func() {
		head, texts := publish(1, partText)
		for d := range texts {
			texts[d] = []byte(strings.Replace(partText, "builders", "builderz", 1))
		}
		_, err := manifest.NewBuilder().Build(head, texts)
		Expect(err).To(MatchError(ContainSubstring("does not match")))
	})

	// A refused build must not make the VM fetch the parts in force again.
	It("keeps the cached parts after a refused build", func() {
		b := manifest.NewBuilder()
		head, texts := publish(1, partText)
		_, err := b.Build(head, texts)
		Expect(err).NotTo(HaveOccurred())
		bad, badTexts := publish(2, `{"callers":[{"name":"x"}]}`)
		_, err = b.Build(bad, badTexts)
		Expect(err).To(HaveOccurred())
		_, err = b.Build(head, nil)
		Expect(err).NotTo(HaveOccurred())
	})

	DescribeTable("refuses a part and names the problem:",
		func(old, new string, want ...string) {
			Expect(partText).To(ContainSubstring(old))
			err := build(strings.Replace(partText, old, new, 1))
			for _, w := range want {
				Expect(err).To(MatchError(ContainSubstring(w)))
			}
		},
		Entry("gap between two shards", `"first":100`, `"first":101`, "gap from 100 to 100"),
		Entry("overlap of two shards", `"first":100`, `"first":99`, "overlaps"),
		Entry("partition map that ends below the highest hash", `"last":4294967295`, `"last":4294967294`, "gap from 4294967295"),
		Entry("two upstreams of one address", "127.2.0.2:1", "127.2.0.1:1", "declared twice"),
		Entry("upstream of an undeclared shard, and shard without an upstream", `"shards":["s1"]`, `"shards":["s9"]`, "s9 stands in no partition map", "s1 of map 1 has no upstream"),
		Entry("upstream with more slots than connections", `"slots":2,"connection_limit":60`, `"slots":2,"connection_limit":1`, "2 slots cannot be used"),
		Entry("grant for an undeclared workload", `"grants":[{"workload":"parts"`, `"grants":[{"workload":"news"`, "unknown workload news"),
		Entry("unknown key", `"zone":"a"`, `"zone":"a","colour":1`, "colour"),
		Entry("sharded workload that is not idempotent", `"sharded","idempotent":true`, `"sharded","idempotent":false`, "must be idempotent"),
	)
})

var _ = Describe("Diff", func() {
	It("lists what was added, removed and changed, ordered by subject", func() {
		head, texts := publish(1, partText)
		a, err := manifest.NewBuilder().Build(head, texts)
		Expect(err).NotTo(HaveOccurred())
		changed := strings.Replace(strings.Replace(partText, "127.2.0.3:1", "127.2.0.4:1", 1), `"deadline_ms":100`, `"deadline_ms":90`, 1)
		head, texts = publish(2, changed)
		b, err := manifest.NewBuilder().Build(head, texts)
		Expect(err).NotTo(HaveOccurred())
		Expect(manifest.Diff(a, b)).To(Equal([]manifest.Change{
			{Kind: manifest.Changed, Subject: "caller builders"},
			{Kind: manifest.Removed, Subject: "upstream 127.2.0.3:1"},
			{Kind: manifest.Added, Subject: "upstream 127.2.0.4:1"},
		}))
		Expect(manifest.Diff(b, b)).To(BeEmpty())
	})
})
