package delegate

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// VM is a member of the fleet that may gather.
type VM struct {
	Name string
	Zone string
	// Capacity in processor cores.
	Capacity float64
}

const (
	// enoughConnections is how many connections to each upstream a VM needs to gather:
	// below, a search waits for its own earlier ones.
	enoughConnections = 3
	// margin is the part of the connections that is left for VMs whose views differ.
	margin = 0.25
	// muchLess is the part of the largest capacity below which a VM does not gather as
	// long as others do.
	muchLess = 0.5
)

// Gatherers returns the VMs that run searches, where an upstream accepts limit
// connections from all of them. As long as each VM can hold enough, all gather; else
// the ones of the most capacity do, as many as the connections allow.
func Gatherers(vms []VM, limit int) []VM {
	most := int(float64(limit) / (enoughConnections * (1 + margin)))
	if len(vms) <= most {
		return vms
	}
	ranked := Rank(vms)
	largest := ranked[0].Capacity
	n := 0
	for n < len(ranked) && n < max(most, 1) && ranked[n].Capacity >= muchLess*largest {
		n++
	}
	return ranked[:n]
}

// Rank orders VMs by capacity, and those of one capacity by a hash that all agree on.
func Rank(vms []VM) []VM {
	ranked := slices.Clone(vms)
	slices.SortFunc(ranked, func(a, b VM) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(xxhash.Sum64String(b.Name), xxhash.Sum64String(a.Name)))
	})
	return ranked
}

// Sources returns the VMs from which one VM learns what is published, those of its own zone
// first, and whether it is among the readers, who read the platform's store. Each VM asks a
// reader itself: another level on the way lost the time in which a configuration has to be
// in force, where the readers had to change first.
func Sources(self VM, vms []VM, readers int) (names []string, reads bool) {
	ranked := Rank(vms)
	for _, vm := range ranked[:min(len(ranked), readers)] {
		switch {
		case vm.Name == self.Name:
			reads = true
		case vm.Zone == self.Zone:
			names = append([]string{vm.Name}, names...)
		default:
			names = append(names, vm.Name)
		}
	}
	return names, reads
}

// alike is the share of the shards by which zones may differ and count as equally near:
// one server of ten that is being replaced.
const alike = 0.1

// Home returns the availability zone whose gatherers a search goes to: near holds the
// share of the search's shards with a replica, by zone. The own zone is preferred unless
// another one is near many more; false where there is no gatherer. Of zones that are
// equally near one is drawn: the searches of zones without replicas would all load the
// replicas of one zone. random returns uniform numbers in [0, 1).
func Home(own string, near map[string]float64, gatherers map[string][]string, random func() float64) (zone string, ok bool) {
	score := func(z string) float64 {
		if z == own {
			return near[z] + worthwhile
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
		if len(names) > 0 && score(z) >= best-alike {
			nearest = append(nearest, z)
		}
	}
	if len(nearest) == 0 {
		return "", false
	}
	slices.Sort(nearest)
	return nearest[int(random()*float64(len(nearest)))], true
}

// leastPart is the least number of shards that are handed over together. The hop takes
// time from hedges; only a wide fan-out saves more than that.
const leastPart = 12

// Split divides the shards of a search between this VM and gatherers of other zones: the
// shards with a replica in the own zone, and those that no gatherer is near, are asked
// from here. The others go by zone, to as few zones as will do. near holds the zones of
// a shard's replicas.
func Split(own string, shards []string, near map[string][]string, gatherers map[string][]string) (here []string, byZone map[string][]string) {
	var rest []string
	for _, shard := range shards {
		if slices.Contains(near[shard], own) {
			here = append(here, shard)
		} else {
			rest = append(rest, shard)
		}
	}
	byZone = map[string][]string{}
	for len(rest) > 0 {
		zone, count := widest(rest, near, gatherers)
		if count < leastPart {
			return append(here, rest...), byZone
		}
		var left []string
		for _, shard := range rest {
			if slices.Contains(near[shard], zone) {
				byZone[zone] = append(byZone[zone], shard)
			} else {
				left = append(left, shard)
			}
		}
		rest = left
	}
	return here, byZone
}

// widest returns the zone with gatherers that is near the most of the shards; the first
// by name of several.
func widest(shards []string, near, gatherers map[string][]string) (zone string, count int) {
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
	// calmShare is the share of parts that searches may miss for them to be split: a part
	// of a split search cannot make up for what another part misses.
	calmShare = 0.015
	// calmWeight is the weight of one search in that share.
	calmWeight = 0.1
)

// Calm follows the share of parts that searches miss. The zero value is calm.
type Calm struct{ missing float64 }

// Ended takes in a search of some shards; a late one counts as if it had missed all.
func (c *Calm) Ended(covered, shards int, late bool) {
	missed := 1.0
	if !late && shards > 0 {
		missed = 1 - float64(covered)/float64(shards)
	}
	c.missing += calmWeight * (missed - c.missing)
}

// Holds reports whether searches may be split.
func (c *Calm) Holds() bool { return c.missing < calmShare }
