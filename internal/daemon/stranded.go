package daemon

import (
	"time"

	"github.com/sardinespindle/sardinespindle/internal/forward"
)

const (
	// strandedPrefix starts the key of the fact by which a VM announces that it reaches no
	// upstream: no other VM gives it work.
	strandedPrefix = "stranded/"
	strandedTTL    = 10 * time.Second
)

// withoutStranded returns the names of the VMs that are not known to reach no upstream, or all if none
// is left.
func (v *fleetView) withoutStranded(names []string) []string {
	return except(names, func(name string) bool { return v.stranded[name] })
}

// setReached announces whether this VM reaches upstreams.
func (f *fleet) setReached(reached bool) {
	f.stranded.set(!reached)
	f.update()
}

// reach returns which VMs reach upstreams.
func (f *fleet) reach() forward.Reach {
	v := f.view.Load()
	return forward.Reach{Reached: !v.stranded[f.self.Name], Others: v.others, ZoneVMs: v.zoneVMs}
}
