package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Neighbour counts: the degree of a VM does not grow with the fleet.
const (
	NeighboursInZone = 4
	NeighboursAcross = 2
	neighboursRing   = 1
	// MaxNeighbours bounds the neighbours that one VM chooses.
	MaxNeighbours = NeighboursInZone + NeighboursAcross + neighboursRing
)

// Rank orders members for a key by rendezvous hashing: each VM that sees the same
// members computes the same order, and a member that comes or goes moves no other.
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

// Top returns the first k live members for a key.
func Top(members []Member, key string, k int) []Member {
	ranked := Rank(filter(members, isLive), key)
	return ranked[:min(k, len(ranked))]
}

// Guards returns the names of up to max members that look after a key, whatever
// their state: a majority of them meets any other.
func Guards(members []Member, key string, max int) []string {
	ranked := Rank(members, key)
	names := make([]string, min(max, len(ranked)))
	for i := range names {
		names[i] = ranked[i].Name
	}
	return names
}

// Neighbours returns the members that a VM exchanges facts with: the next one on a
// ring, so that each VM is chosen by one at least, some in its zone and some across
// zones.
func Neighbours(members []Member, self, zone string) []Member {
	var near, far nearest
	next := successor(members, self)
	for _, m := range members {
		switch {
		case m.Name == self || m.State == Removed || m.Name == next.Name:
		case m.Zone == zone:
			near.offer(m, "neighbour/"+self, NeighboursInZone)
		default:
			far.offer(m, "neighbour/"+self, NeighboursAcross)
		}
	}
	chosen := slices.Concat(near.members, far.members)
	if next.Name != "" {
		chosen = append(chosen, next)
	}
	return chosen
}

// successor returns the member that follows a VM on the ring of all names' hashes.
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

// nearest keeps the members of the highest scores, without sorting all.
type nearest struct {
	members []Member
	scores  []uint64
}

func (n *nearest) offer(m Member, key string, k int) {
	s := score(key, m.Name)
	i, _ := slices.BinarySearchFunc(n.scores, s, func(a, b uint64) int { return cmp.Compare(b, a) })
	if i >= k {
		return
	}
	n.members = slices.Insert(n.members, i, m)
	n.scores = slices.Insert(n.scores, i, s)
	if len(n.members) > k {
		n.members, n.scores = n.members[:k], n.scores[:k]
	}
}

// takeOverStep is the time between two candidates stepping in for a missing relay,
// so that only one of them does where its word reaches the rest.
const takeOverStep = 1500 * time.Millisecond

// RelayRole decides whether a VM is a relay of its zone: one of a few VMs that
// watch the platform for the others.
type RelayRole struct {
	Self  string
	Zone  string
	Count int
	// Grace is how long a new member may take to be heard of as a relay.
	Grace time.Duration
	// Works holds the relays of the zone that were lately heard of.
	Works map[string]bool
	// Relay and ShortSince are the last decision; ShortSince is 0 where nothing is
	// missing.
	Relay      bool
	ShortSince time.Duration
}

// Decide returns the role at a time. The first Count live members of the zone in
// rendezvous order are relays; while one of them is not heard of, the next in order
// steps in, and steps back once it is.
func (r RelayRole) Decide(now time.Duration, members []Member) RelayRole {
	ranked := Rank(filter(members, func(m Member) bool { return isLive(m) && m.Zone == r.Zone }), "relay/"+r.Zone)
	working, before := 0, 0
	place := -1
	for i, m := range ranked {
		if m.Name == r.Self {
			place = i
			continue
		}
		fresh := i < r.Count && now-m.Since < r.Grace
		if !fresh && !r.Works[m.Name] {
			continue
		}
		working++
		if place < 0 {
			before++
		}
	}
	return r.step(now, place, working, before)
}

func (r RelayRole) step(now time.Duration, place, working, before int) RelayRole {
	if working >= r.Count {
		r.ShortSince = 0
	} else if r.ShortSince == 0 {
		r.ShortSince = now
	}
	switch {
	case place < 0 || before >= r.Count:
		r.Relay = false
	case place < r.Count:
		r.Relay = true
	case working < r.Count && now-r.ShortSince >= time.Duration(place-r.Count+1)*takeOverStep:
		r.Relay = true
	}
	return r
}

// Has reports whether a VM is among members.
func Has(members []Member, name string) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.Name == name })
}

func isLive(m Member) bool { return m.State == Live }

func filter(members []Member, keep func(Member) bool) []Member {
	var out []Member
	for _, m := range members {
		if keep(m) {
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
