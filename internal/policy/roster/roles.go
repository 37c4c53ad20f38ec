package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Numbers of neighbours that a VM chooses; they do not grow with the fleet.
const (
	NeighboursInZone = 4
	NeighboursAcross = 2
	neighboursOnRing = 1
	// MaxNeighbours is the largest number of neighbours that one VM chooses.
	MaxNeighbours = NeighboursInZone + NeighboursAcross + neighboursOnRing
)

// Rank orders members for a key by rendezvous hashing: VMs with the same members compute
// the same order, and adding or removing a member does not reorder the others.
func Rank(members []Member, key string) []Member {
	type scored struct {
		score uint64
		Member
	}
	list := make([]scored, len(members))
	for i, m := range members {
		list[i] = scored{score(key, m.Name), m}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.Name, b.Name))
	})
	out := make([]Member, len(list))
	for i := range list {
		out[i] = list[i].Member
	}
	return out
}

// Top returns the first k live members in the rendezvous order of a key.
func Top(members []Member, key string, k int) []Member {
	ranked := Rank(filter(members, isLive), key)
	return ranked[:min(k, len(ranked))]
}

// Guards returns the names of the first max members in the rendezvous order of a key. The
// members' states don't matter, so that the set stays the same while VMs leave, and any
// two majorities of it overlap.
func Guards(members []Member, key string, max int) []string {
	ranked := Rank(members, key)
	names := make([]string, min(max, len(ranked)))
	for i := range names {
		names[i] = ranked[i].Name
	}
	return names
}

// Neighbours returns the members that a VM exchanges facts with: some in its zone, some in
// other zones, and its successor on a ring of all members, so that every VM is chosen by
// at least one other. Removed members are left out.
func Neighbours(members []Member, self, zone string) []Member {
	var inZone, otherZones topK
	next := successor(members, self)
	for _, m := range members {
		switch {
		case m.Name == self || m.State == Removed || m.Name == next.Name:
		case m.Zone == zone:
			inZone.offer(m, "neighbour/"+self, NeighboursInZone)
		default:
			otherZones.offer(m, "neighbour/"+self, NeighboursAcross)
		}
	}
	chosen := slices.Concat(inZone.members, otherZones.members)
	if next.Name != "" {
		chosen = append(chosen, next)
	}
	return chosen
}

// successor returns the member that follows a VM on the ring of the names' hashes; the
// zero Member if there is no other.
func successor(members []Member, self string) Member {
	const ring = "ring"
	own := score(ring, self)
	var next Member
	var distance uint64
	for _, m := range members {
		if m.Name == self || m.State == Removed {
			continue
		}
		// The subtraction wraps around the ring.
		if d := score(ring, m.Name) - own; next.Name == "" || d < distance {
			next, distance = m, d
		}
	}
	return next
}

// topK keeps the members with the highest scores without sorting all of them.
type topK struct {
	members []Member
	scores  []uint64
}

func (n *topK) offer(m Member, key string, limit int) {
	s := score(key, m.Name)
	i, _ := slices.BinarySearchFunc(n.scores, s, func(a, b uint64) int { return cmp.Compare(b, a) })
	if i >= limit {
		return
	}
	n.members = slices.Insert(n.members, i, m)
	n.scores = slices.Insert(n.scores, i, s)
	if len(n.members) > limit {
		n.members, n.scores = n.members[:limit], n.scores[:limit]
	}
}

// takeoverStep is how much longer each further candidate waits before it replaces a missing
// relay, so that it learns of an earlier candidate that has done so.
const takeoverStep = 1500 * time.Millisecond

// RelayRole decides whether a VM is a relay of its zone: one of Count VMs that watch the
// platform for the zone and forward its configuration.
type RelayRole struct {
	Self  string
	Zone  string
	Count int
	// Grace is how long a new member counts as a relay before it announced itself as one.
	Grace time.Duration
	// Working holds the VMs that announced themselves as relays and whose announcement has
	// not expired.
	Working map[string]bool
	// Relay and MissingSince are the last decision: whether the VM is a relay, and since
	// when the zone has had fewer than Count other relays; 0 if it has enough.
	Relay        bool
	MissingSince time.Duration
}

// Decide returns the role at now. The first Count live members of the zone in rendezvous
// order are relays. While one of them does not work as a relay, the next in order replaces
// it, and stops once enough earlier members work.
func (r RelayRole) Decide(now time.Duration, members []Member) RelayRole {
	ranked := Rank(filter(members, func(m Member) bool { return isLive(m) && m.Zone == r.Zone }), "relay/"+r.Zone)
	working, before := 0, 0
	rank := -1
	for i, m := range ranked {
		if m.Name == r.Self {
			rank = i
			continue
		}
		joining := i < r.Count && now-m.Since < r.Grace
		if !joining && !r.Working[m.Name] {
			continue
		}
		working++
		if rank < 0 {
			before++
		}
	}
	return r.step(now, rank, working, before)
}

// step decides by the VM's rank in the rendezvous order, -1 if the VM is not live. working
// is the number of other relays that work, before the number of those with a lower rank.
func (r RelayRole) step(now time.Duration, rank, working, before int) RelayRole {
	if working >= r.Count {
		r.MissingSince = 0
	} else if r.MissingSince == 0 {
		r.MissingSince = now
	}
	switch {
	case rank < 0 || before >= r.Count:
		r.Relay = false
	case rank < r.Count:
		r.Relay = true
	case working < r.Count && now-r.MissingSince >= time.Duration(rank-r.Count+1)*takeoverStep:
		r.Relay = true
	}
	return r
}

// Contains reports whether members contains the named VM.
func Contains(members []Member, name string) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.Name == name })
}

func isLive(m Member) bool { return m.State == Live }

func filter(members []Member, matches func(Member) bool) []Member {
	var out []Member
	for _, m := range members {
		if matches(m) {
			out = append(out, m)
		}
	}
	return out
}

func score(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}
