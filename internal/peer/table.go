package peer

import (
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Bounds of the table of connections.
const (
	// maxPerPeer allows for both sides dialing at once.
	maxPerPeer = 4
	// maxDialed and maxAccepted bound the connections by which side dialed.
	maxDialed   = 128
	maxAccepted = 256
)

// table holds the open connections by peer.
type table struct {
	mu       sync.Mutex
	byPeer   map[string][]*conn
	dialed   int
	accepted int
	closed   bool
	// serving counts the connections that are served. It is raised only under mu and while
	// closed is false, so that Close can wait for it.
	serving sync.WaitGroup
}

func (t *table) init() { t.byPeer = map[string][]*conn{} }

// add adds a connection. It returns the connections to close for it: those to earlier
// incarnations of the peer and, if the table is full, the longest idle or else the oldest
// one. ok is false if c was not added.
func (t *table) add(c *conn, now time.Duration) (victims []*conn, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, false
	}
	for _, old := range t.byPeer[c.peer] {
		if old.incarnation != c.incarnation {
			victims = append(victims, old)
		}
	}
	if len(t.byPeer[c.peer])-len(victims) >= maxPerPeer {
		return victims, false
	}
	if c.dialed && t.dialed >= maxDialed || !c.dialed && t.accepted >= maxAccepted {
		victim := t.longestIdle(c.dialed, now)
		if victim == nil {
			victim = t.oldest(c.dialed, now)
		}
		if victim == nil {
			return victims, false
		}
		victims = append(victims, victim)
	}
	t.byPeer[c.peer] = append(t.byPeer[c.peer], c)
	t.count(c, 1)
	t.serving.Add(1)
	return victims, true
}

func (t *table) count(c *conn, n int) {
	if c.dialed {
		t.dialed += n
	} else {
		t.accepted += n
	}
}

// longestIdle returns the connection unused for longest, those of neighbours excepted.
func (t *table) longestIdle(dialed bool, now time.Duration) *conn {
	return t.best(func(c *conn) bool { return c.dialed == dialed && !c.isNeighbour(now) },
		func(c, best *conn) bool { return c.idleFor(now) > best.idleFor(now) })
}

// oldest returns the connection open for longest to a peer that this side did not choose
// as a neighbour. That peer has had time to learn of other VMs, whereas a VM that starts
// knows only a few seeds and would be cut off from the fleet if all of them refused it.
func (t *table) oldest(dialed bool, now time.Duration) *conn {
	return t.best(func(c *conn) bool { return c.dialed == dialed && !c.chosen(now) },
		func(c, best *conn) bool { return c.opened < best.opened })
}

// best returns the eligible connection that comes before all others, or nil.
func (t *table) best(eligible func(*conn) bool, before func(c, best *conn) bool) *conn {
	var best *conn
	for _, list := range t.byPeer {
		for _, c := range list {
			if eligible(c) && (best == nil || before(c, best)) {
				best = c
			}
		}
	}
	return best
}

func (t *table) remove(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.byPeer[c.peer]
	i := slices.Index(list, c)
	if i < 0 {
		return
	}
	list = slices.Delete(slices.Clone(list), i, i+1)
	t.count(c, -1)
	if len(list) == 0 {
		delete(t.byPeer, c.peer)
		return
	}
	t.byPeer[c.peer] = list
}

// get returns an open connection to a peer, preferably one that this side dialed, or nil.
func (t *table) get(peer string) *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best *conn
	for _, c := range t.byPeer[peer] {
		if c.ended() {
			continue
		}
		if best == nil || c.dialed && !best.dialed {
			best = c
		}
	}
	return best
}

// all returns every connection in the table.
func (t *table) all() []*conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*conn
	for _, list := range t.byPeer {
		out = append(out, list...)
	}
	return out
}

// close makes add refuse further connections and returns those in the table.
func (t *table) close() []*conn {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	return t.all()
}

// Penalties for peers that sent invalid messages, no hello in time or too much.
const (
	penaltyFirst   = time.Second
	penaltyMax     = time.Minute
	penaltyEntries = 1024
)

// penalties records until when a peer, by name or IP address, is refused.
type penalties struct {
	mu   sync.Mutex
	list *lru.Cache[string, penalty]
}

type penalty struct {
	until  time.Duration
	length time.Duration
}

func (p *penalties) init() {
	list, err := lru.New[string, penalty](penaltyEntries)
	if err != nil {
		panic("peer: " + err.Error())
	}
	p.list = list
}

// add refuses a peer for penaltyFirst. If its last penalty still holds or ended less than
// penaltyMax ago, the new one is twice as long as the last, up to penaltyMax.
func (p *penalties) add(peer string, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	length := penaltyFirst
	if old, ok := p.list.Get(peer); ok && now-old.until < penaltyMax {
		length = min(2*old.length, penaltyMax)
	}
	p.list.Add(peer, penalty{until: now + length, length: length})
}

// refused reports whether a peer is refused now.
func (p *penalties) refused(peer string, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.list.Get(peer)
	return ok && e.until > now
}
