package peer

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/pause"
	"github.com/sardinespindle/sardinespindle/internal/policy/roster"
)

// Times for maintaining connections to neighbours.
const (
	// checkInterval is the time between two checks of the neighbours' connections.
	checkInterval = 250 * time.Millisecond
	// memberRefreshInterval is the longest time between two readings of the roster.
	memberRefreshInterval = 2 * time.Second
	// chosenTTL is how long a neighbour counts as chosen after the last check.
	chosenTTL = 2 * time.Second
	// idleTimeout is how long an unused connection to a VM that is no neighbour stays open.
	idleTimeout = 30 * time.Second
	// maxRedialBackoff bounds the backoff between dials of a neighbour.
	maxRedialBackoff = 5 * time.Second
)

// keepNeighbours keeps a connection open to each neighbour, closes idle connections to
// other VMs and updates this VM's role as a relay. It reads the roster when it has changed
// and at least once per memberRefreshInterval.
func (n *Node) keepNeighbours(ctx context.Context) {
	backoffs := map[string]*backoff{}
	var members, wanted []roster.Member
	var version uint64
	refreshed, relayUpdated := -memberRefreshInterval, -relayInterval
	for {
		now := n.now()
		if v := n.rosterVersion(); v != version || now-refreshed >= memberRefreshInterval {
			members, version, refreshed = n.Roster(), v, now
			wanted = roster.Neighbours(withAddress(members), n.name, n.zone)
			n.dialer.prune(members)
			n.refreshConns(wanted)
		}
		n.dialNeighbours(ctx, wanted, backoffs)
		if !n.noRelays && now-relayUpdated >= relayInterval {
			n.updateRelay(members)
			relayUpdated = now
		}
		if !pause.Sleep(ctx, checkInterval) {
			return
		}
	}
}

func (n *Node) rosterVersion() uint64 {
	n.rosterMu.Lock()
	defer n.rosterMu.Unlock()
	return n.roster.Version()
}

func withAddress(members []roster.Member) []roster.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m roster.Member) bool { return m.Address == "" })
}

// backoff is the state of redialing a neighbour.
type backoff struct {
	wait     time.Duration
	nextDial time.Duration
	dialSlot chan struct{} // holds an element while a dial is pending
}

func (n *Node) dialNeighbours(ctx context.Context, wanted []roster.Member, backoffs map[string]*backoff) {
	now := n.now()
	for _, m := range wanted {
		if c := n.table.get(m.Name); c != nil {
			n.markNeighbour(c, now)
			if now-c.opened > maxRedialBackoff {
				delete(backoffs, m.Name)
			}
			continue
		}
		b := backoffs[m.Name]
		if b == nil {
			b = &backoff{dialSlot: make(chan struct{}, 1)}
			backoffs[m.Name] = b
		}
		if now < b.nextDial {
			continue
		}
		b.wait = min(max(2*b.wait, checkInterval), maxRedialBackoff)
		b.nextDial = now + b.wait/2 + rand.N(b.wait)
		n.dialInBackground(ctx, m.Name, b)
	}
	maps.DeleteFunc(backoffs, func(name string, _ *backoff) bool { return !roster.Contains(wanted, name) })
}

func (n *Node) dialInBackground(ctx context.Context, vm string, b *backoff) {
	select {
	case b.dialSlot <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-b.dialSlot }()
		c, err := n.connect(ctx, vm)
		if err != nil {
			n.log.Debug("neighbour not reached", "peer", vm, "err", err)
			if ctx.Err() == nil && n.reachesOthers(vm) {
				n.unreachable(vm)
			}
			return
		}
		n.markNeighbour(c, n.now())
	}()
}

// reachesOthers reports whether this VM has a connection to another VM that lives: a VM that is
// cut off must not take all its neighbours for lost.
func (n *Node) reachesOthers(vm string) bool {
	for _, c := range n.table.all() {
		lastRead := time.Duration(max(c.lastRead.Load(), c.lastPing.Load()))
		if c.peer != vm && !c.ended() && n.now()-lastRead < pingInterval+pingTimeout {
			return true
		}
	}
	return false
}

// markNeighbour marks a connection as that of a chosen neighbour. A new neighbour is sent
// a digest at once.
func (n *Node) markNeighbour(c *conn, now time.Duration) {
	c.chosenUntil.Store(int64(now + chosenTTL))
	if old := c.neighbourUntil.Swap(int64(now + neighbourTTL)); time.Duration(old) <= now {
		n.sendDigest(c, n.facts.Digest())
	}
	c.markUsed()
}

// refreshConns records in the roster which peers are connected, which keeps unlisted ones
// members. It closes idle connections that this side dialed to VMs that are no neighbours.
func (n *Node) refreshConns(wanted []roster.Member) {
	now := n.now()
	for _, c := range n.table.all() {
		n.rosterMu.Lock()
		n.roster.Seen(now, c.peer)
		n.rosterMu.Unlock()
		if c.dialed && !roster.Contains(wanted, c.peer) && !c.isNeighbour(now) && c.idleFor(now) > idleTimeout {
			c.close(cutIdle)
		}
	}
}
