// Package roster decides who belongs to the fleet and which roles each VM has.
// It merges the platform's lagging list with what peers say of themselves and
// keeps removed VMs for the list's lag. It holds no lock and reads no clock.
package roster

import (
	"cmp"
	"slices"
	"time"
)

// Lag is how long the platform's list may lag: a VM that left the list counts as
// removed for as long.
const Lag = 30 * time.Second

// MaxMembers bounds the members, removed ones included.
const MaxMembers = 8192

// State says what the fleet knows of a member.
type State int

// States of members.
const (
	// Live: listed, or said hello without being listed yet.
	Live State = iota
	// Leaving: listed as leaving, or said that it leaves.
	Leaving
	// Removed: left the list within the lag.
	Removed
)

// String returns the state's name.
func (s State) String() string { return [...]string{"live", "leaving", "removed"}[s] }

// Member is one VM of the fleet.
type Member struct {
	Name    string
	Zone    string
	Address string
	// Incarnation is empty until the VM said hello.
	Incarnation string
	State       State
	// Listed says that the platform lists the VM now.
	Listed bool
	// UptimeMs is how long the incarnation has been up, in milliseconds; 0 until
	// the VM said hello.
	UptimeMs int64
	// Generation is the manifest generation in its last hello.
	Generation int
	// Since is when this VM first heard of the member.
	Since time.Duration
}

// Listed is one entry of the platform's list.
type Listed struct {
	Name    string
	Zone    string
	Address string
	Leaving bool
}

// Hello is what a VM says of itself.
type Hello struct {
	Name        string
	Zone        string
	Address     string
	Incarnation string
	Uptime      time.Duration
	Generation  int
}

type entry struct {
	Member
	// born is when the incarnation started, on this VM's clock.
	born time.Duration
	// removed is when the VM left the list.
	removed time.Duration
	// heard is when the VM last said hello.
	heard time.Duration
	// leaves names the incarnation that said it leaves, and until when that holds.
	leaves      string
	leavesUntil time.Duration
	// leavingListed says that the platform lists the VM as leaving.
	leavingListed bool
}

// Roster holds the members of the fleet.
type Roster struct {
	entries map[string]*entry
	version uint64
}

// New returns an empty Roster.
func New() *Roster { return &Roster{entries: map[string]*entry{}} }

// List takes the platform's list.
func (r *Roster) List(now time.Duration, vms []Listed) {
	r.expire(now)
	r.version++
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		e := r.entry(now, vm.Name)
		if e == nil {
			continue
		}
		listed[vm.Name] = true
		e.Zone, e.Address = vm.Zone, vm.Address
		e.Listed, e.leavingListed = true, vm.Leaving
	}
	for name, e := range r.entries {
		if e.Listed && !listed[name] {
			e.Listed = false
			e.removed = now
		}
	}
}

// Hello takes what a VM said of itself. A VM that is not listed yet becomes a
// member for the list's lag.
func (r *Roster) Hello(now time.Duration, h Hello) {
	r.expire(now)
	e := r.entry(now, h.Name)
	if e == nil {
		return
	}
	if !e.Listed && h.Address != "" {
		e.Zone, e.Address = h.Zone, h.Address
	}
	if e.Incarnation != h.Incarnation {
		r.version++
	}
	e.heard = now
	e.Generation = h.Generation
	e.Incarnation = h.Incarnation
	e.born = now - h.Uptime
}

// Leaves takes a VM's word that its incarnation leaves, which holds for a while.
func (r *Roster) Leaves(name, incarnation string, until time.Duration) {
	if e, ok := r.entries[name]; ok {
		e.leaves, e.leavesUntil = incarnation, until
		r.version++
	}
}

// Len returns the number of members, those not yet forgotten included.
func (r *Roster) Len() int { return len(r.entries) }

// Version rises with each change but the passing of time.
func (r *Roster) Version() uint64 { return r.version }

// Members returns every member by name: those listed, those that said hello
// within the lag and those that left the list within the lag.
func (r *Roster) Members(now time.Duration) []Member {
	out := make([]Member, 0, len(r.entries))
	for _, e := range r.entries {
		if e.gone(now) {
			continue
		}
		out = append(out, e.member(now))
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Heard says that a connection to a member is open; it keeps a member that
// is not listed yet.
func (r *Roster) Heard(now time.Duration, name string) {
	if e, ok := r.entries[name]; ok {
		e.heard = now
	}
}

// Get returns one member.
func (r *Roster) Get(now time.Duration, name string) (Member, bool) {
	e, ok := r.entries[name]
	if !ok || e.gone(now) {
		return Member{}, false
	}
	return e.member(now), true
}

func (r *Roster) entry(now time.Duration, name string) *entry {
	if e, ok := r.entries[name]; ok {
		return e
	}
	if len(r.entries) >= MaxMembers {
		return nil
	}
	e := &entry{Member: Member{Name: name, Since: now}, removed: now, heard: now - Lag}
	r.entries[name] = e
	return e
}

func (r *Roster) expire(now time.Duration) {
	for name, e := range r.entries {
		if e.gone(now) {
			delete(r.entries, name)
		}
	}
}

func (e *entry) gone(now time.Duration) bool {
	return !e.Listed && now-e.removed >= Lag && now-e.heard >= Lag
}

func (e *entry) member(now time.Duration) Member {
	m := e.Member
	if m.Incarnation != "" {
		m.UptimeMs = (now - e.born).Milliseconds()
	}
	switch {
	case !e.Listed && e.removed > e.Since:
		m.State = Removed
	case e.leavingListed, e.saysLeaving(now):
		m.State = Leaving
	}
	return m
}

// saysLeaving reports whether the VM's word that it leaves holds: a later
// incarnation is not bound by it.
func (e *entry) saysLeaving(now time.Duration) bool {
	return e.leavesUntil > now && (e.Incarnation == "" || e.leaves == e.Incarnation)
}
