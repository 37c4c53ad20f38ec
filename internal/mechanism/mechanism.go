// Package mechanism tells which mechanisms an experiment has switched off. Experiments
// switch off a mechanism behind a guarantee to show that the check of that guarantee
// can fail; production switches off none. A Set is safe for concurrent use.
package mechanism

import "github.com/sardinespindle/sardinespindle/schema/gen/settings"

// Set holds which mechanisms are off and which policy is in force. The zero value is the
// current policy with every mechanism on. A Set is immutable.
type Set struct {
	baseline bool
	off      map[settings.ExperimentDisableElem]bool
}

// New returns the Set for an experiment; nil stands for no experiment.
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

// Baseline reports whether the baseline policy is in force, against which the current one
// is measured: wait for all shards, no hedges, random replicas, no limits.
func (s Set) Baseline() bool { return s.baseline }

// On reports whether a mechanism is on.
func (s Set) On(m settings.ExperimentDisableElem) bool { return !s.off[m] }
