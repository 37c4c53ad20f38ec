// Package catalog mirrors the routes, services and upstreams that the platform
// publishes, from the platform's store or from another VM, and compiles them into lookup
// tables. The revision never goes back while the process runs. A Mirror is safe for
// concurrent use, a compiled Catalog is immutable, and Sync.Run must run in one goroutine.
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

// Limits bound callers' requests and connections.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Entry is the registration that an upstream publishes about itself.
type Entry struct {
	Identity string
	Service  string
	Address  string
	Zone     string
	Slots    int
	Draining bool
	// WarmupLeft is how much longer the upstream stays slow after its start.
	WarmupLeft time.Duration
	// StartedUnixMs is 0 if the upstream does not publish it.
	StartedUnixMs int64
	// Position is the point of the entry's last change that the mirror stored. A mirror that
	// already has the entry does not store a heartbeat.
	Position
}

// Catalog holds the lookup tables of one revision of the configuration and the upstreams.
type Catalog struct {
	Config   *Config
	Table    *route.Table
	Manifest *manifest.Manifest
	// SearchWorkloads maps the name of a sharded route to its workload, whose partition map
	// lists the route's shards.
	SearchWorkloads map[string]*manifest.Workload
	// ShardLimits maps each service that is a shard of a route to the number of
	// connections that one of its upstreams accepts.
	ShardLimits map[string]int
	// ServiceZones maps a service to the availability zones of its upstreams.
	ServiceZones map[string][]string
	// ZoneCoverage maps the name of a sharded route and an availability zone to the share
	// of the route's shards, 0 to 1, that have a replica in that zone.
	ZoneCoverage map[string]map[string]float64
	// Evacuated are the availability zones whose upstreams get no requests, sorted. The other fields
	// do not list these upstreams.
	Evacuated []string

	earlier []*Catalog // routes of the versions before this one, the latest first
}

// IsShard reports whether a service is a shard of a route.
func (c *Catalog) IsShard(service string) bool {
	_, ok := c.ShardLimits[service]
	return ok
}

// mapVersion is the same for every sharded route, because each has only one partition map.
const mapVersion = 1

// compile builds the lookup tables. It omits draining upstreams and those of evacuated zones, so they
// get no new requests.
func compile(c *Config, entries []Entry, evacuated []string) *Catalog {
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
	// An entry of a service that is not published names no upstream, and none ended because of it.
	entries = slices.DeleteFunc(entries, func(e Entry) bool { return m.Workloads[e.Service] == nil })
	for _, e := range latestPerAddress(entries) {
		w := m.Workloads[e.Service]
		if e.Draining || slices.Contains(evacuated, e.Zone) {
			continue
		}
		u := &gen.Upstream{
			Address: e.Address, Identity: e.Identity, Zone: gen.Name(e.Zone),
			Workload: gen.Name(e.Service), Slots: max(e.Slots, 1), ConnectionLimit: limits[e.Service], StartedMs: int(e.StartedUnixMs),
		}
		m.Upstreams[e.Address] = u
		w.Upstreams = append(w.Upstreams, u)
	}
	return &Catalog{
		Config: c, Table: route.NewTable(c.Routes), Manifest: m, SearchWorkloads: searchWorkloads(c.Routes), Evacuated: evacuated,
		ServiceZones: serviceZones(m), ZoneCoverage: zoneCoverage(c.Routes, m), ShardLimits: shardLimits(c.Routes, limits),
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

// zoneCoverage returns, by sharded route and zone, the share of shards with a replica there.
func zoneCoverage(routes []*route.Route, m *manifest.Manifest) map[string]map[string]float64 {
	out := make(map[string]map[string]float64)
	for _, r := range routes {
		if !r.Sharded() {
			continue
		}
		byZone := make(map[string]float64)
		for _, shard := range r.Shards {
			for zone := range zonesOf(m.Workloads[shard]) {
				byZone[zone] += 1 / float64(len(r.Shards))
			}
		}
		out[r.Name] = byZone
	}
	return out
}

func serviceZones(m *manifest.Manifest) map[string][]string {
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

// latestPerAddress drops each entry whose address a later entry uses: the upstream that
// had the address before has ended, but its entry may stay in the store for a while.
func latestPerAddress(entries []Entry) []Entry {
	last := make(map[string]Entry, len(entries))
	for _, e := range entries {
		if old, ok := last[e.Address]; !ok || old.before(e.Position) {
			last[e.Address] = e
		}
	}
	return slices.DeleteFunc(entries, func(e Entry) bool { return last[e.Address].Identity != e.Identity })
}

// searchWorkloads returns the workloads of the sharded routes by route name.
func searchWorkloads(routes []*route.Route) map[string]*manifest.Workload {
	out := make(map[string]*manifest.Workload)
	for _, r := range routes {
		if !r.Sharded() {
			continue
		}
		out[r.Name] = NewSearchWorkload(r.Name, r.Shards)
	}
	return out
}

// NewSearchWorkload returns the workload for a search of the given shards of a route.
func NewSearchWorkload(name string, shards []string) *manifest.Workload {
	pm := &manifest.PartitionMap{ByName: make(map[string]*gen.Shard, len(shards))}
	pm.Version = mapVersion
	pm.Shards = make([]gen.Shard, len(shards))
	for i, s := range shards {
		pm.Shards[i].Name = gen.Name(s)
		pm.ByName[s] = &pm.Shards[i]
	}
	return &manifest.Workload{
		Workload:  gen.Workload{Name: gen.Name(name), Kind: gen.WorkloadKindSharded, Idempotent: true},
		Maps:      map[int]*manifest.PartitionMap{mapVersion: pm},
		NewestMap: pm,
	}
}
