package capacity

import "github.com/sardinespindle/sardinespindle/internal/slopes"

// Today returns the roles as today's code would carry them at the size to come.
func Today(s Slopes) []Row {
	changes := perSecond(changesPerDay)
	churn := 2 * perSecond(restartsPerDay+failuresPerDay)
	whole := last(s.Manifest)
	claimBytes := at(s.Claims, vms, claimsSize, func(r slopes.ClaimsResult) float64 { return r.Bytes })
	claimMessages := at(s.Claims, vms, claimsSize, func(r slopes.ClaimsResult) float64 { return r.Messages })
	return judge([]Row{
		{
			Role: "root (search)", Carrier: "`internal/gather`, `internal/upstream`: one HTTP request a sub-request",
			Cores: s.subrequestCores(), Fits: "data path",
		},
		{
			Role: "manifest holder", Carrier: "`internal/rollout`: parts of 0.9 MB by digest, whole compile",
			Cores:     changes * whole.ChangeMs / 1000,
			Memory:    whole.Memory + float64(whole.Bytes),
			Bandwidth: changes * float64(whole.DeltaBytes),
		},
		{
			Role: "config relay", Carrier: "`internal/rollout`: two a zone watch the head; the others ask the relay that told of it",
			Memory:    whole.Memory + float64(whole.Bytes),
			Bandwidth: changes * float64(whole.DeltaBytes) * vms / (zones * relaysPerZone),
		},
		{
			Role: "VM list reader", Carrier: "every VM watches `vms`",
			Memory:    vms * vmEntryBytes,
			Bandwidth: churn * vms * vmEntryBytes,
		},
		s.neighbour("`internal/facts`, `internal/peer`: gossip of constant degree, digest repair"),
		{
			Role: "guard (claims)", Carrier: "`internal/claims`: every VM votes on every key",
			Cores:     ordersPerSec * claimMessages * frameCPUMicros / 1e6 / vms,
			Memory:    ordersPerSec * resendWindow * last(s.Claims).KeyBytes,
			Bandwidth: ordersPerSec * claimBytes / vms,
		},
		{
			Role: "prober", Carrier: "`internal/upstream`: replies renew leases; a probe only where there was none for 2 s",
		},
	})
}

// Planned returns the roles as the mechanisms named on the page would carry them.
func Planned(s Slopes) []Row {
	changes := perSecond(changesPerDay)
	churn := 2 * perSecond(restartsPerDay+failuresPerDay)
	whole := last(s.Manifest)
	perServerMs := whole.ColdMs / servers
	path := leafServers*serverEntry + 2*treeFanOut*partRefBytes
	leaves := float64(fanOut) / shardsPerLeaf
	held := float64(servers) * connections / vms
	frames := min(queriesPerSec/vms*leaves, vms*1000/batchMillis)
	c := last(s.Claims)
	perGuardBytes := c.Bytes / float64(c.VMs)
	return judge([]Row{
		{
			Role: "root (search)", Carrier: "one frame a leaf and window, 46 leaves of 7 shards",
			Cores: frames*frameCPUMicros/1e6 + queriesPerSec/vms*leaves*last(s.Gather).CPUMicros/1e6, Fits: "data path",
		},
		{
			Role: "leaf", Carrier: "connection rights by rendezvous; one HTTP request a sub-request",
			Cores: queriesPerSec * fanOut / vms * s.Path.CPUMicros / 1e6, Fits: "data path",
		},
		{
			Role: "leaf, if upstreams took batches", Carrier: "one HTTP request for 11 sub-requests of one window; 7 shards a leaf, 2 leaves a server",
			Cores: queriesPerSec * fanOut / vms * (s.Path.CPUMicros/batched + last(s.Gather).CPUMicros) / 1e6, Fits: "data path",
		},
		{
			Role: "manifest holder", Carrier: "tree of parts of 20 servers, compiled a part at a time; only the servers a leaf holds",
			Cores:     changes * leafServers * perServerMs / 1000,
			Memory:    held * (whole.Memory / servers),
			Bandwidth: changes * float64(path),
		},
		{
			Role: "config relay", Carrier: "a relay tree: each VM asks the neighbour that passed the head on, so each serves one other on average, at most two",
			Memory:    held * (whole.Memory / servers),
			Bandwidth: changes * float64(path) * (1 + relayDegree),
		},
		{
			Role: "VM list reader", Carrier: "relays watch `vms`; changes travel as facts",
			Memory:    vms * vmEntryBytes,
			Bandwidth: churn * factBytes * gossipDegree,
		},
		s.neighbour("as today"),
		{
			Role: "guard (claims)", Carrier: "15 guards a key by rendezvous, in one region (0014)",
			Cores:     ordersPerSec * guardsPerKey * 2 * frameCPUMicros / 1e6 / vms,
			Memory:    ordersPerSec * resendWindow * c.KeyBytes * guardsPerKey / vms,
			Bandwidth: ordersPerSec * perGuardBytes * guardsPerKey / vms,
		},
	})
}

// neighbour is the role of a VM that exchanges facts.
func (s Slopes) neighbour(carrier string) Row {
	fit := func(value func(slopes.FleetResult) float64) float64 {
		return at(s.Fleet, doublings(vms), fleetSize, value)
	}
	return Row{
		Role: "neighbour (facts)", Carrier: carrier,
		Cores:     fit(func(r slopes.FleetResult) float64 { return r.LoadedCPU }),
		Memory:    fit(func(r slopes.FleetResult) float64 { return r.Memory }),
		Bandwidth: fit(func(r slopes.FleetResult) float64 { return r.LoadedBytes }),
	}
}

func judge(rows []Row) []Row {
	for i := range rows {
		r := &rows[i]
		if r.Fits != "" {
			continue
		}
		r.Fits = "yes"
		if r.Cores > cpuBudget || r.Memory > memBudget || r.Bandwidth > bytesBudget {
			r.Fits = "**no**"
		}
	}
	return rows
}

// Reads is one source of reads of the platform.
type Reads struct {
	Source string
	// PerSecond of the whole fleet, waiting watches counted once each call.
	Today, Planned float64
}

// PlatformReads returns the reads of the whole fleet.
func PlatformReads() []Reads {
	changes := perSecond(changesPerDay)
	churn := 2 * perSecond(restartsPerDay+failuresPerDay)
	relays := float64(zones * relaysPerZone)
	starts := perSecond(restartsPerDay + failuresPerDay)
	return []Reads{
		{"watches of the head by relays", relays/watchSeconds + changes*relays, relays/watchSeconds + changes*relays},
		{"parts read by relays", changes * relays, changes * relays * 3},
		{"polls of the head by the others", (vms - relays) / 20, (vms - relays) / 20},
		{"watches of the VM list", vms/watchSeconds + churn*vms, relays/watchSeconds + churn*relays},
		{"starts", starts * 14, starts * 2},
	}
}
