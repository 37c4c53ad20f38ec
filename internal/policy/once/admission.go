package once

import (
	"maps"
	"slices"
	"time"
)

// Admission decides when a process that has started may vote. A quorum of the current
// voters must first count the process as a voter. Every later quorum then contains a guard
// that counts it, and no claimant computes its quorum without the new voter. In a fleet that
// has no quorum of voters yet, all known VMs must reply instead, after BootWait.
type Admission struct {
	p       Params
	members map[string]bool
	replied map[string]bool
	voters  map[string]bool
}

// NewAdmission starts an admission; members are the VMs known so far.
func NewAdmission(p Params, members []string) *Admission {
	a := &Admission{
		p: p, members: make(map[string]bool),
		replied: make(map[string]bool), voters: make(map[string]bool),
	}
	a.addMembers(members)
	return a
}

// Add records the reply of a VM, which counts the new process from now on. votes says
// whether that VM votes; members are the VMs that it counts.
func (a *Admission) Add(name string, votes bool, members []string) {
	a.replied[name] = true
	if votes {
		a.voters[name] = true
	}
	a.addMembers(members)
}

// Admitted reports whether the new process, with the given uptime, may vote.
func (a *Admission) Admitted(uptime time.Duration) bool {
	if len(a.voters) >= Quorum(len(a.members), a.p.UnknownVoters) {
		return true
	}
	return uptime >= a.p.BootWait && len(a.replied) >= len(a.members)
}

// Members returns the names of all known VMs, in order; the new process must count them
// from now on.
func (a *Admission) Members() []string { return slices.Sorted(maps.Keys(a.members)) }

func (a *Admission) addMembers(members []string) {
	for _, m := range members {
		a.members[m] = true
	}
}
