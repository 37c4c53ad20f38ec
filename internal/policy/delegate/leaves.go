package delegate

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// minGroupShards is the least mean number of shards in a group. Each group costs a message in
// both directions, which smaller groups do not earn back.
const minGroupShards = 24

// Group is a part of a search's shards and the leaves that own them. One of the leaves searches
// the group.
type Group struct {
	Shards []string
	Leaves []string
}

// Groups divides the shards of a search among gatherers. Shards go to gatherers of their own
// zones, as few zones as possible, so that sub-requests stay within a zone and only merged parts
// cross zones. Within a zone, each shard belongs to one group and each gatherer to one,
// whichever search asks: a gatherer holds connections to the upstreams of its group and sees
// most requests to them. near holds the zones of each shard's replicas. It returns nil if the
// search is better run by one VM.
func Groups(own string, shards []string, near, gatherers map[string][]string) []Group {
	if len(shards) < 2*minGroupShards {
		return nil
	}
	var out []Group
	for zone, part := range assignZones(own, shards, near, gatherers) {
		out = append(out, divide(part, gatherers[zone])...)
	}
	if len(out) < 2 {
		return nil
	}
	return out
}

// assignZones assigns each shard to a zone with gatherers: to the own zone if a replica is
// there, else to few others. Shards left over, too few for a part of their own, are assigned to
// the zone with the most shards.
func assignZones(own string, shards []string, near, gatherers map[string][]string) map[string][]string {
	out := map[string][]string{}
	rest := shards
	zone := own
	if len(gatherers[own]) == 0 {
		zone, _ = nearestZone(rest, near, gatherers)
	}
	for zone != "" {
		var part []string
		if part, rest = partition(rest, near, zone); len(part) > 0 {
			out[zone] = part
		}
		var count int
		if zone, count = nearestZone(rest, near, gatherers); count < minPartShards {
			break
		}
	}
	if len(rest) > 0 && len(out) > 0 {
		most := slices.MaxFunc(slices.Sorted(maps.Keys(out)), func(a, b string) int { return cmp.Compare(len(out[a]), len(out[b])) })
		out[most] = append(out[most], rest...)
	}
	return out
}

// divide divides shards among the gatherers of one zone.
func divide(shards, gatherers []string) []Group {
	n := max(1, min(len(gatherers), len(shards)/minGroupShards))
	groups := make([]Group, n)
	ranked := slices.SortedFunc(slices.Values(gatherers), func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	for i, name := range ranked {
		groups[i%n].Leaves = append(groups[i%n].Leaves, name)
	}
	for _, shard := range shards {
		i := xxhash.Sum64String(shard) % uint64(n)
		groups[i].Shards = append(groups[i].Shards, shard)
	}
	return slices.DeleteFunc(groups, func(g Group) bool { return len(g.Shards) == 0 })
}
