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

// Times of keeping neighbours.
const (
	// keepInterval is the time between two looks at the neighbours.
	keepInterval = 250 * time.Millisecond
	// lookInterval is the longest time between two looks at the members.
	lookInterval = 2 * time.Second
	// chosenLife is how long a neighbour counts as chosen after a look.
	chosenLife = 2 * time.Second
	// idleLife is how long an unused connection on demand stays open.
	idleLife = 30 * time.Second
	// redialMax bounds the backoff of dialing a neighbour.
	redialMax = 5 * time.Second
)

// keepNeighbours keeps a connection to each neighbour and closes those that nobody
// uses. The members are looked at anew when they change and now and then.
func (n *Node) keepNeighbours(ctx context.Context) {
	retry := map[string]*backoff{}
	var members, wanted []roster.Member
	var version uint64
	looked, decided := -lookInterval, -relayInterval
	for {
		now := n.now()
		if v := n.rosterVersion(); v != version || now-looked >= lookInterval {
			members, version, looked = n.Roster(), v, now
			wanted = roster.Neighbours(reachable(members), n.name, n.zone)
			n.dialer.prune(members)
			n.closeIdle(wanted)
		}
		n.dialNeighbours(ctx, wanted, retry)
		if now-decided >= relayInterval {
			n.updateRelay(members)
			decided = now
		}
		if !pause.For(ctx, keepInterval) {
			return
		}
	}
}

func (n *Node) rosterVersion() uint64 {
	n.rosterMu.Lock()
	defer n.rosterMu.Unlock()
	return n.roster.Version()
}

func reachable(members []roster.Member) []roster.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m roster.Member) bool { return m.Address == "" })
}

// backoff is the state of dialing a neighbour that does not answer.
type backoff struct {
	wait  time.Duration
	until time.Duration
	busy  chan struct{}
}

func (n *Node) dialNeighbours(ctx context.Context, wanted []roster.Member, retry map[string]*backoff) {
	now := n.now()
	for _, m := range wanted {
		if c := n.table.get(m.Name); c != nil {
			n.befriend(c, now)
			if now-c.since > redialMax {
				delete(retry, m.Name)
			}
			continue
		}
		b := retry[m.Name]
		if b == nil {
			b = &backoff{busy: make(chan struct{}, 1)}
			retry[m.Name] = b
		}
		if now < b.until {
			continue
		}
		b.wait = min(max(2*b.wait, keepInterval), redialMax)
		b.until = now + b.wait/2 + rand.N(b.wait)
		n.dialInBackground(ctx, m.Name, b)
	}
	maps.DeleteFunc(retry, func(name string, _ *backoff) bool { return !roster.Has(wanted, name) })
}

func (n *Node) dialInBackground(ctx context.Context, vm string, b *backoff) {
	select {
	case b.busy <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-b.busy }()
		c, err := n.connect(ctx, vm)
		if err != nil {
			n.log.Debug("neighbour not reached", "peer", vm, "err", err)
			return
		}
		n.befriend(c, n.now())
	}()
}

// befriend marks a connection as a neighbour's; a new neighbour gets a digest at
// once.
func (n *Node) befriend(c *conn, now time.Duration) {
	c.chosenUntil.Store(int64(now + chosenLife))
	if old := c.gossipUntil.Swap(int64(now + gossipLife)); time.Duration(old) <= now {
		n.sendDigest(c, n.facts.Digest())
	}
	c.touch()
}

func (n *Node) closeIdle(wanted []roster.Member) {
	now := n.now()
	for _, c := range n.table.all() {
		n.rosterMu.Lock()
		n.roster.Heard(now, c.peer)
		n.rosterMu.Unlock()
		if c.dialed && !roster.Has(wanted, c.peer) && !c.gossips(now) && c.idle(now) > idleLife {
			c.close(cutIdle)
		}
	}
}
