package delegate

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// VM describes a member of the fleet that may run searches.
type VM struct {
	Name string
	Zone string
	// Capacity is in processor cores.
	Capacity float64
	// ByVersion says that the VM runs a delegated request by the version of the configuration that
	// the request names. VMs of earlier builds do not.
	ByVersion bool
	// KnowsEvacuations says that the VM sends nothing to evacuated zones. VMs of earlier builds ignore
	// evacuations.
	KnowsEvacuations bool
}

// RunsSearches reports whether the VM may be given searches by others; evacuating says that a zone is
// evacuated.
func (vm VM) RunsSearches(evacuating bool) bool { return vm.ByVersion && vm.MayReceive(evacuating) }

// MayReceive reports whether the VM may be given any request by others.
func (vm VM) MayReceive(evacuating bool) bool { return vm.KnowsEvacuations || !evacuating }

const (
	// minConnections is the number of connections to each upstream that a gatherer
	// needs: with fewer, a search waits for earlier searches of the same VM.
	minConnections = 3
	// connectionReserve is kept free, as a share of the connections that the gatherers
	// use: while rosters differ, VMs choose different gatherers, so there are more of them.
	connectionReserve = 0.25
	// minCapacityRatio is the share of the largest VM's capacity below which a VM is not
	// chosen when not all VMs can gather.
	minCapacityRatio = 0.5
)

// Gatherers returns the VMs that run searches, where an upstream accepts limit
// connections in total. If the limit allows every VM minConnections and connectionReserve,
// all gather. Otherwise the VMs of largest capacity do: at least one, at most as many as the
// limit allows, and none below minCapacityRatio. partial says that the caller may know only
// some of the VMs; then none below minCapacityRatio gathers either, since the VMs that are not
// known yet would count against the limit.
func Gatherers(vms []VM, limit int, partial bool) []VM {
	maxGatherers := int(float64(limit) / (minConnections * (1 + connectionReserve)))
	if len(vms) <= maxGatherers && !partial {
		return vms
	}
	ranked := Rank(vms)
	n := 0
	for n < len(ranked) && n < max(maxGatherers, 1) && ranked[n].Capacity >= minCapacityRatio*ranked[0].Capacity {
		n++
	}
	return ranked[:n]
}

// ChooseGatherers returns the Gatherers of vms, or, if none of them is in reaching, those and the
// Gatherers of reaching, the VMs that reach upstreams. A gatherer that reaches none keeps its place: it
// may hold connections that still count against the limit, and is soon back.
func ChooseGatherers(vms, reaching []VM, limit int, partial bool) []VM {
	gatherers := Gatherers(vms, limit, partial)
	if slices.ContainsFunc(gatherers, func(vm VM) bool { return slices.Contains(reaching, vm) }) {
		return slices.Clone(gatherers)
	}
	return append(slices.Clone(gatherers), Gatherers(reaching, limit, partial)...)
}

// ShowsAble reports whether the VMs known so far, which may be few, show that self gathers: it is one of
// the gatherers, and there are VMs of less than minCapacityRatio of its capacity, which leave that to it.
// Where all known VMs are alike, those that are not known may be too many to gather all.
func ShowsAble(self VM, known, gatherers []VM) bool {
	gathers := slices.ContainsFunc(gatherers, func(vm VM) bool { return vm.Name == self.Name })
	return gathers && slices.ContainsFunc(known, func(vm VM) bool { return vm.Capacity < minCapacityRatio*self.Capacity })
}

// AddByVersion adds gatherers while VMs of earlier builds, which get no searches from others, are replaced: of
// those in reaching that run searches by version, as many gather as in a fleet of such VMs only. At
// least one does, so that the first one that is replaced has where to run its searches. While a zone is
// evacuated, which evacuating says, only VMs that know evacuations get searches.
func AddByVersion(gatherers, vms, reaching []VM, evacuating bool) []VM {
	if !slices.ContainsFunc(vms, func(vm VM) bool { return !vm.RunsSearches(evacuating) }) {
		return gatherers
	}
	able := Rank(filter(reaching, func(vm VM) bool { return vm.RunsSearches(evacuating) }))
	present := len(filter(gatherers, func(vm VM) bool { return slices.Contains(able, vm) }))
	missing := (len(gatherers)*len(able)+len(vms)-1)/len(vms) - present
	for _, vm := range able {
		if missing > 0 && !slices.Contains(gatherers, vm) {
			gatherers = append(slices.Clone(gatherers), vm)
			missing--
		}
	}
	return gatherers
}

// filter returns the VMs for which keep is true.
func filter(vms []VM, keep func(VM) bool) []VM {
	return slices.DeleteFunc(slices.Clone(vms), func(vm VM) bool { return !keep(vm) })
}

// Rank returns the VMs by descending capacity. Equal capacities are ordered by a hash of
// the name, so that every VM computes the same order.
func Rank(vms []VM) []VM {
	ranked := slices.Clone(vms)
	slices.SortFunc(ranked, func(a, b VM) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(xxhash.Sum64String(b.Name), xxhash.Sum64String(a.Name)))
	})
	return ranked
}

// nearTolerance is the share of the shards by which zones may differ and still count as
// equally near: about the effect of replacing one of ten servers.
const nearTolerance = 0.1

// ChooseZone returns the availability zone whose gatherers run a search; ok is false if no zone
// has a gatherer. near holds the share of the search's shards with a replica, by zone. The
// own zone is preferred unless another is near many more of the shards. One of the equally
// near zones is drawn at random: otherwise all searches from zones without replicas would
// load the replicas of a single zone. random returns uniform numbers in [0, 1).
func ChooseZone(own string, near map[string]float64, gatherers map[string][]string, random func() float64) (zone string, ok bool) {
	score := func(z string) float64 {
		if z == own {
			return near[z] + ownZoneBonus
		}
		return near[z]
	}
	best := math.Inf(-1)
	for z, names := range gatherers {
		if len(names) > 0 {
			best = max(best, score(z))
		}
	}
	var nearest []string
	for z, names := range gatherers {
		if len(names) > 0 && score(z) >= best-nearTolerance {
			nearest = append(nearest, z)
		}
	}
	if len(nearest) == 0 {
		return "", false
	}
	slices.Sort(nearest)
	return nearest[int(random()*float64(len(nearest)))], true
}

// minPartShards is the least number of shards that are delegated together.
// Delegation leaves less time for hedges, so it pays off only for a wide fan-out.
const minPartShards = 12

// Split divides the shards of a search between this VM and gatherers of other zones.
// This VM queries the shards with a replica in its own zone, those without a replica in
// any zone that has gatherers, and the rest where a zone would get fewer than
// minPartShards. The others go to few zones, chosen greedily by the number of shards.
// near holds the zones of each shard's replicas.
func Split(own string, shards []string, near map[string][]string, gatherers map[string][]string) (here []string, byZone map[string][]string) {
	here, rest := partition(shards, near, own)
	byZone = map[string][]string{}
	for len(rest) > 0 {
		zone, count := nearestZone(rest, near, gatherers)
		if count < minPartShards {
			return append(here, rest...), byZone
		}
		byZone[zone], rest = partition(rest, near, zone)
	}
	return here, byZone
}

// partition divides shards into those with a replica in a zone and the others.
func partition(shards []string, near map[string][]string, zone string) (inZone, rest []string) {
	for _, shard := range shards {
		if slices.Contains(near[shard], zone) {
			inZone = append(inZone, shard)
		} else {
			rest = append(rest, shard)
		}
	}
	return inZone, rest
}

// nearestZone returns the zone with gatherers that holds replicas of the most shards; of
// equal ones, the first by name.
func nearestZone(shards []string, near, gatherers map[string][]string) (zone string, count int) {
	counts := map[string]int{}
	for _, shard := range shards {
		for _, z := range near[shard] {
			if len(gatherers[z]) > 0 {
				counts[z]++
			}
		}
	}
	for z, n := range counts {
		if n > count || n == count && z < zone {
			zone, count = z, n
		}
	}
	return zone, count
}

const (
	// maxMissedShare is the average share of missed shards from which searches are no
	// longer split: one part of a split search cannot make up for shards that another
	// part misses.
	maxMissedShare = 0.015
	// missedWeight is the weight of one search in that moving average.
	missedWeight = 0.1
)

// SearchCoverage tracks the share of shards that searches miss, as a moving average, and
// allows searches to be split while that is low. The zero value allows splitting.
type SearchCoverage struct{ missedShare float64 }

// Record records how many of its shards a search covered; a late search counts as having
// missed all of them.
func (c *SearchCoverage) Record(covered, shards int, late bool) {
	missed := 1.0
	if !late && shards > 0 {
		missed = 1 - float64(covered)/float64(shards)
	}
	c.missedShare += missedWeight * (missed - c.missedShare)
}

// AllowsSplit reports whether the average missed share is below maxMissedShare.
func (c *SearchCoverage) AllowsSplit() bool { return c.missedShare < maxMissedShare }
