// Package coverage decides what an answer covers. Its one job is to collect the
// parts of a search by snapshot and to report how much of one snapshot they are,
// against the partition map of that very snapshot. It has no locks.
package coverage

import (
	"maps"
	"slices"

	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/policy/snapshot"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
	"github.com/sardinespindle/sardinespindle/schema/gen/upstream"
)

// MaxSnapshots bounds the snapshots that one Merge tells apart.
const MaxSnapshots = 8

// Part is one shard's whole part of one snapshot.
type Part struct {
	Shard     string
	Snapshot  snapshot.ID
	Held      int // documents that the shard holds
	Documents []upstream.Document
	// Signature and Records are what an upstream replied to a request that was passed
	// through: its signature and a body of records of fixed size.
	Signature string
	Records   []byte
}

// Merge collects parts. The zero value is empty.
type Merge struct {
	sets []set
}

type set struct {
	id    snapshot.ID
	parts map[string]Part
}

// Add takes in a part of a snapshot with partition map pm, nil where that is not
// known. Of two parts of one shard and snapshot the fuller stays. It returns false
// where the part changes nothing or its shard is not of the map.
func (m *Merge) Add(pm *manifest.PartitionMap, p Part) bool {
	if pm == nil || pm.ByName[p.Shard] == nil {
		return false
	}
	s := m.find(p.Snapshot)
	if s == nil {
		if len(m.sets) == MaxSnapshots {
			return false
		}
		m.sets = append(m.sets, set{id: p.Snapshot, parts: make(map[string]Part, len(pm.Shards))})
		s = &m.sets[len(m.sets)-1]
	}
	if old, ok := s.parts[p.Shard]; ok && old.Held >= p.Held {
		return false
	}
	s.parts[p.Shard] = p
	return true
}

// Has reports whether the part of a shard is there.
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

// Parts returns the parts of a snapshot, in no order.
func (m *Merge) Parts(id snapshot.ID) []Part {
	s := m.find(id)
	if s == nil {
		return nil
	}
	return slices.Collect(maps.Values(s.parts))
}

// Snapshots appends to ids each snapshot of which a part is there.
func (m *Merge) Snapshots(ids []snapshot.ID) []snapshot.ID {
	for i := range m.sets {
		ids = append(ids, m.sets[i].id)
	}
	return ids
}

// Report says what the parts of snapshot id cover of its partition map. held tells
// the documents of a shard that is not covered, where known.
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

// Unchecked reports the parts as if no shard were missing. It serves experiments
// that turn the check off.
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

func (m *Merge) find(id snapshot.ID) *set {
	for i := range m.sets {
		if m.sets[i].id == id {
			return &m.sets[i]
		}
	}
	return nil
}

func (s *set) part(shard string) (Part, bool) {
	if s == nil {
		return Part{}, false
	}
	p, ok := s.parts[shard]
	return p, ok
}
