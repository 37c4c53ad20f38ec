package daemon

import (
	"slices"

	"github.com/sardinespindle/sardinespindle/internal/catalog"
)

// maxLoggedZones bounds the zones in one log line. Any item under the key of evacuations counts as one.
const maxLoggedZones = 16

// logEvacuations logs a change of the evacuated zones, and each of these that has no upstreams when it is
// first found so.
func (f *Forwarder) logEvacuations(before, c *catalog.Catalog, change catalog.Change) {
	var earlier []string
	if before != nil {
		earlier = before.Evacuated
	}
	if !slices.Equal(earlier, c.Evacuated) {
		f.log.Info("evacuation changed", "zones", firstZones(c.Evacuated), "count", len(c.Evacuated), "era", change.Era,
			"revision", change.Revision)
	}
	unknown := slices.DeleteFunc(slices.Clone(change.EmptyZones), func(zone string) bool { return slices.Contains(f.emptyZones, zone) })
	if len(unknown) > 0 {
		f.log.Warn("evacuated zone has no upstreams", "zones", firstZones(unknown), "count", len(unknown), "revision", change.Revision)
	}
	f.emptyZones = change.EmptyZones
}

func firstZones(zones []string) []string { return zones[:min(len(zones), maxLoggedZones)] }

// evacuatedGauge returns the number of evacuated zones.
func (f *Forwarder) evacuatedGauge() float64 {
	if c := f.catalog.Load(); c != nil {
		return float64(len(c.Evacuated))
	}
	return 0
}
