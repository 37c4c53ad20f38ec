package delegate

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// minGroupShards is the least mean number of shards in a group. Each group costs a message in
	// both directions, which smaller groups do not earn back.
	minGroupShards = 24
	// minGroupCoverage is the least share of a search's shards with a replica in the zone of the
	// leaves. Below it, many sub-requests cross zones from leaves that do not merge them.
	minGroupCoverage = 0.95
)

// Group is a part of a search's shards and the leaves that own them. One of the leaves searches
// the group.
type Group struct {
	Shards []string
	Leaves []string
}

// Groups divides the shards of a search among the gatherers of a zone. Each shard belongs to
// one group and each gatherer to one, whichever route asks, so that a gatherer holds
// connections to the upstreams of its group only and sees every request to them. coverage is
// the share of the shards with a replica in the zone. It returns nil if the search is better
// run by one VM.
func Groups(shards, gatherers []string, coverage float64) []Group {
	n := min(len(gatherers), len(shards)/minGroupShards)
	if n < 2 || coverage < minGroupCoverage {
		return nil
	}
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
