// Package coverage computes what an answer covers. It collects the parts of a search by
// snapshot and reports the coverage of one snapshot against that snapshot's own partition
// map; parts of different snapshots are never mixed. Merge and ShardCounts are not safe for
// concurrent use.
package coverage

import (
	"maps"
	"slices"

	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/policy/snapshot"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
	"github.com/sardinespindle/sardinespindle/schema/gen/upstream"
)

// MaxSnapshots bounds the snapshots of one Merge; parts of further ones are ignored.
const MaxSnapshots = 8

// Part is one shard's complete contribution to a search in one snapshot.
type Part struct {
	Shard     string
	Snapshot  snapshot.ID
	Held      int // number of documents that the shard holds
	Documents []upstream.Document
	// Signature and Records are set for a pass-through request: the signature of its reply,
	// and the reply's body of records of fixed size.
	Signature string
	Records   []byte
}

// Merge collects the parts of one search. The zero value is empty.
type Merge struct {
	snapshots []snapshotParts
}

type snapshotParts struct {
	id    snapshot.ID
	parts map[string]Part
}

// Add adds a part of a snapshot with partition map pm, which is nil if unknown. Of two
// parts of one shard and snapshot, the one that holds more documents stays. It returns
// false if the part was not added: the map is unknown or lacks the part's shard, the stored
// part holds at least as many documents, or m has parts of MaxSnapshots other snapshots.
func (m *Merge) Add(pm *manifest.PartitionMap, p Part) bool {
	if pm == nil || pm.ByName[p.Shard] == nil {
		return false
	}
	s := m.find(p.Snapshot)
	if s == nil {
		if len(m.snapshots) == MaxSnapshots {
			return false
		}
		m.snapshots = append(m.snapshots, snapshotParts{id: p.Snapshot, parts: make(map[string]Part, len(pm.Shards))})
		s = &m.snapshots[len(m.snapshots)-1]
	}
	if old, ok := s.parts[p.Shard]; ok && old.Held >= p.Held {
		return false
	}
	s.parts[p.Shard] = p
	return true
}

// Has reports whether a shard has a part in a snapshot.
func (m *Merge) Has(id snapshot.ID, shard string) bool {
	s := m.find(id)
	if s == nil {
		return false
	}
	_, ok := s.parts[shard]
	return ok
}

// Count returns the number of parts of a snapshot.
func (m *Merge) Count(id snapshot.ID) int {
	s := m.find(id)
	if s == nil {
		return 0
	}
	return len(s.parts)
}

// Parts returns the parts of a snapshot in unspecified order.
func (m *Merge) Parts(id snapshot.ID) []Part {
	s := m.find(id)
	if s == nil {
		return nil
	}
	return slices.Collect(maps.Values(s.parts))
}

// Snapshots appends to ids each snapshot that has a part.
func (m *Merge) Snapshots(ids []snapshot.ID) []snapshot.ID {
	for i := range m.snapshots {
		ids = append(ids, m.snapshots[i].id)
	}
	return ids
}

// Report returns the coverage of snapshot id: which shards of its partition map pm have a part.
// held returns how many documents an uncovered shard holds, and whether that is known.
func (m *Merge) Report(id snapshot.ID, pm *manifest.PartitionMap, held func(shard string) (int, bool)) caller.Coverage {
	c := caller.Coverage{ShardsTotal: len(pm.Shards), Missing: []string{}}
	s := m.find(id)
	total, known := 0, true
	for i := range pm.Shards {
		name := string(pm.Shards[i].Name)
		if p, ok := s.part(name); ok {
			c.ShardsCovered++
			c.DocumentsCovered += p.Held
			continue
		}
		c.Missing = append(c.Missing, name)
		n, ok := held(name)
		total += n
		known = known && ok
	}
	c.Complete = c.ShardsCovered == c.ShardsTotal
	if known {
		total += c.DocumentsCovered
		c.DocumentsTotal = &total
	}
	return c
}

// Unchecked returns the coverage of snapshot id as if no shard were missing, for
// experiments that switch the coverage mechanism off.
func (m *Merge) Unchecked(id snapshot.ID) caller.Coverage {
	c := caller.Coverage{Missing: []string{}, Complete: true}
	if s := m.find(id); s != nil {
		for _, p := range s.parts {
			c.DocumentsCovered += p.Held
		}
		c.ShardsCovered = len(s.parts)
		c.ShardsTotal = len(s.parts)
	}
	return c
}

func (m *Merge) find(id snapshot.ID) *snapshotParts {
	for i := range m.snapshots {
		if m.snapshots[i].id == id {
			return &m.snapshots[i]
		}
	}
	return nil
}

func (s *snapshotParts) part(shard string) (Part, bool) {
	if s == nil {
		return Part{}, false
	}
	p, ok := s.parts[shard]
	return p, ok
}
