// Package snapshot decides which snapshot a search asks for and answers with. Its
// one job is to know which replica lately served which snapshot and to choose the
// one that most shards can serve. It has no locks; its caller guards each Shard.
package snapshot

import (
	"slices"
	"time"

	"github.com/sardinespindle/sardinespindle/schema/gen/upstream"
)

// ID names a snapshot: index version and partition map version.
type ID = upstream.Snapshot

// Newer reports whether a is newer than b.
func Newer(a, b ID) bool {
	if a.Index != b.Index {
		return a.Index > b.Index
	}
	return a.Map > b.Map
}

// Knowledge is what is known of a replica or shard and one snapshot.
type Knowledge int

// Kinds of knowledge, from worst to best.
const (
	Lacks Knowledge = iota
	Unknown
	Holds
)

const (
	marksPerReplica  = 4
	replicasPerShard = 8
	holdsFor         = 10 * time.Second
	lacksFor         = time.Second
)

type mark struct {
	id    ID
	at    time.Duration
	set   bool
	holds bool
}

// replica is what one replica said lately.
type replica struct {
	address string
	at      time.Duration
	marks   [marksPerReplica]mark
}

// Shard is what the replicas of one shard said lately. The zero value knows nothing.
// Times are measured from any fixed start.
type Shard struct {
	replicas []replica
}

// Note records that a replica asked for want (nil for its newest) served got.
func (s *Shard) Note(address string, want *ID, got ID, now time.Duration) {
	r := s.replica(address)
	r.at = now
	r.put(got, true, now)
	if want != nil && *want != got {
		r.put(*want, false, now)
	}
	if want == nil {
		r.dropNewer(got, now)
	}
}

// Knows returns what is known of one replica and snapshot id.
func (s *Shard) Knows(address string, id ID, now time.Duration) Knowledge {
	for i := range s.replicas {
		if s.replicas[i].address == address {
			return s.replicas[i].knows(id, now)
		}
	}
	return Unknown
}

// Served adds to the tally each snapshot that a replica lately served, once.
func (s *Shard) Served(t *Tally, now time.Duration) {
	var mine [replicasPerShard * marksPerReplica]ID
	n := 0
	for i := range s.replicas {
		for _, m := range s.replicas[i].marks {
			if m.holds && m.fresh(now) && !slices.Contains(mine[:n], m.id) {
				mine[n] = m.id
				n++
			}
		}
	}
	for _, id := range mine[:n] {
		t.Add(id)
	}
}

func (s *Shard) replica(address string) *replica {
	for i := range s.replicas {
		if s.replicas[i].address == address {
			return &s.replicas[i]
		}
	}
	if len(s.replicas) < replicasPerShard {
		s.replicas = append(s.replicas, replica{address: address})
		return &s.replicas[len(s.replicas)-1]
	}
	oldest := &s.replicas[0]
	for i := range s.replicas {
		if s.replicas[i].at < oldest.at {
			oldest = &s.replicas[i]
		}
	}
	*oldest = replica{address: address}
	return oldest
}

func (r *replica) put(id ID, holds bool, now time.Duration) {
	slot := &r.marks[0]
	for i := range r.marks {
		m := &r.marks[i]
		if m.set && m.id == id {
			slot = m
			break
		}
		if !m.set || slot.set && m.at < slot.at {
			slot = m
		}
	}
	*slot = mark{id: id, at: now, set: true, holds: holds}
}

// dropNewer notes that a replica asked for its newest snapshot has none newer than got.
func (r *replica) dropNewer(got ID, now time.Duration) {
	for i := range r.marks {
		m := &r.marks[i]
		if m.set && Newer(m.id, got) {
			m.holds = false
			m.at = now
		}
	}
}

func (r *replica) knows(id ID, now time.Duration) Knowledge {
	for _, m := range r.marks {
		if m.id != id || !m.fresh(now) {
			continue
		}
		if m.holds {
			return Holds
		}
		return Lacks
	}
	return Unknown
}

func (m mark) fresh(now time.Duration) bool {
	if !m.set {
		return false
	}
	if m.holds {
		return now-m.at < holdsFor
	}
	return now-m.at < lacksFor
}
