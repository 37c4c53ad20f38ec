package slopes

import (
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/manifest"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
)

// partBytes is the size to which upstreams are cut into parts.
const partBytes = 900_000

// shardsOf is the fan-out of the measured workload.
const shardsOf = 320

// ManifestResult is what a manifest of one size costs one VM.
type ManifestResult struct {
	Servers int `json:"servers"`
	Parts   int `json:"parts"`
	// Bytes of head and parts as published.
	Bytes int `json:"bytes"`
	// ColdMs is the time to build it from nothing, ChangeMs after one change.
	ColdMs   float64 `json:"cold_ms"`
	ChangeMs float64 `json:"change_ms"`
	// DeltaBytes are fetched after one change: the head and one part.
	DeltaBytes int `json:"delta_bytes"`
	// Memory held by the built manifest and its parts.
	Memory float64 `json:"memory_bytes"`
}

// Manifest builds a manifest of n servers, changes one server and builds it again.
func Manifest(n int) (ManifestResult, error) {
	head, texts, err := published(n, 1, -1)
	if err != nil {
		return ManifestResult{}, err
	}
	r := ManifestResult{Servers: n, Parts: len(texts), Bytes: len(head)}
	for _, t := range texts {
		r.Bytes += len(t)
	}
	before := memory()
	b := manifest.NewBuilder()
	begin := time.Now()
	m, err := b.Build(head, texts)
	if err != nil {
		return ManifestResult{}, err
	}
	r.ColdMs = ms(time.Since(begin))
	r.Memory = memory() - before
	changed, fresh, err := published(n, 2, n/2)
	if err != nil {
		return ManifestResult{}, err
	}
	for digest := range texts {
		delete(fresh, digest)
	}
	r.DeltaBytes = len(changed)
	for _, t := range fresh {
		r.DeltaBytes += len(t)
	}
	begin = time.Now()
	if _, err := b.Build(changed, fresh); err != nil {
		return ManifestResult{}, err
	}
	r.ChangeMs = ms(time.Since(begin))
	runtime.KeepAlive(m)
	return r, nil
}

// published returns the texts of a manifest of n servers; the one at index draining
// is marked so.
func published(n, generation, draining int) ([]byte, map[string][]byte, error) {
	parts := []gen.Part{workloadPart(n)}
	var current gen.Part
	size := 0
	for i := range n {
		u := server(i, n)
		u.Draining = i == draining
		text, err := json.Marshal(u)
		if err != nil {
			return nil, nil, err
		}
		if size += len(text) + 1; size > partBytes {
			parts = append(parts, current)
			current = gen.Part{}
			size = len(text) + 1
		}
		current.Upstreams = append(current.Upstreams, u)
	}
	parts = append(parts, current)
	return publish(generation, parts)
}

func publish(generation int, parts []gen.Part) ([]byte, map[string][]byte, error) {
	h := gen.Head{Generation: generation}
	texts := make(map[string][]byte)
	for _, p := range parts {
		text, err := json.Marshal(p)
		if err != nil {
			return nil, nil, err
		}
		d := manifest.Digest(text)
		texts[d] = text
		h.Parts = append(h.Parts, gen.PartRef{Digest: gen.Digest(d), Bytes: len(text)})
	}
	head, err := json.Marshal(h)
	return head, texts, err
}

func workloadPart(n int) gen.Part {
	shards := min(shardsOf, n)
	pm := gen.PartitionMap{Workload: "search", Version: 1}
	const hashes = 1 << 32
	for i := range shards {
		pm.Shards = append(pm.Shards, gen.Shard{
			Name:  gen.Name(fmt.Sprintf("s%03d", i)),
			First: hashes * i / shards,
			Last:  hashes*(i+1)/shards - 1,
		})
	}
	return gen.Part{
		Workloads:     []gen.Workload{{Name: "search", Kind: gen.WorkloadKindSharded, Idempotent: true}},
		PartitionMaps: []gen.PartitionMap{pm},
	}
}

func server(i, n int) gen.Upstream {
	return gen.Upstream{
		Address:         fmt.Sprintf("10.%d.%d.%d:7000", i>>16, i>>8&255, i&255),
		Zone:            gen.Name(fmt.Sprintf("zone-%d", i%10)),
		Workload:        "search",
		Shards:          []gen.Name{gen.Name(fmt.Sprintf("s%03d", i%min(shardsOf, n)))},
		Slots:           2,
		ConnectionLimit: 60,
	}
}
