package once

import (
	"slices"
	"time"
)

// View remembers which VMs may vote: those seen listed, those that joined, and
// those gone without a word until they can't run any more. A quorum counts every
// one that may have voted on a key, also one that has left since its birth.
type View struct {
	p       Params
	limit   int
	seen    map[string]sighting
	dropped time.Time
}

type sighting struct {
	last        time.Time
	incarnation string
	left        bool
}

// NewView returns an empty view that remembers at most limit names.
func NewView(p Params, limit int) *View {
	return &View{p: p, limit: limit, seen: make(map[string]sighting)}
}

// Observe notes the VMs listed or heard of now. One that said that it left stays
// so, however long the list goes on to name it.
func (v *View) Observe(now time.Time, names []string) {
	for _, n := range names {
		s := v.seen[n]
		if s.left {
			continue
		}
		s.last = now
		v.seen[n] = s
	}
	for len(v.seen) > v.limit {
		v.dropOldest()
	}
}

// Join notes a process that wants to vote.
func (v *View) Join(now time.Time, name, incarnation string) {
	v.seen[name] = sighting{last: now, incarnation: incarnation}
	v.Observe(now, nil)
}

// Leave notes that a process has stopped voting for good. A late word of an
// earlier process changes nothing.
func (v *View) Leave(now time.Time, name, incarnation string) {
	s, ok := v.seen[name]
	if !ok || s.left || s.incarnation != "" && s.incarnation != incarnation {
		return
	}
	v.seen[name] = sighting{last: now, incarnation: incarnation, left: true}
}

// Members returns the VMs that may vote, or may have voted, on a key born at the
// given time, ordered by name. It is false where the view has forgotten some.
func (v *View) Members(born time.Time) ([]string, bool) {
	names := make([]string, 0, len(v.seen))
	for n, s := range v.seen {
		if !s.last.Before(v.since(s, born)) {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	return names, v.dropped.Before(born.Add(-v.p.Linger))
}

// Present returns the VMs that may vote on keys yet to be born, ordered by name:
// those a newcomer must count.
func (v *View) Present(now time.Time) []string {
	names := make([]string, 0, len(v.seen))
	for n, s := range v.seen {
		if !s.left && !s.last.Before(now.Add(-v.p.Linger)) {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	return names
}

// since returns the time from which a sighting counts for a key. A VM that left
// voted on no key born later than its leaving, but for the skews.
func (v *View) since(s sighting, born time.Time) time.Time {
	if s.left {
		return born.Add(-v.p.FutureSkew - v.p.ClockSkew)
	}
	return born.Add(-v.p.Linger)
}

// Forget drops the VMs last seen before the given time.
func (v *View) Forget(before time.Time) {
	for n, s := range v.seen {
		if s.last.Before(before) {
			v.drop(n, s.last)
		}
	}
}

func (v *View) dropOldest() {
	var name string
	var oldest time.Time
	for n, s := range v.seen {
		if name == "" || s.last.Before(oldest) || s.last.Equal(oldest) && n < name {
			name, oldest = n, s.last
		}
	}
	v.drop(name, oldest)
}

func (v *View) drop(name string, t time.Time) {
	delete(v.seen, name)
	if t.After(v.dropped) {
		v.dropped = t
	}
}
