// Package catalog keeps what the platform publishes of routes, services and upstreams:
// it mirrors the items of the platform's store, from the store itself or from another
// VM, and compiles them for lookup. Revisions never go back within a process. The
// mirror has one lock; a compiled Catalog is immutable.
package catalog

import (
	"maps"
	"slices"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/policy/route"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
)

// Config is one version of the operators' configuration.
type Config struct {
	Version  int
	Routes   []*route.Route
	Services []Service
	Limits   Limits
}

// Service is a set of upstreams that serve the same requests.
type Service struct {
	Name string
	// ConnectionLimit is the number of connections that one upstream accepts from all
	// VMs together.
	ConnectionLimit int
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Entry is what one upstream says of itself.
type Entry struct {
	Identity string
	Service  string
	Address  string
	Zone     string
	Slots    int
	Draining bool
	// Warming is how much longer the upstream is slow after its start.
	Warming time.Duration
	// Born is when the upstream started, in Unix milliseconds; 0 where not told.
	Born int64
	// Revision of the item's last change.
	Revision int64
}

// Catalog is what is in force, compiled for lookup.
type Catalog struct {
	Config   *Config
	Table    *route.Table
	Manifest *manifest.Manifest
	// Searches holds, by route name, the workload of each sharded route, whose partition
	// map names the services of its shards.
	Searches map[string]*manifest.Workload
	// ShardLimits holds, for each service that is a shard, the connections that one of its
	// upstreams accepts.
	ShardLimits map[string]int
	// ShardZones holds, for each service, the availability zones of its upstreams.
	ShardZones map[string][]string
	// Near holds, by name of a sharded route and by availability zone, the share of its
	// shards that have a replica there.
	Near map[string]map[string]float64
}

// mapVersion is the version of the one partition map of a sharded route.
const mapVersion = 1

// compile builds the lookup tables. Upstreams that drain get no new requests.
func compile(c *Config, entries []Entry) *Catalog {
	m := &manifest.Manifest{
		Generation: c.Version,
		Workloads:  make(map[string]*manifest.Workload, len(c.Services)),
		Upstreams:  make(map[string]*gen.Upstream, len(entries)),
	}
	limits := make(map[string]int, len(c.Services))
	for _, s := range c.Services {
		limits[s.Name] = s.ConnectionLimit
		m.Workloads[s.Name] = &manifest.Workload{
			Workload: gen.Workload{Name: gen.Name(s.Name), Kind: gen.WorkloadKindSingle},
		}
	}
	for _, e := range latest(entries) {
		w := m.Workloads[e.Service]
		if w == nil || e.Draining {
			continue
		}
		u := &gen.Upstream{
			Address: e.Address, Identity: e.Identity, Zone: gen.Name(e.Zone),
			Workload: gen.Name(e.Service), Slots: max(e.Slots, 1), ConnectionLimit: limits[e.Service],
		}
		m.Upstreams[e.Address] = u
		w.Upstreams = append(w.Upstreams, u)
	}
	return &Catalog{
		Config: c, Table: route.NewTable(c.Routes), Manifest: m, Searches: searches(c.Routes),
		ShardZones: shardZones(m), Near: nearness(c.Routes, m), ShardLimits: shardLimits(c.Routes, limits),
	}
}

func shardLimits(routes []*route.Route, limits map[string]int) map[string]int {
	out := map[string]int{}
	for _, r := range routes {
		for _, shard := range r.Shards {
			out[shard] = limits[shard]
		}
	}
	return out
}

// nearness returns where the replicas of each sharded route are.
func nearness(routes []*route.Route, m *manifest.Manifest) map[string]map[string]float64 {
	out := make(map[string]map[string]float64)
	for _, r := range routes {
		if !r.Sharded() {
			continue
		}
		near := make(map[string]float64)
		for _, shard := range r.Shards {
			for zone := range zonesOf(m.Workloads[shard]) {
				near[zone] += 1 / float64(len(r.Shards))
			}
		}
		out[r.Name] = near
	}
	return out
}

func shardZones(m *manifest.Manifest) map[string][]string {
	out := make(map[string][]string, len(m.Workloads))
	for name, w := range m.Workloads {
		out[name] = slices.Sorted(maps.Keys(zonesOf(w)))
	}
	return out
}

func zonesOf(w *manifest.Workload) map[string]bool {
	zones := map[string]bool{}
	if w == nil {
		return zones
	}
	for _, u := range w.Upstreams {
		zones[string(u.Zone)] = true
	}
	return zones
}

// latest returns the entries without those whose address a later one has: the upstream
// that had it has ended, though its entry may stay for a while.
func latest(entries []Entry) []Entry {
	last := make(map[string]Entry, len(entries))
	for _, e := range entries {
		if old, ok := last[e.Address]; !ok || e.Revision > old.Revision {
			last[e.Address] = e
		}
	}
	return slices.DeleteFunc(entries, func(e Entry) bool { return last[e.Address].Identity != e.Identity })
}

// searches returns the workload of each sharded route.
func searches(routes []*route.Route) map[string]*manifest.Workload {
	out := make(map[string]*manifest.Workload)
	for _, r := range routes {
		if !r.Sharded() {
			continue
		}
		out[r.Name] = NewSearch(r.Name, r.Shards)
	}
	return out
}

// NewSearch returns the workload of a sharded route, or of some of its shards.
func NewSearch(name string, shards []string) *manifest.Workload {
	pm := &manifest.PartitionMap{ByName: make(map[string]*gen.Shard, len(shards))}
	pm.Version = mapVersion
	pm.Shards = make([]gen.Shard, len(shards))
	for i, s := range shards {
		pm.Shards[i].Name = gen.Name(s)
		pm.ByName[s] = &pm.Shards[i]
	}
	return &manifest.Workload{
		Workload: gen.Workload{Name: gen.Name(name), Kind: gen.WorkloadKindSharded, Idempotent: true},
		Maps:     map[int]*manifest.PartitionMap{mapVersion: pm},
		Newest:   pm,
	}
}
