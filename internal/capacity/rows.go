package capacity

import "github.com/sardinespindle/sardinespindle/internal/slopes"

// Today returns the cost of each role at the planned size with today's code.
func Today(s Slopes) []Row {
	changesPerSec := perSecond(changesPerDay)
	vmChangesPerSec := 2 * perSecond(restartsPerDay+failuresPerDay)
	largest := last(s.Manifest)
	claimBytes := extrapolate(s.Claims, vms, claimsSize, func(r slopes.ClaimsResult) float64 { return r.Bytes })
	claimMessages := extrapolate(s.Claims, vms, claimsSize, func(r slopes.ClaimsResult) float64 { return r.Messages })
	return checkBudget([]Row{
		{
			Role: "root (search)", Carrier: "`internal/gather`, `internal/upstream`: one HTTP request a sub-request",
			Cores: s.subrequestCores(), Fits: "data path",
		},
		{
			Role: "manifest holder", Carrier: "`internal/rollout`: parts of 0.9 MB by digest, whole compile",
			Cores:     changesPerSec * largest.ChangeMs / 1000,
			Memory:    largest.Memory + float64(largest.Bytes),
			Bandwidth: changesPerSec * float64(largest.DeltaBytes),
		},
		{
			Role: "config relay", Carrier: "`internal/rollout`: two a zone watch the head; the others ask the relay that told of it",
			Memory:    largest.Memory + float64(largest.Bytes),
			Bandwidth: changesPerSec * float64(largest.DeltaBytes) * vms / (zones * relaysPerZone),
		},
		{
			Role: "VM list reader", Carrier: "every VM watches `vms`",
			Memory:    vms * vmEntryBytes,
			Bandwidth: vmChangesPerSec * vms * vmEntryBytes,
		},
		s.neighbour("`internal/facts`, `internal/peer`: gossip of constant degree, digest repair"),
		{
			Role: "guard (claims)", Carrier: "`internal/claims`: every VM votes on every key",
			Cores:     ordersPerSec * claimMessages * frameCPUMicros / 1e6 / vms,
			Memory:    ordersPerSec * resendSeconds * last(s.Claims).KeyBytes,
			Bandwidth: ordersPerSec * claimBytes / vms,
		},
		{
			Role: "prober", Carrier: "`internal/upstream`: replies renew leases; a probe only where there was none for 2 s",
		},
	})
}

// Planned returns the cost of each role at the planned size with the designs that
// the page describes.
func Planned(s Slopes) []Row {
	changesPerSec := perSecond(changesPerDay)
	vmChangesPerSec := 2 * perSecond(restartsPerDay+failuresPerDay)
	largest := last(s.Manifest)
	perServerMs := largest.ColdMs / servers
	pathBytes := serversPerPart*serverEntryBytes + 2*treeFanOut*partRefBytes
	leafVMs := float64(fanOut) / shardsPerLeaf
	heldServers := float64(servers) * connectionsPerServer / vms
	framesPerSec := min(queriesPerSec/vms*leafVMs, vms*1000/batchMillis)
	c := last(s.Claims)
	perGuardBytes := c.Bytes / float64(c.VMs)
	return checkBudget([]Row{
		{
			Role: "root (search)", Carrier: "one frame a leaf and window, 46 leaves of 7 shards",
			Cores: framesPerSec*frameCPUMicros/1e6 + queriesPerSec/vms*leafVMs*last(s.Gather).CPUMicros/1e6, Fits: "data path",
		},
		{
			Role: "leaf", Carrier: "connection rights by rendezvous; one HTTP request a sub-request",
			Cores: queriesPerSec * fanOut / vms * s.Path.CPUMicros / 1e6, Fits: "data path",
		},
		{
			Role: "leaf, if upstreams took batches", Carrier: "one HTTP request for 11 sub-requests of one window; 7 shards a leaf, 2 leaves a server",
			Cores: queriesPerSec * fanOut / vms * (s.Path.CPUMicros/batchSize + last(s.Gather).CPUMicros) / 1e6, Fits: "data path",
		},
		{
			Role: "manifest holder", Carrier: "tree of parts of 20 servers, compiled a part at a time; only the servers a leaf holds",
			Cores:     changesPerSec * serversPerPart * perServerMs / 1000,
			Memory:    heldServers * (largest.Memory / servers),
			Bandwidth: changesPerSec * float64(pathBytes),
		},
		{
			Role: "config relay", Carrier: "a relay tree: each VM asks the neighbour that passed the head on, so each serves one other on average, at most two",
			Memory:    heldServers * (largest.Memory / servers),
			Bandwidth: changesPerSec * float64(pathBytes) * (1 + relayDegree),
		},
		{
			Role: "VM list reader", Carrier: "relays watch `vms`; changes travel as facts",
			Memory:    vms * vmEntryBytes,
			Bandwidth: vmChangesPerSec * factBytes * gossipDegree,
		},
		s.neighbour("as today"),
		{
			Role: "guard (claims)", Carrier: "15 guards a key by rendezvous, in one region (0014)",
			Cores:     ordersPerSec * guardsPerKey * 2 * frameCPUMicros / 1e6 / vms,
			Memory:    ordersPerSec * resendSeconds * c.KeyBytes * guardsPerKey / vms,
			Bandwidth: ordersPerSec * perGuardBytes * guardsPerKey / vms,
		},
	})
}

// neighbour returns the cost to a VM of exchanging facts with its neighbours.
func (s Slopes) neighbour(carrier string) Row {
	at := func(value func(slopes.FleetResult) float64) float64 {
		return extrapolate(s.Fleet, doublings(vms), fleetSize, value)
	}
	return Row{
		Role: "neighbour (facts)", Carrier: carrier,
		Cores:     at(func(r slopes.FleetResult) float64 { return r.LoadedCPU }),
		Memory:    at(func(r slopes.FleetResult) float64 { return r.Memory }),
		Bandwidth: at(func(r slopes.FleetResult) float64 { return r.LoadedBytes }),
	}
}

// checkBudget sets Fits of every row that has none yet.
func checkBudget(rows []Row) []Row {
	for i := range rows {
		r := &rows[i]
		if r.Fits != "" {
			continue
		}
		r.Fits = "yes"
		if r.Cores > cpuBudget || r.Memory > memBudget || r.Bandwidth > bandwidthBudget {
			r.Fits = "**no**"
		}
	}
	return rows
}

// Reads is the rate of platform reads that one source causes.
type Reads struct {
	Source string
	// Reads per second of the whole fleet. A watch counts as one read per call,
	// however long it waits.
	Today, Planned float64
}

// PlatformReads returns the reads by source, with today's code and with the planned
// designs.
func PlatformReads() []Reads {
	changesPerSec := perSecond(changesPerDay)
	vmChangesPerSec := 2 * perSecond(restartsPerDay+failuresPerDay)
	relays := float64(zones * relaysPerZone)
	startsPerSec := perSecond(restartsPerDay + failuresPerDay)
	return []Reads{
		{"watches of the head by relays", relays/watchSeconds + changesPerSec*relays, relays/watchSeconds + changesPerSec*relays},
		{"parts read by relays", changesPerSec * relays, changesPerSec * relays * 3},
		{"polls of the head by the others", (vms - relays) / 20, (vms - relays) / 20}, // a poll every 20 s
		{"watches of the VM list", vms/watchSeconds + vmChangesPerSec*vms, relays/watchSeconds + vmChangesPerSec*relays},
		{"starts", startsPerSec * 14, startsPerSec * 2},
	}
}
