package peer

import (
	"time"

	"github.com/sardinespindle/sardinespindle/internal/policy/roster"
)

// Relays are VMs that watch the platform and forward its configuration to their zone. A
// relay states a fact to that effect once per relayRefresh; relayInterval is the time
// between two decisions on whether this VM is a relay.
const (
	relaysPerZone = 2
	relayTTL      = 9 * time.Second
	relayRefresh  = 3 * time.Second
	relayInterval = time.Second
	relayKey      = "relay/"
)

// Relay reports whether this VM is a relay of its zone.
func (n *Node) Relay() bool {
	n.relayMu.Lock()
	defer n.relayMu.Unlock()
	return n.relay
}

// updateRelay decides whether this VM is a relay and, if so, states a fact to that effect
// once per relayRefresh.
func (n *Node) updateRelay(members []roster.Member) {
	now := n.now()
	active := map[string]bool{}
	for _, f := range n.facts.List(relayKey + n.zone) {
		active[f.VM()] = true
	}
	n.relayMu.Lock()
	defer n.relayMu.Unlock()
	role := roster.RelayRole{
		Self: n.name, Zone: n.zone, Count: relaysPerZone, Grace: relayTTL,
		Working: active, Relay: n.relay, MissingSince: n.missingSince,
	}
	role = role.Decide(now, members)
	n.relay, n.missingSince = role.Relay, role.MissingSince
	if n.relay && now >= n.nextRelayFact {
		n.nextRelayFact = now + relayRefresh
		n.facts.Put(relayKey+n.zone, "", relayTTL)
	}
}
