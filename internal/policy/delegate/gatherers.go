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

// Home returns the availability zone whose gatherers a search goes to: near holds the
// share of the search's shards with a replica, by zone. The own zone is preferred unless
// another one is near many more; false where there is no gatherer.
func Home(own string, near map[string]float64, gatherers map[string][]string) (zone string, ok bool) {
	best := math.Inf(-1)
	for z, names := range gatherers {
		if len(names) == 0 {
			continue
		}
		score := near[z]
		if z == own {
			score += worthwhile
		}
		if score > best || score == best && z < zone {
			zone, best, ok = z, score, true
		}
	}
	return zone, ok
}
