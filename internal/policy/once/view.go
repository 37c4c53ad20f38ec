package once

import (
	"slices"
	"time"
)

// View holds the VMs that may vote: those listed, those that joined, and, for AbsentTTL,
// those that disappeared without a Leave. A quorum counts every VM that may have voted on a key,
// including those that left after its birth.
type View struct {
	p             Params
	limit         int
	seen          map[string]sighting
	latestDropped time.Time
}

// sighting is when a VM was last listed, joined or left, and the incarnation that last
// joined or left; empty if none did.
type sighting struct {
	lastSeen    time.Time
	incarnation string
	left        bool
}

// NewView returns an empty View of at most limit names; a further name evicts the one seen
// least recently.
func NewView(p Params, limit int) *View {
	return &View{p: p, limit: limit, seen: make(map[string]sighting)}
}

// Observe records the VMs that are members now. A VM that left counts as left until it
// joins again, however long the platform still lists it.
func (v *View) Observe(now time.Time, names []string) {
	for _, n := range names {
		s := v.seen[n]
		if s.left {
			continue
		}
		s.lastSeen = now
		v.seen[n] = s
	}
	for len(v.seen) > v.limit {
		v.dropOldest()
	}
}

// Join records a process that asks to vote.
func (v *View) Join(now time.Time, name, incarnation string) {
	v.seen[name] = sighting{lastSeen: now, incarnation: incarnation}
	v.Observe(now, nil)
}

// Leave records that a process has stopped voting for good. A delayed message of an earlier
// process of the VM changes nothing.
func (v *View) Leave(now time.Time, name, incarnation string) {
	s, ok := v.seen[name]
	if !ok || s.left || s.incarnation != "" && s.incarnation != incarnation {
		return
	}
	v.seen[name] = sighting{lastSeen: now, incarnation: incarnation, left: true}
}

// Members returns the VMs that may vote, or may have voted, on a key born at the given time,
// ordered by name. It returns false if the view may have dropped some of them.
func (v *View) Members(born time.Time) ([]string, bool) {
	names := make([]string, 0, len(v.seen))
	for n, s := range v.seen {
		if !s.lastSeen.Before(v.countedFrom(s, born)) {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	return names, v.latestDropped.Before(born.Add(-v.p.AbsentTTL))
}

// Present returns the VMs that may vote on keys born from now on, ordered by name. A
// process that asks to vote must count them.
func (v *View) Present(now time.Time) []string {
	names := make([]string, 0, len(v.seen))
	for n, s := range v.seen {
		if !s.left && !s.lastSeen.Before(now.Add(-v.p.AbsentTTL)) {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	return names
}

// countedFrom returns the earliest lastSeen with which a VM counts as a voter on a key. A VM
// that left has voted on no key born after it left, apart from the skews.
func (v *View) countedFrom(s sighting, born time.Time) time.Time {
	if s.left {
		return born.Add(-v.p.FutureSkew - v.p.ClockSkew)
	}
	return born.Add(-v.p.AbsentTTL)
}

// DropBefore drops the VMs last seen before the given time. Members then returns false for keys
// that the dropped VMs may have voted on.
func (v *View) DropBefore(before time.Time) {
	for n, s := range v.seen {
		if s.lastSeen.Before(before) {
			v.drop(n, s.lastSeen)
		}
	}
}

func (v *View) dropOldest() {
	var name string
	var oldest time.Time
	for n, s := range v.seen {
		if name == "" || s.lastSeen.Before(oldest) || s.lastSeen.Equal(oldest) && n < name {
			name, oldest = n, s.lastSeen
		}
	}
	v.drop(name, oldest)
}

func (v *View) drop(name string, t time.Time) {
	delete(v.seen, name)
	if t.After(v.latestDropped) {
		v.latestDropped = t
	}
}
