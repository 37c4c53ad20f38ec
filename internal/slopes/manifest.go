package slopes

import (
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/manifest"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
)

// partBytes is the largest total size of the upstreams in one part.
const partBytes = 900_000

// maxShards is the largest fan-out of the measured workload. With fewer upstreams than
// that, the workload has one shard per upstream.
const maxShards = 320

// ManifestResult is the cost to one VM of a manifest of one size.
type ManifestResult struct {
	Servers int `json:"servers"`
	Parts   int `json:"parts"`
	// Bytes is the size of head and parts as published.
	Bytes int `json:"bytes"`
	// ColdMs is the time of the first build, ChangeMs of a build after one change.
	ColdMs   float64 `json:"cold_ms"`
	ChangeMs float64 `json:"change_ms"`
	// DeltaBytes is fetched after one change: the head and the parts that changed.
	DeltaBytes int `json:"delta_bytes"`
	// Memory is the growth of heap and stacks by the built manifest and its builder.
	Memory float64 `json:"memory_bytes"`
}

// Manifest builds a manifest of n servers, marks one server as draining and builds
// it again.
func Manifest(n int) (ManifestResult, error) {
	head, texts, err := exampleManifest(n, 1, -1)
	if err != nil {
		return ManifestResult{}, err
	}
	r := ManifestResult{Servers: n, Parts: len(texts), Bytes: len(head)}
	for _, t := range texts {
		r.Bytes += len(t)
	}
	before := memory()
	b := manifest.NewBuilder()
	start := time.Now()
	m, err := b.Build(head, texts)
	if err != nil {
		return ManifestResult{}, err
	}
	r.ColdMs = ms(time.Since(start))
	r.Memory = memory() - before
	changedHead, newParts, err := exampleManifest(n, 2, n/2)
	if err != nil {
		return ManifestResult{}, err
	}
	for digest := range texts {
		delete(newParts, digest)
	}
	r.DeltaBytes = len(changedHead)
	for _, t := range newParts {
		r.DeltaBytes += len(t)
	}
	start = time.Now()
	if _, err := b.Build(changedHead, newParts); err != nil {
		return ManifestResult{}, err
	}
	r.ChangeMs = ms(time.Since(start))
	runtime.KeepAlive(m)
	return r, nil
}

// exampleManifest returns the head of a manifest of n servers and its parts by
// digest. The server at index draining is draining, none if the index is -1.
func exampleManifest(n, generation, draining int) ([]byte, map[string][]byte, error) {
	parts := []gen.Part{workloadPart(n)}
	var current gen.Part
	size := 0
	for i := range n {
		u := exampleUpstream(i, n)
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
	return encodeManifest(generation, parts)
}

// encodeManifest returns the head of a manifest and its parts by digest.
func encodeManifest(generation int, parts []gen.Part) ([]byte, map[string][]byte, error) {
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

// workloadPart returns a part with one sharded workload and its partition map, for n
// upstreams.
func workloadPart(n int) gen.Part {
	shards := min(maxShards, n)
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

// exampleUpstream returns the i-th of n upstreams of that workload.
func exampleUpstream(i, n int) gen.Upstream {
	return gen.Upstream{
		Address:         fmt.Sprintf("10.%d.%d.%d:7000", i>>16, i>>8&255, i&255),
		Zone:            gen.Name(fmt.Sprintf("zone-%d", i%10)),
		Workload:        "search",
		Shards:          []gen.Name{gen.Name(fmt.Sprintf("s%03d", i%min(maxShards, n)))},
		Slots:           2,
		ConnectionLimit: 60,
	}
}
