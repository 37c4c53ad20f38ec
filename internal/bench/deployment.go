// Package bench runs experiments: it starts daemons as child processes with stand-ins of the
// platform and the upstreams, applies load and faults, and checks what callers saw against
// what upstreams ran. It also generates the example manifests. A run stops its processes
// before it returns and uses loopback addresses of its own, so several may run at once.
// Types that goroutines share name the lock that guards them.
package bench

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"

	"github.com/sardinespindle/sardinespindle/schema/gen/manifest"
)

// Names of the deployments.
const (
	Klapka = "klapka"
	Kervan = "kervan"
	// Both puts the two deployments into one manifest.
	Both = "both"
)

const (
	upstreamPort    = 7000
	resendWindowMs  = 600_000
	maxBodyBytes    = 65_536
	hashSpace       = 1 << 32
	replicas        = 2
	hedgePercent    = 3
	firstMapVersion = 1
)

// Deployment is the content of a manifest, not yet encoded.
type Deployment struct {
	Name      string
	Zones     []string
	Workloads []manifest.Workload
	Maps      []manifest.PartitionMap
	Upstreams []manifest.Upstream
	Callers   []manifest.Caller
}

type workloadSpec struct {
	name             string
	shards           int // 0 for a single workload
	servers          int // servers of a single workload
	slots            int
	connectionLimit  int
	connectionCostMs float64
	idempotent       bool
}

var klapkaWorkloads = []workloadSpec{
	{name: "parts-finder", shards: 20, slots: 2, connectionLimit: 60, connectionCostMs: 6, idempotent: true},
	{name: "voicing-guide", shards: 30, slots: 2, connectionLimit: 60, connectionCostMs: 6, idempotent: true},
	{name: "order-desk", servers: 10, slots: 4, connectionLimit: 250, connectionCostMs: 1},
	{name: "workshop-news", servers: 5, slots: 4, connectionLimit: 250, connectionCostMs: 1, idempotent: true},
}

var kervanWorkloads = []workloadSpec{
	{name: "iade-bakis", shards: 20, slots: 2, connectionLimit: 50, connectionCostMs: 6, idempotent: true},
	{name: "stok-geri", shards: 30, slots: 2, connectionLimit: 50, connectionCostMs: 6, idempotent: true},
	{name: "mutabakat", servers: 20, slots: 2, connectionLimit: 70, connectionCostMs: 1},
	{name: "bayi-portal", servers: 10, slots: 2, connectionLimit: 70, connectionCostMs: 1, idempotent: true},
}

// Third octets of the first workload of each deployment; the next workloads use the octets
// that follow.
const (
	klapkaNet = 10
	kervanNet = 20
)

// NewDeployment returns a deployment whose upstreams listen on 127.NET.x.y.
func NewDeployment(name string, net int) (*Deployment, error) {
	switch name {
	case Klapka:
		return klapka(net), nil
	case Kervan:
		return kervan(net), nil
	case Both:
		return join(klapka(net), kervan(net)), nil
	}
	return nil, fmt.Errorf("bench: no deployment %q", name)
}

func klapka(net int) *Deployment {
	d := &Deployment{Name: Klapka, Zones: []string{"brno", "olomouc", "zlin"}}
	for i, t := range klapkaWorkloads {
		d.add(t, net, klapkaNet+i)
	}
	d.Callers = []manifest.Caller{
		newCaller("builders",
			grant("parts-finder", 300, manifest.GrantTradePartial, 0.5, 8),
			grant("voicing-guide", 300, manifest.GrantTradePartial, 0.5, 8)),
		newCaller("teachers",
			grant("voicing-guide", 1000, manifest.GrantTradeFuller, 0.9, 5),
			grant("workshop-news", 1000, manifest.GrantTradeComplete, 0, 3)),
		newCaller("workshops",
			grant("parts-finder", 1000, manifest.GrantTradeFuller, 0.9, 5),
			grant("order-desk", 3000, manifest.GrantTradeComplete, 0, 9),
			grant("workshop-news", 1000, manifest.GrantTradeComplete, 0, 4)),
	}
	return d
}

func kervan(net int) *Deployment {
	d := &Deployment{Name: Kervan, Zones: []string{"bursa", "izmit", "tekirdag", "yalova"}}
	for i, t := range kervanWorkloads {
		d.add(t, net, kervanNet+i)
	}
	d.Callers = []manifest.Caller{
		newCaller("counters",
			grant("iade-bakis", 300, manifest.GrantTradePartial, 0, 9),
			grant("mutabakat", 3000, manifest.GrantTradeComplete, 0, 9)),
		newCaller("auditors",
			grant("iade-bakis", 2000, manifest.GrantTradeFuller, 0.95, 5),
			grant("stok-geri", 2000, manifest.GrantTradeFuller, 0.95, 5),
			grant("bayi-portal", 2000, manifest.GrantTradeComplete, 0, 4)),
		newCaller("reconciliation",
			grant("iade-bakis", 10_000, manifest.GrantTradeComplete, 1, 2),
			grant("stok-geri", 10_000, manifest.GrantTradeComplete, 1, 2),
			grant("mutabakat", 10_000, manifest.GrantTradeComplete, 0, 3)),
	}
	return d
}

func join(a, b *Deployment) *Deployment {
	return &Deployment{
		Name:      Both,
		Zones:     append(a.Zones, b.Zones...),
		Workloads: append(a.Workloads, b.Workloads...),
		Maps:      append(a.Maps, b.Maps...),
		Upstreams: append(a.Upstreams, b.Upstreams...),
		Callers:   append(a.Callers, b.Callers...),
	}
}

// Token returns the bearer token of a caller in the generated manifests.
func Token(caller string) string { return "dev-" + caller }

func newCaller(name string, grants ...manifest.Grant) manifest.Caller {
	sum := sha256.Sum256([]byte(Token(name)))
	return manifest.Caller{
		Name:        manifest.Name(name),
		TokenSha256: manifest.Digest(hex.EncodeToString(sum[:])),
		Grants:      grants,
	}
}

func grant(workload string, deadlineMs int, t manifest.GrantTrade, coverage float64, priority int) manifest.Grant {
	return manifest.Grant{
		Workload:        manifest.Name(workload),
		DeadlineMs:      deadlineMs,
		Trade:           t,
		MinimumCoverage: coverage,
		Priority:        priority,
		HedgePercent:    hedgePercent,
	}
}

// add declares one workload with its partition map and upstreams.
func (d *Deployment) add(t workloadSpec, net, third int) {
	kind := manifest.WorkloadKindSingle
	if t.shards > 0 {
		kind = manifest.WorkloadKindSharded
	}
	d.Workloads = append(d.Workloads, manifest.Workload{
		Name:           manifest.Name(t.name),
		Kind:           kind,
		Idempotent:     t.idempotent,
		ResendWindowMs: resendWindowMs,
		MaxBodyBytes:   maxBodyBytes,
	})
	if t.shards == 0 {
		for i := range t.servers {
			d.Upstreams = append(d.Upstreams, d.upstream(t, net, third, i, nil))
		}
		return
	}
	m := evenMap(t.name, t.shards)
	d.Maps = append(d.Maps, m)
	for i := range t.shards * replicas {
		shard := m.Shards[i/replicas].Name
		d.Upstreams = append(d.Upstreams, d.upstream(t, net, third, i, []manifest.Name{shard}))
	}
}

func (d *Deployment) upstream(t workloadSpec, net, third, i int, shards []manifest.Name) manifest.Upstream {
	zone := i % len(d.Zones)
	if t.shards > 0 {
		zone = (i/replicas + i%replicas) % len(d.Zones)
	}
	return manifest.Upstream{
		Address:          fmt.Sprintf("127.%d.%d.%d:%d", net, third, i+1, upstreamPort),
		Zone:             manifest.Name(d.Zones[zone]),
		Workload:         manifest.Name(t.name),
		Shards:           shards,
		Slots:            t.slots,
		ConnectionLimit:  t.connectionLimit,
		ConnectionCostMs: t.connectionCostMs,
	}
}

// evenMap divides the hash space into n ranges of nearly equal size.
func evenMap(workload string, n int) manifest.PartitionMap {
	m := manifest.PartitionMap{Workload: manifest.Name(workload), Version: firstMapVersion}
	for i := range n {
		m.Shards = append(m.Shards, manifest.Shard{
			Name:  manifest.Name(fmt.Sprintf("s%02d", i+1)),
			First: i * hashSpace / n,
			Last:  (i+1)*hashSpace/n - 1,
		})
	}
	return m
}

// maxPublishedMaps bounds the partition maps of one workload in a manifest; the newest
// are kept.
const maxPublishedMaps = 3

// Parts returns the deployment as manifest parts: workloads, upstreams, callers. Older
// partition maps, and shards that only they name, are left out.
func (d *Deployment) Parts() []manifest.Part {
	var maps []manifest.PartitionMap
	published := map[manifest.Name]map[manifest.Name]bool{}
	for _, m := range d.Maps {
		if m.Version <= d.newestMap(string(m.Workload)).Version-maxPublishedMaps {
			continue
		}
		maps = append(maps, m)
		if published[m.Workload] == nil {
			published[m.Workload] = map[manifest.Name]bool{}
		}
		for _, s := range m.Shards {
			published[m.Workload][s.Name] = true
		}
	}
	upstreams := slices.Clone(d.Upstreams)
	for i, u := range upstreams {
		upstreams[i].Shards = nil
		for _, s := range u.Shards {
			if published[u.Workload][s] {
				upstreams[i].Shards = append(upstreams[i].Shards, s)
			}
		}
	}
	return []manifest.Part{
		{Workloads: d.Workloads, PartitionMaps: maps},
		{Upstreams: upstreams},
		{Callers: d.Callers},
	}
}

// AddressesOf returns the addresses of a workload's upstreams whose first shard is the given
// one, or of all its upstreams if shard is empty.
func (d *Deployment) AddressesOf(workload, shard string) []string {
	var out []string
	for _, u := range d.Upstreams {
		if string(u.Workload) != workload {
			continue
		}
		if shard == "" || (len(u.Shards) > 0 && string(u.Shards[0]) == shard) {
			out = append(out, u.Address)
		}
	}
	return out
}

// zoneAddresses returns the addresses of a zone's upstreams.
func (d *Deployment) zoneAddresses(zone string) []string {
	var out []string
	for _, u := range d.Upstreams {
		if string(u.Zone) == zone {
			out = append(out, u.Address)
		}
	}
	return out
}
