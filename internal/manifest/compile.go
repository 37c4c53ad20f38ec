package manifest

import (
	"fmt"
	"slices"
	"sort"

	"github.com/sardinespindle/sardinespindle/internal/validate"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
)

// maxHash is the highest hash value; a partition map covers 0 to maxHash.
const maxHash = 1<<32 - 1

// compiler holds a manifest being built and the problems found so far.
type compiler struct {
	m        *Manifest
	problems validate.Problems
}

func (c *compiler) addProblem(key, format string, args ...any) {
	c.problems = append(c.problems, validate.Problem{Key: key, Reason: fmt.Sprintf(format, args...)})
}

func (c *compiler) addWorkloads(p *gen.Part) {
	for _, w := range p.Workloads {
		key := "workload " + string(w.Name)
		if _, dup := c.m.Workloads[string(w.Name)]; dup {
			c.addProblem(key, "declared twice")
			continue
		}
		if w.Kind == gen.WorkloadKindSharded && !w.Idempotent {
			c.addProblem(key, "a sharded workload must be idempotent")
		}
		c.m.Workloads[string(w.Name)] = &Workload{
			Workload: w,
			Maps:     make(map[int]*PartitionMap),
			Replicas: make(map[string][]*gen.Upstream),
		}
	}
}

func (c *compiler) addMaps(p *gen.Part) {
	for _, pm := range p.PartitionMaps {
		key := fmt.Sprintf("partition map %s/%d", pm.Workload, pm.Version)
		w, ok := c.m.Workloads[string(pm.Workload)]
		if !ok {
			c.addProblem(key, "unknown workload")
			continue
		}
		if !w.Sharded() {
			c.addProblem(key, "the workload is not sharded")
			continue
		}
		if _, dup := w.Maps[pm.Version]; dup {
			c.addProblem(key, "declared twice")
			continue
		}
		c.checkRanges(key, pm.Shards)
		compiled := &PartitionMap{PartitionMap: pm, ByName: make(map[string]*gen.Shard, len(pm.Shards))}
		for i := range compiled.Shards {
			s := &compiled.Shards[i]
			if _, dup := compiled.ByName[string(s.Name)]; dup {
				c.addProblem(key, "shard %s declared twice", s.Name)
			}
			compiled.ByName[string(s.Name)] = s
		}
		w.Maps[pm.Version] = compiled
		if w.NewestMap == nil || pm.Version > w.NewestMap.Version {
			w.NewestMap = compiled
		}
	}
}

// checkRanges checks that the shards cover 0 to maxHash without a gap or an overlap.
func (c *compiler) checkRanges(key string, shards []gen.Shard) {
	sorted := slices.Clone(shards)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].First < sorted[j].First })
	next := 0
	for _, s := range sorted {
		if s.First > s.Last {
			c.addProblem(key, "shard %s: first exceeds last", s.Name)
			return
		}
		if s.First > next {
			c.addProblem(key, "gap from %d to %d before shard %s", next, s.First-1, s.Name)
		}
		if s.First < next {
			c.addProblem(key, "shard %s overlaps the one before it", s.Name)
		}
		next = s.Last + 1
	}
	if next <= maxHash {
		c.addProblem(key, "gap from %d to %d", next, maxHash)
	}
}

func (c *compiler) addUpstreams(p *gen.Part) {
	for i := range p.Upstreams {
		u := &p.Upstreams[i]
		key := "upstream " + u.Address
		if _, dup := c.m.Upstreams[u.Address]; dup {
			c.addProblem(key, "address declared twice")
			continue
		}
		c.m.Upstreams[u.Address] = u
		w, ok := c.m.Workloads[string(u.Workload)]
		if !ok {
			c.addProblem(key, "unknown workload %s", u.Workload)
			continue
		}
		if u.Slots > u.ConnectionLimit {
			c.addProblem(key, "%d slots cannot be used over %d connections", u.Slots, u.ConnectionLimit)
		}
		w.Upstreams = append(w.Upstreams, u)
		c.addShards(key, w, u)
	}
}

func (c *compiler) addShards(key string, w *Workload, u *gen.Upstream) {
	if w.Sharded() && len(u.Shards) == 0 {
		c.addProblem(key, "serves no shard of the sharded workload %s", u.Workload)
	}
	if !w.Sharded() && len(u.Shards) > 0 {
		c.addProblem(key, "names shards of the single workload %s", u.Workload)
		return
	}
	for _, s := range u.Shards {
		if !w.hasShard(string(s)) {
			c.addProblem(key, "shard %s stands in no partition map of %s", s, u.Workload)
			continue
		}
		w.Replicas[string(s)] = append(w.Replicas[string(s)], u)
	}
}

func (w *Workload) hasShard(name string) bool {
	for _, m := range w.Maps {
		if _, ok := m.ByName[name]; ok {
			return true
		}
	}
	return false
}

func (c *compiler) addCallers(p *gen.Part) {
	for _, caller := range p.Callers {
		key := "caller " + string(caller.Name)
		if other, dup := c.m.Callers[string(caller.TokenSha256)]; dup {
			c.addProblem(key, "same token as caller %s", other.Name)
			continue
		}
		compiled := &Caller{Caller: caller, ByWorkload: make(map[string]*gen.Grant, len(caller.Grants))}
		for i := range compiled.Grants {
			c.addGrant(key, compiled, &compiled.Grants[i])
		}
		c.m.Callers[string(caller.TokenSha256)] = compiled
	}
}

func (c *compiler) addGrant(key string, caller *Caller, g *gen.Grant) {
	w, ok := c.m.Workloads[string(g.Workload)]
	if !ok {
		c.addProblem(key, "grant for unknown workload %s", g.Workload)
		return
	}
	if _, dup := caller.ByWorkload[string(g.Workload)]; dup {
		c.addProblem(key, "two grants for workload %s", g.Workload)
	}
	if !w.Sharded() && g.Trade != gen.GrantTradeComplete {
		c.addProblem(key, "workload %s is single: only trade complete is possible", g.Workload)
	}
	if g.Trade == gen.GrantTradeComplete && g.MinimumCoverage > 0 && g.MinimumCoverage < 1 {
		c.addProblem(key, "workload %s: trade complete contradicts minimum_coverage %v", g.Workload, g.MinimumCoverage)
	}
	caller.ByWorkload[string(g.Workload)] = g
}

// checkAcrossParts checks what is known only after all parts were added: unique names of
// callers, a partition map for each sharded workload, and an upstream for each workload and
// each shard of its newest map. It sorts the problems.
func (c *compiler) checkAcrossParts() {
	names := make(map[string]bool)
	for _, caller := range c.m.Callers {
		if names[string(caller.Name)] {
			c.addProblem("caller "+string(caller.Name), "declared twice")
		}
		names[string(caller.Name)] = true
	}
	for name, w := range c.m.Workloads {
		key := "workload " + name
		if len(w.Upstreams) == 0 {
			c.addProblem(key, "has no upstream")
		}
		if !w.Sharded() {
			continue
		}
		if w.NewestMap == nil {
			c.addProblem(key, "has no partition map")
			continue
		}
		for _, s := range w.NewestMap.Shards {
			if len(w.Replicas[string(s.Name)]) == 0 {
				c.addProblem(key, "shard %s of map %d has no upstream", s.Name, w.NewestMap.Version)
			}
		}
	}
	sort.Slice(c.problems, func(i, j int) bool { return c.problems[i].String() < c.problems[j].String() })
}
