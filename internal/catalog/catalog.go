// Package catalog mirrors the routes, services and upstreams that the platform
// publishes, from the platform's store or from another VM, and compiles them into lookup
// tables. The revision never goes back while the process runs. A Mirror is safe for
// concurrent use, a compiled Catalog is immutable, and Sync.Run must run in one goroutine.
package catalog

import (
	"slices"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/policy/route"
	"github.com/sardinespindle/sardinespindle/internal/policy/warmup"
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
	// ColdFor is how long an upstream is cold after a start, and ColdPerSecond the requests a second that
	// it tolerates from all VMs together while it is; 0 for no bound.
	ColdFor       time.Duration
	ColdPerSecond float64
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
	// WarmupLeft is how much longer the upstream is cold; WarmupStated is false if the entry does not say.
	WarmupLeft   time.Duration
	WarmupStated bool
	// ReadAt is when the mirror stored the entry's last change.
	ReadAt time.Duration
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
	// Warmups maps the addresses of upstreams that tolerate a number of requests a second while they are
	// cold to that; nil if there are none.
	Warmups map[string]warmup.Upstream
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
// get no new requests. What did not change since older, nil for none, is taken over from it: on a small VM
// a whole compilation delays the requests that arrive meanwhile by tens of milliseconds.
func compile(c *Config, entries []Entry, evacuated []string, older *Catalog) *Catalog {
	if older == nil {
		older = &Catalog{Manifest: &manifest.Manifest{}}
	}
	m := &manifest.Manifest{
		Generation: c.Version,
		Workloads:  make(map[string]*manifest.Workload, len(c.Services)),
		Upstreams:  make(map[string]*gen.Upstream, len(entries)),
	}
	services := make(map[string]*serviceUpstreams, len(c.Services))
	warmups := newWarmups(c.Services)
	for _, s := range c.Services {
		services[s.Name] = &serviceUpstreams{connectionLimit: s.ConnectionLimit}
	}
	// An entry of a service that is not published names no upstream, and none ended because of it.
	entries = slices.DeleteFunc(entries, func(e Entry) bool { return services[e.Service] == nil })
	for _, e := range latestPerAddress(entries) {
		if e.Draining || slices.Contains(evacuated, e.Zone) {
			continue
		}
		s := services[e.Service]
		u := e.upstream(s.connectionLimit, older.Manifest.Upstreams[e.Address])
		m.Upstreams[e.Address] = u
		s.upstreams = append(s.upstreams, u)
		warmups.add(e)
	}
	out := &Catalog{Config: c, Manifest: m, ServiceZones: make(map[string][]string, len(services)), Warmups: warmups.upstreams, Evacuated: evacuated}
	for name, s := range services {
		m.Workloads[name], out.ServiceZones[name] = s.workload(name, older)
	}
	if c == older.Config {
		out.Table, out.SearchWorkloads, out.ShardLimits = older.Table, older.SearchWorkloads, older.ShardLimits
	} else {
		out.Table, out.SearchWorkloads, out.ShardLimits = route.NewTable(c.Routes), searchWorkloads(c.Routes, older), shardLimits(c)
	}
	out.ZoneCoverage = zoneCoverage(c.Routes, out.ServiceZones)
	return out
}

// serviceUpstreams collects the upstreams of a service.
type serviceUpstreams struct {
	connectionLimit int
	upstreams       []*gen.Upstream
}

// workload returns the service's workload and the zones of its upstreams, those of older if the
// upstreams are the same.
func (s *serviceUpstreams) workload(name string, older *Catalog) (*manifest.Workload, []string) {
	if w := older.Manifest.Workloads[name]; w != nil && slices.Equal(w.Upstreams, s.upstreams) {
		return w, older.ServiceZones[name]
	}
	w := &manifest.Workload{
		Workload: gen.Workload{Name: gen.Name(name), Kind: gen.WorkloadKindSingle}, Upstreams: s.upstreams,
	}
	zones := make([]string, 0, len(s.upstreams))
	for _, u := range s.upstreams {
		zones = append(zones, string(u.Zone))
	}
	slices.Sort(zones)
	return w, slices.Compact(zones)
}

// upstream returns the upstream of an entry: older, if it is the same, else a new one.
func (e *Entry) upstream(connectionLimit int, older *gen.Upstream) *gen.Upstream {
	slots, started := max(e.Slots, 1), int(e.StartedUnixMs)
	if older != nil && older.Identity == e.Identity && string(older.Zone) == e.Zone && string(older.Workload) == e.Service &&
		older.Slots == slots && older.ConnectionLimit == connectionLimit && older.StartedMs == started {
		return older
	}
	return &gen.Upstream{
		Address: e.Address, Identity: e.Identity, Zone: gen.Name(e.Zone), Workload: gen.Name(e.Service),
		Slots: slots, ConnectionLimit: connectionLimit, StartedMs: started,
	}
}

func shardLimits(c *Config) map[string]int {
	limits := make(map[string]int, len(c.Services))
	for _, s := range c.Services {
		limits[s.Name] = s.ConnectionLimit
	}
	out := map[string]int{}
	for _, r := range c.Routes {
		for _, shard := range r.Shards {
			out[shard] = limits[shard]
		}
	}
	return out
}

// zoneCoverage returns, by sharded route and zone, the share of shards with a replica there.
func zoneCoverage(routes []*route.Route, serviceZones map[string][]string) map[string]map[string]float64 {
	out := make(map[string]map[string]float64)
	for _, r := range routes {
		if !r.Sharded() {
			continue
		}
		byZone := make(map[string]float64)
		for _, shard := range r.Shards {
			for _, zone := range serviceZones[shard] {
				byZone[zone] += 1 / float64(len(r.Shards))
			}
		}
		out[r.Name] = byZone
	}
	return out
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

// searchWorkloads returns the workloads of the sharded routes by route name. A route whose shards
// are those of the older catalog shares its workload, so that up to maxEarlierVersions versions
// hold it once.
func searchWorkloads(routes []*route.Route, older *Catalog) map[string]*manifest.Workload {
	out := make(map[string]*manifest.Workload)
	for _, r := range routes {
		if !r.Sharded() {
			continue
		}
		if w := older.SearchWorkloads[r.Name]; isSearchOf(w, r.Shards) {
			out[r.Name] = w
			continue
		}
		out[r.Name] = NewSearchWorkload(r.Name, r.Shards)
	}
	return out
}

// isSearchOf reports whether a workload, which may be nil, is a search of exactly these shards.
func isSearchOf(w *manifest.Workload, shards []string) bool {
	return w != nil && slices.EqualFunc(w.NewestMap.Shards, shards, func(a gen.Shard, b string) bool { return string(a.Name) == b })
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
