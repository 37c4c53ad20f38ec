package once

import "time"

// View remembers which VMs were seen listed and when last, so that a quorum
// counts every VM that may have voted on a key, also one that has left since.
type View struct {
	max     int
	last    map[string]time.Time
	dropped time.Time
}

// NewView returns an empty view that remembers at most limit names.
func NewView(limit int) *View {
	return &View{max: limit, last: make(map[string]time.Time)}
}

// Observe notes the VMs listed now.
func (v *View) Observe(now time.Time, names []string) {
	for _, n := range names {
		v.last[n] = now
	}
	for len(v.last) > v.max {
		v.dropOldest()
	}
}

// Forget drops the VMs last seen before the given time.
func (v *View) Forget(before time.Time) {
	for n, t := range v.last {
		if t.Before(before) {
			v.drop(n, t)
		}
	}
}

// Members returns how many VMs were listed at any time since the given one. It
// is false where the view has forgotten VMs seen since then.
func (v *View) Members(since time.Time) (int, bool) {
	n := 0
	for _, t := range v.last {
		if !t.Before(since) {
			n++
		}
	}
	return n, v.dropped.Before(since)
}

func (v *View) dropOldest() {
	var name string
	var oldest time.Time
	for n, t := range v.last {
		if name == "" || t.Before(oldest) || t.Equal(oldest) && n < name {
			name, oldest = n, t
		}
	}
	v.drop(name, oldest)
}

func (v *View) drop(name string, t time.Time) {
	delete(v.last, name)
	if t.After(v.dropped) {
		v.dropped = t
	}
}
