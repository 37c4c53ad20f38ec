package daemon

import (
	"slices"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/clock"
	"github.com/sardinespindle/sardinespindle/internal/forward"
)

const (
	// strandedPrefix starts the key of the fact by which a VM announces that it reaches no
	// upstream: no other VM gives it work. It announces that again when half of strandedTTL is left.
	strandedPrefix = "stranded/"
	strandedTTL    = 10 * time.Second
	strandedValue  = "yes"
)

// withoutStranded returns the names of the VMs that are not known to reach no upstream, or all if none
// is left.
func (v *fleetView) withoutStranded(names []string) []string {
	out := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return v.stranded[name] })
	if len(out) == 0 {
		return names
	}
	return out
}

// strandedVMs returns the VMs that announced that they reach no upstream, this one by what it knows.
func (f *fleet) strandedVMs() map[string]bool {
	out := map[string]bool{}
	for _, fact := range f.node.Facts().List(strandedPrefix) {
		if fact.Value == strandedValue && fact.Key == strandedPrefix+fact.VM() {
			out[fact.VM()] = true
		}
	}
	f.strandedMu.Lock()
	defer f.strandedMu.Unlock()
	out[f.self.Name] = f.stranded
	return out
}

// setReached announces whether this VM reaches upstreams.
func (f *fleet) setReached(reached bool) {
	f.strandedMu.Lock()
	f.stranded, f.strandedUntil = !reached, 0
	f.strandedMu.Unlock()
	if reached {
		f.node.Facts().Put(strandedPrefix+f.self.Name, "", strandedTTL)
	} else {
		f.announceStranded()
	}
	f.update()
}

// announceStranded announces that this VM reaches no upstream, if it does not and has not announced
// that lately.
func (f *fleet) announceStranded() {
	now := clock.Boot()
	f.strandedMu.Lock()
	due := f.stranded && f.strandedUntil-now < strandedTTL/2
	if due {
		f.strandedUntil = now + strandedTTL
	}
	f.strandedMu.Unlock()
	if due {
		f.node.Facts().Put(strandedPrefix+f.self.Name, strandedValue, strandedTTL)
	}
}

// reach returns which VMs reach upstreams.
func (f *fleet) reach() forward.Reach {
	v := f.view.Load()
	return forward.Reach{Reached: !v.stranded[f.self.Name], Others: v.others, ZoneVMs: v.zoneVMs}
}
