package once

import (
	"maps"
	"slices"
	"time"
)

// Admission decides when a process that has started may vote. A quorum of those
// that vote must count it first: then every later quorum holds a guard that
// counts it, and no quorum is taken without knowing of it. In a fleet where no
// quorum votes yet, all VMs known must answer instead, after BootWait.
type Admission struct {
	p        Params
	members  map[string]bool
	answered map[string]bool
	voters   map[string]bool
}

// NewAdmission returns a round of admission; members are the VMs known so far.
func NewAdmission(p Params, members []string) *Admission {
	a := &Admission{
		p: p, members: make(map[string]bool),
		answered: make(map[string]bool), voters: make(map[string]bool),
	}
	a.know(members)
	return a
}

// Add notes the answer of a VM: it counts the newcomer from now on.
func (a *Admission) Add(name string, votes bool, members []string) {
	a.answered[name] = true
	if votes {
		a.voters[name] = true
	}
	a.know(members)
}

// Admitted reports whether the newcomer, up for the given time, may vote.
func (a *Admission) Admitted(uptime time.Duration) bool {
	if len(a.voters) >= Quorum(len(a.members), a.p.Drift) {
		return true
	}
	return uptime >= a.p.BootWait && len(a.answered) >= len(a.members)
}

// Members returns all VMs known, which the newcomer counts from now on.
func (a *Admission) Members() []string { return slices.Sorted(maps.Keys(a.members)) }

func (a *Admission) know(members []string) {
	for _, m := range members {
		a.members[m] = true
	}
}
