// Package manifest holds the manifest in force: how it is checked, compiled for
// lookup, compared and digested. A Manifest is immutable once compiled, so any
// number of goroutines may read it without a lock.
package manifest

import (
	"time"

	gen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
)

// Manifest is one accepted generation, compiled for lookup.
type Manifest struct {
	// Generation rises with each commit.
	Generation int
	// Digest is the SHA-256 of the head as published, in hexadecimal.
	Digest string
	// Workloads by name.
	Workloads map[string]*Workload
	// Callers by the SHA-256 of their token, in hexadecimal.
	Callers map[string]*Caller
	// Upstreams by address.
	Upstreams map[string]*gen.Upstream
}

// Workload is one workload with its partition maps and upstreams.
type Workload struct {
	gen.Workload
	// Maps holds the partition maps by version; empty for a single workload.
	Maps map[int]*PartitionMap
	// Newest is the partition map of the highest version; nil for a single workload.
	Newest *PartitionMap
	// Upstreams lists every upstream of the workload, ordered by address.
	Upstreams []*gen.Upstream
	// Replicas lists the upstreams of each shard, by shard name, ordered by address.
	Replicas map[string][]*gen.Upstream
}

// PartitionMap is one version of a workload's partition map.
type PartitionMap struct {
	gen.PartitionMap
	// ByName finds a shard by its name.
	ByName map[string]*gen.Shard
}

// Caller is one caller with its grants.
type Caller struct {
	gen.Caller
	// ByWorkload finds a grant by the workload's name.
	ByWorkload map[string]*gen.Grant
}

// Deadline returns the longest time to an answer.
func Deadline(g *gen.Grant) time.Duration {
	return time.Duration(g.DeadlineMs) * time.Millisecond
}

// ResendWindow returns how long outcomes of non-idempotent requests are kept.
func (w *Workload) ResendWindow() time.Duration {
	return time.Duration(w.ResendWindowMs) * time.Millisecond
}

// Sharded reports whether every shard answers a part of a request.
func (w *Workload) Sharded() bool {
	return w.Kind == gen.WorkloadKindSharded
}
