package coverage

import (
	"time"

	"github.com/sardinespindle/sardinespindle/internal/policy/snapshot"
)

const (
	holdingsPerShard = 4
	holdingFor       = 10 * time.Minute
	// A shard that holds less than 1/shrink of what its last index version held
	// must be confirmed by a second replica.
	shrink = 2
)

// Verdict says whether a reply is its shard's whole part.
type Verdict int

// Verdicts on a reply.
const (
	// Whole: the reply covers its shard.
	Whole Verdict = iota
	// Short: another reply showed that the shard holds more.
	Short
	// Doubtful: the shard may hold more; a second replica must confirm.
	Doubtful
)

// Count is what one reply says of its shard.
type Count struct {
	Snapshot snapshot.ID
	Address  string
	Held     int // documents held, as the reply says
	Found    int // documents in the reply
	Replicas int // replicas of the shard
}

// Holdings remembers how many documents one shard held. The zero value knows
// nothing. Times are measured from any fixed start.
type Holdings struct {
	entries [holdingsPerShard]holding
}

type holding struct {
	id    snapshot.ID
	set   bool
	most  int
	at    time.Duration
	doubt bool
	by    string // replica that first said most
}

// Judge says whether a reply is whole, and remembers what it says.
func (h *Holdings) Judge(c Count, now time.Duration) Verdict {
	if c.Found > c.Held {
		return Short
	}
	e := h.entry(c.Snapshot, now)
	switch {
	case e == nil:
		e = h.add(c, now)
	case c.Held < e.most:
		return Short
	case c.Held > e.most:
		h.raise(e, c)
	case e.doubt && c.Address != e.by:
		e.doubt = false
	}
	e.at = now
	if e.doubt {
		return Doubtful
	}
	return Whole
}

// Held returns how many documents the shard holds in a snapshot, where known.
func (h *Holdings) Held(id snapshot.ID, now time.Duration) (int, bool) {
	e := h.entry(id, now)
	if e == nil || e.doubt {
		return 0, false
	}
	return e.most, true
}

func (h *Holdings) raise(e *holding, c Count) {
	e.most = c.Held
	e.by = c.Address
	e.doubt = h.suspicious(c)
}

func (h *Holdings) add(c Count, now time.Duration) *holding {
	doubt := h.suspicious(c)
	slot := &h.entries[0]
	for i := range h.entries {
		e := &h.entries[i]
		if !e.set {
			slot = e
			break
		}
		if e.at < slot.at {
			slot = e
		}
	}
	*slot = holding{id: c.Snapshot, set: true, most: c.Held, at: now, doubt: doubt, by: c.Address}
	return slot
}

// suspicious reports whether a count looks like that of a server still loading: none
// at all where a second replica could confirm it, or far fewer than another index
// version of the same partition map.
func (h *Holdings) suspicious(c Count) bool {
	if c.Held == 0 && c.Replicas > 1 {
		return true
	}
	for _, e := range h.entries {
		if e.set && !e.doubt && e.id != c.Snapshot && e.id.Map == c.Snapshot.Map && c.Held*shrink < e.most {
			return true
		}
	}
	return false
}

func (h *Holdings) entry(id snapshot.ID, now time.Duration) *holding {
	for i := range h.entries {
		e := &h.entries[i]
		if e.set && e.id == id && now-e.at < holdingFor {
			return e
		}
	}
	return nil
}
