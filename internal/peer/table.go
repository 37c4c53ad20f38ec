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
	// serving counts the connections that are served; it rises under mu and only
	// while closed is false.
	serving sync.WaitGroup
}

func (t *table) init() { t.byPeer = map[string][]*conn{} }

// add takes a connection in. It returns those to close for it: earlier
// incarnations of the peer, or the one that is missed least; ok is false where c
// itself has no room.
func (t *table) add(c *conn, now time.Duration) (victims []*conn, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, false
	}
	for _, old := range t.byPeer[c.peer] {
		if old.inc != c.inc {
			victims = append(victims, old)
		}
	}
	if len(t.byPeer[c.peer])-len(victims) >= maxPerPeer {
		return victims, false
	}
	if c.dialed && t.dialed >= maxDialed || !c.dialed && t.accepted >= maxAccepted {
		least := t.idlest(c.dialed, now)
		if least == nil {
			least = t.oldest(c.dialed, now)
		}
		if least == nil {
			return victims, false
		}
		victims = append(victims, least)
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

// idlest returns the connection unused longest that does not carry gossip.
func (t *table) idlest(dialed bool, now time.Duration) *conn {
	return t.first(func(c *conn) bool { return c.dialed == dialed && !c.gossips(now) },
		func(c, best *conn) bool { return c.idle(now) > best.idle(now) })
}

// oldest returns the connection open longest that this side has not chosen. Its peer has had
// time to learn of others; a VM that starts knows only a few seeds, and is cut off from the
// fleet where these have no room.
func (t *table) oldest(dialed bool, now time.Duration) *conn {
	return t.first(func(c *conn) bool { return c.dialed == dialed && !c.chosen(now) },
		func(c, best *conn) bool { return c.since < best.since })
}

// first returns the connection that comes before all others that may be taken.
func (t *table) first(may func(*conn) bool, before func(c, best *conn) bool) *conn {
	var best *conn
	for _, list := range t.byPeer {
		for _, c := range list {
			if may(c) && (best == nil || before(c, best)) {
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

// get returns an open connection to a peer, one that this side dialed first.
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

// all returns every open connection.
func (t *table) all() []*conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*conn
	for _, list := range t.byPeer {
		out = append(out, list...)
	}
	return out
}

// shut refuses further connections and returns the open ones.
func (t *table) shut() []*conn {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	return t.all()
}

// Penalties of peers that sent garbage or too much.
const (
	penaltyFirst   = time.Second
	penaltyMax     = time.Minute
	penaltyEntries = 1024
)

// penalties remembers for how long a peer, by name or IP number, is refused.
type penalties struct {
	mu   sync.Mutex
	list *lru.Cache[string, penalty]
}

type penalty struct {
	until time.Duration
	last  time.Duration
}

func (p *penalties) init() {
	list, err := lru.New[string, penalty](penaltyEntries)
	if err != nil {
		panic("peer: " + err.Error())
	}
	p.list = list
}

// add refuses a peer for twice as long as the last time.
func (p *penalties) add(who string, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	length := penaltyFirst
	if old, ok := p.list.Get(who); ok && now-old.until < penaltyMax {
		length = min(2*old.last, penaltyMax)
	}
	p.list.Add(who, penalty{until: now + length, last: length})
}

// refused reports whether a peer is refused now.
func (p *penalties) refused(who string, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.list.Get(who)
	return ok && e.until > now
}
