// Package manifest checks published manifests, compiles them for lookup, compares and
// digests them. A Manifest has passed every check and is immutable, so any number of
// goroutines may read it without a lock. A Builder is safe for concurrent use.
package manifest

import (
	"time"

	gen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
)

// Manifest is one valid generation, compiled for lookup.
type Manifest struct {
	// Generation rises with each commit.
	Generation int
	// Digest is the SHA-256 of the head as published, in hexadecimal.
	Digest string
	// Workloads is keyed by name.
	Workloads map[string]*Workload
	// Callers is keyed by the SHA-256 of the token, in hexadecimal.
	Callers map[string]*Caller
	// Upstreams is keyed by address.
	Upstreams map[string]*gen.Upstream
}

// Workload is one workload with its partition maps and upstreams.
type Workload struct {
	gen.Workload
	// Maps holds the partition maps by version; empty for a single workload.
	Maps map[int]*PartitionMap
	// NewestMap is the partition map of the highest version; nil for a single workload.
	NewestMap *PartitionMap
	// Upstreams lists every upstream of the workload, ordered by address.
	Upstreams []*gen.Upstream
	// Replicas lists the upstreams of each shard, ordered by address; keyed by the
	// shard's name.
	Replicas map[string][]*gen.Upstream
}

// PartitionMap is one version of a workload's partition map.
type PartitionMap struct {
	gen.PartitionMap
	// ByName is keyed by the shard's name.
	ByName map[string]*gen.Shard
}

// Caller is one caller with its grants.
type Caller struct {
	gen.Caller
	// ByWorkload is keyed by the workload's name.
	ByWorkload map[string]*gen.Grant
}

// MaxDeadline returns the longest deadline that the grant allows for a request.
func MaxDeadline(g *gen.Grant) time.Duration {
	return time.Duration(g.DeadlineMs) * time.Millisecond
}

// ResendWindow returns how long the outcome of a non-idempotent request is kept for
// callers that resend it.
func (w *Workload) ResendWindow() time.Duration {
	return time.Duration(w.ResendWindowMs) * time.Millisecond
}

// Sharded reports whether a request is split into one sub-request for each shard.
func (w *Workload) Sharded() bool {
	return w.Kind == gen.WorkloadKindSharded
}
