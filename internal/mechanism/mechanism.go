// Package mechanism names the guarantees' mechanisms that an experiment may turn
// off, to show that a check can fail. Production turns none off.
package mechanism

import "github.com/sardinespindle/sardinespindle/schema/gen/settings"

// Set says which mechanisms are off and which policy is in force. The zero value
// is the current policy with every mechanism on. A Set is immutable.
type Set struct {
	baseline bool
	off      map[settings.ExperimentDisableElem]bool
}

// New returns the set that the settings ask for; e may be nil.
func New(e *settings.Experiment) Set {
	if e == nil {
		return Set{}
	}
	off := make(map[settings.ExperimentDisableElem]bool, len(e.Disable))
	for _, m := range e.Disable {
		off[m] = true
	}
	return Set{baseline: e.Policy == settings.ExperimentPolicyBaseline, off: off}
}

// Baseline reports whether the baseline policy is in force: wait for all, no
// hedge, random replica, no limits.
func (s Set) Baseline() bool { return s.baseline }

// On reports whether a mechanism is on.
func (s Set) On(m settings.ExperimentDisableElem) bool { return !s.off[m] }
