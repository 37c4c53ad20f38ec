package peer

import (
	"time"

	"github.com/sardinespindle/sardinespindle/internal/policy/roster"
)

// Relays of the configuration: VMs that watch the platform for their zone.
const (
	relaysPerZone = 2
	relayTTL      = 9 * time.Second
	relayRefresh  = 3 * time.Second
	relayInterval = time.Second
	relayKey      = "relay/"
)

// Relay reports whether this VM is to watch the platform for its zone.
func (n *Node) Relay() bool {
	n.relayMu.Lock()
	defer n.relayMu.Unlock()
	return n.relay
}

// updateRelay decides anew whether this VM is a relay and says so to the others.
func (n *Node) updateRelay(members []roster.Member) {
	now := n.now()
	works := map[string]bool{}
	for _, f := range n.facts.List(relayKey + n.zone) {
		works[f.VM()] = true
	}
	n.relayMu.Lock()
	defer n.relayMu.Unlock()
	role := roster.RelayRole{
		Self: n.name, Zone: n.zone, Count: relaysPerZone, Grace: relayTTL,
		Works: works, Relay: n.relay, ShortSince: n.shortage,
	}
	role = role.Decide(now, members)
	n.relay, n.shortage = role.Relay, role.ShortSince
	if n.relay && now >= n.restate {
		n.restate = now + relayRefresh
		n.facts.Put(relayKey+n.zone, "", relayTTL)
	}
}
