package coverage_test

import (
	"fmt"
	"testing"

	"github.com/sardinespindle/sardinespindle/internal/policy/coverage"
	"github.com/sardinespindle/sardinespindle/internal/policy/snapshot"
	"github.com/sardinespindle/sardinespindle/schema/gen/upstream"
)

// BenchmarkTop measures Top with limit 10 for 320 parts of 10 documents each.
func BenchmarkTop(b *testing.B) {
	const shards, each = 320, 10
	id := snapshot.ID{Index: 1, Map: 1}
	var shardNames []string
	for s := range shards {
		shardNames = append(shardNames, fmt.Sprint(s))
	}
	pm := partitionMap(shardNames...)
	var m coverage.Merge
	for s, name := range shardNames {
		p := coverage.Part{Shard: name, Snapshot: id, Held: each}
		for i := range each {
			p.Documents = append(p.Documents, upstream.Document{Id: fmt.Sprint(s, i), Score: float64((s*7919)%1000 - i)})
		}
		m.Add(pm, p)
	}
	b.ReportAllocs()
	for b.Loop() {
		if len(m.Top(id, each)) != each {
			b.Fatal("too few documents")
		}
	}
}
