// Package snapshot chooses the snapshot that a search requests and answers with: the one
// that the most shards can serve, estimated from what each replica served lately. Memory
// is bounded for each shard, whatever replicas report. It reads no clock and takes no locks;
// the owner guards each Shard, Tally and Score.
package snapshot

import (
	"slices"
	"time"

	"github.com/sardinespindle/sardinespindle/schema/gen/upstream"
)

// ID identifies a snapshot by index version and partition map version.
type ID = upstream.Snapshot

// Newer reports whether a is newer than b: by index version, then by map version.
func Newer(a, b ID) bool {
	if a.Index != b.Index {
		return a.Index > b.Index
	}
	return a.Map > b.Map
}

// Knowledge says whether a replica or shard can serve a snapshot.
type Knowledge int

// Values of Knowledge, ordered: the knowledge of a shard is the largest of its replicas'.
const (
	Lacks Knowledge = iota
	Unknown
	Holds
)

const (
	observationsPerReplica = 4
	maxReplicas            = 8
	holdsTTL               = 10 * time.Second
	lacksTTL               = time.Second
)

// observation records whether a replica held a snapshot at a time. set is false for an
// unused slot.
type observation struct {
	id    ID
	at    time.Duration
	set   bool
	holds bool
}

// replica holds the latest observations of one replica; at is the time of its last reply.
type replica struct {
	address      string
	at           time.Duration
	observations [observationsPerReplica]observation
}

// Shard holds the latest observations of a shard's replicas, at most maxReplicas of them:
// a further one evicts the replica that has not replied for longest. The zero value knows
// nothing. All times must be measured from one fixed start.
type Shard struct {
	replicas []replica
}

// Record records that a replica served got on a request for want. want is nil if the
// request was for the newest snapshot; the replica then holds none newer than got.
func (s *Shard) Record(address string, want *ID, got ID, now time.Duration) {
	r := s.replica(address)
	r.at = now
	r.record(got, true, now)
	if want != nil && *want != got {
		r.record(*want, false, now)
	}
	if want == nil {
		r.lacksNewer(got, now)
	}
}

// Knowledge returns whether the replica at address can serve snapshot id.
func (s *Shard) Knowledge(address string, id ID, now time.Duration) Knowledge {
	for i := range s.replicas {
		if s.replicas[i].address == address {
			return s.replicas[i].knowledge(id, now)
		}
	}
	return Unknown
}

// AddServed adds to the tally, once each, the snapshots that any replica of the shard served
// lately.
func (s *Shard) AddServed(t *Tally, now time.Duration) {
	var served [maxReplicas * observationsPerReplica]ID
	n := 0
	for i := range s.replicas {
		for _, o := range s.replicas[i].observations {
			if o.holds && o.valid(now) && !slices.Contains(served[:n], o.id) {
				served[n] = o.id
				n++
			}
		}
	}
	for _, id := range served[:n] {
		t.Add(id)
	}
}

// replica returns the entry of a replica, which it adds if necessary.
func (s *Shard) replica(address string) *replica {
	for i := range s.replicas {
		if s.replicas[i].address == address {
			return &s.replicas[i]
		}
	}
	if len(s.replicas) < maxReplicas {
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

// record stores an observation. It replaces the one of the same snapshot; if there is none,
// it takes an unused slot or replaces the oldest one.
func (r *replica) record(id ID, holds bool, now time.Duration) {
	slot := &r.observations[0]
	for i := range r.observations {
		o := &r.observations[i]
		if o.set && o.id == id {
			slot = o
			break
		}
		if !o.set || slot.set && o.at < slot.at {
			slot = o
		}
	}
	*slot = observation{id: id, at: now, set: true, holds: holds}
}

// lacksNewer marks the observed snapshots newer than got as not held by the replica.
func (r *replica) lacksNewer(got ID, now time.Duration) {
	for i := range r.observations {
		o := &r.observations[i]
		if o.set && Newer(o.id, got) {
			o.holds = false
			o.at = now
		}
	}
}

func (r *replica) knowledge(id ID, now time.Duration) Knowledge {
	for _, o := range r.observations {
		if o.id != id || !o.valid(now) {
			continue
		}
		if o.holds {
			return Holds
		}
		return Lacks
	}
	return Unknown
}

func (o observation) valid(now time.Duration) bool {
	if !o.set {
		return false
	}
	if o.holds {
		return now-o.at < holdsTTL
	}
	return now-o.at < lacksTTL
}
