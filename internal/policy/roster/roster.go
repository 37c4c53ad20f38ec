// Package roster decides which VMs are members of the fleet and which roles each has. It
// merges the platform's VM list, which may lag, with the hellos of peers, and keeps VMs
// that left the list while the lag lasts. VMs with the same members choose the same roles.
// It takes no locks and reads no clock; the owner guards each Roster.
package roster

import (
	"cmp"
	"slices"
	"time"
)

// Lag is how long the platform's list may lag behind the fleet. A VM that is not listed
// stays a member for this long after it left the list or was last seen.
const Lag = 30 * time.Second

// MaxMembers is the largest number of members, removed ones included. VMs beyond it are
// ignored.
const MaxMembers = 8192

// State is the state of a member.
type State int

// States of members.
const (
	// Live: listed, or not listed yet and known by its hello.
	Live State = iota
	// Leaving: listed as leaving, or announced that it leaves.
	Leaving
	// Removed: was listed before and is not any more.
	Removed
)

// String returns the state's name.
func (s State) String() string { return [...]string{"live", "leaving", "removed"}[s] }

// Member describes one VM of the fleet.
type Member struct {
	Name    string
	Zone    string
	Address string
	// Incarnation is empty until the VM's first hello.
	Incarnation string
	State       State
	// Listed says that the platform's last list contains the VM.
	Listed bool
	// UptimeMs is the uptime of the incarnation; 0 until the VM's first hello.
	UptimeMs int64
	// Generation is the manifest generation in the VM's last hello.
	Generation int
	// Since is when this VM first learned of the member.
	Since time.Duration
}

// Listed is one entry of the platform's list.
type Listed struct {
	Name    string
	Zone    string
	Address string
	Leaving bool
}

// Hello is what a VM reports of itself when a connection opens.
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
	// startedAt is the start of the incarnation on this VM's clock.
	startedAt time.Duration
	// removedAt is when the VM left the list; Since if it was never listed.
	removedAt time.Duration
	// lastSeen is when the last hello arrived or a connection was last reported open.
	lastSeen time.Duration
	// leavingIncarnation announced that it leaves; the announcement expires at
	// leavingUntil.
	leavingIncarnation string
	leavingUntil       time.Duration
	// listedLeaving is the leaving state in the platform's list.
	listedLeaving bool
}

// Roster holds the members of the fleet as one VM knows them.
type Roster struct {
	entries map[string]*entry
	version uint64
}

// New returns an empty Roster.
func New() *Roster { return &Roster{entries: map[string]*entry{}} }

// SetListed records the platform's current list. VMs that it no longer contains become Removed.
func (r *Roster) SetListed(now time.Duration, vms []Listed) {
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
		e.Listed, e.listedLeaving = true, vm.Leaving
	}
	for name, e := range r.entries {
		if e.Listed && !listed[name] {
			e.Listed = false
			e.removedAt = now
		}
	}
}

// Hello records a VM's hello. A VM that is not listed becomes or stays a member for Lag; if
// its hello has an address, the member's zone and address are taken from the hello.
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
	e.lastSeen = now
	e.Generation = h.Generation
	e.Incarnation = h.Incarnation
	e.startedAt = now - h.Uptime
}

// SetLeaving records a member's announcement that its incarnation leaves, valid until the given
// time. An announcement of an unknown VM is ignored.
func (r *Roster) SetLeaving(name, incarnation string, until time.Duration) {
	if e, ok := r.entries[name]; ok {
		e.leavingIncarnation, e.leavingUntil = incarnation, until
		r.version++
	}
}

// Len returns the number of entries, expired ones that are not yet deleted included.
func (r *Roster) Len() int { return len(r.entries) }

// Version rises with each list, new incarnation and announcement that a VM leaves. It does
// not rise with expiry, nor with a hello that changes another field.
func (r *Roster) Version() uint64 { return r.version }

// Members returns all members, ordered by name: those listed, and those seen, or removed
// from the list, within the last Lag.
func (r *Roster) Members(now time.Duration) []Member {
	out := make([]Member, 0, len(r.entries))
	for _, e := range r.entries {
		if e.expired(now) {
			continue
		}
		out = append(out, e.member(now))
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Seen records that a connection to the VM is open, which keeps it a member while it is
// not listed.
func (r *Roster) Seen(now time.Duration, name string) {
	if e, ok := r.entries[name]; ok {
		e.lastSeen = now
	}
}

// Get returns one member; false if the VM is unknown or has expired.
func (r *Roster) Get(now time.Duration, name string) (Member, bool) {
	e, ok := r.entries[name]
	if !ok || e.expired(now) {
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
	e := &entry{Member: Member{Name: name, Since: now}, removedAt: now, lastSeen: now - Lag}
	r.entries[name] = e
	return e
}

func (r *Roster) expire(now time.Duration) {
	for name, e := range r.entries {
		if e.expired(now) {
			delete(r.entries, name)
		}
	}
}

func (e *entry) expired(now time.Duration) bool {
	return !e.Listed && now-e.removedAt >= Lag && now-e.lastSeen >= Lag
}

func (e *entry) member(now time.Duration) Member {
	m := e.Member
	if m.Incarnation != "" {
		m.UptimeMs = (now - e.startedAt).Milliseconds()
	}
	switch {
	case !e.Listed && e.removedAt > e.Since:
		m.State = Removed
	case e.listedLeaving, e.leavingAnnounced(now):
		m.State = Leaving
	}
	return m
}

// leavingAnnounced reports whether a valid announcement says that the VM leaves. An
// announcement does not apply to a later incarnation.
func (e *entry) leavingAnnounced(now time.Duration) bool {
	return e.leavingUntil > now && (e.Incarnation == "" || e.leavingIncarnation == e.Incarnation)
}
