package coverage

import (
	"time"

	"github.com/sardinespindle/sardinespindle/internal/policy/snapshot"
)

const (
	snapshotsPerShard = 4
	countTTL          = 10 * time.Minute
	// A count below 1/maxShrinkFactor of the confirmed count of another index version with the
	// same partition map must be confirmed by a second replica.
	maxShrinkFactor = 2
)

// Completeness says whether a reply covers all documents of its shard.
type Completeness int

// Results of Record.
const (
	// Complete: nothing indicates that the shard holds more documents.
	Complete Completeness = iota
	// Incomplete: another reply showed that the shard holds more documents, or the reply
	// returns more documents than the replica reports to hold.
	Incomplete
	// Unconfirmed: the shard may hold more; a second replica must confirm the count.
	Unconfirmed
)

// Count is the document count that one reply reports for its shard.
type Count struct {
	Snapshot snapshot.ID
	Address  string
	Held     int // documents held by the replica, as reported in the reply
	Returned int // documents in the reply
	Replicas int // replicas of the shard
}

// ShardCounts records how many documents one shard holds, for the snapshots that replies
// named most recently. The zero value is empty. Times are relative to any fixed point.
type ShardCounts struct {
	entries [snapshotsPerShard]countEntry
}

type countEntry struct {
	id          snapshot.ID
	used        bool
	documents   int
	seenAt      time.Duration
	unconfirmed bool
	reportedBy  string // address of the replica that first reported this count
}

// Record returns whether a reply is complete, and records its count.
func (h *ShardCounts) Record(c Count, now time.Duration) Completeness {
	if c.Returned > c.Held {
		return Incomplete
	}
	e := h.find(c.Snapshot, now)
	switch {
	case e == nil:
		e = h.add(c, now)
	case c.Held < e.documents:
		return Incomplete
	case c.Held > e.documents:
		h.update(e, c)
	case e.unconfirmed && c.Address != e.reportedBy:
		e.unconfirmed = false
	}
	e.seenAt = now
	if e.unconfirmed {
		return Unconfirmed
	}
	return Complete
}

// Held returns how many documents the shard holds in a snapshot, and whether that is
// known and confirmed.
func (h *ShardCounts) Held(id snapshot.ID, now time.Duration) (int, bool) {
	e := h.find(id, now)
	if e == nil || e.unconfirmed {
		return 0, false
	}
	return e.documents, true
}

func (h *ShardCounts) update(e *countEntry, c Count) {
	e.documents = c.Held
	e.reportedBy = c.Address
	e.unconfirmed = h.needsConfirmation(c)
}

func (h *ShardCounts) add(c Count, now time.Duration) *countEntry {
	unconfirmed := h.needsConfirmation(c)
	slot := &h.entries[0]
	for i := range h.entries {
		e := &h.entries[i]
		if !e.used {
			slot = e
			break
		}
		if e.seenAt < slot.seenAt {
			slot = e
		}
	}
	*slot = countEntry{id: c.Snapshot, used: true, documents: c.Held, seenAt: now, unconfirmed: unconfirmed, reportedBy: c.Address}
	return slot
}

// needsConfirmation reports whether a count looks like that of a replica that is still
// loading: zero documents where a second replica could confirm it, or less than
// 1/maxShrinkFactor of the confirmed count of another index version with the same partition
// map.
func (h *ShardCounts) needsConfirmation(c Count) bool {
	if c.Held == 0 && c.Replicas > 1 {
		return true
	}
	for _, e := range h.entries {
		if e.used && !e.unconfirmed && e.id != c.Snapshot && e.id.Map == c.Snapshot.Map && c.Held*maxShrinkFactor < e.documents {
			return true
		}
	}
	return false
}

func (h *ShardCounts) find(id snapshot.ID, now time.Duration) *countEntry {
	for i := range h.entries {
		e := &h.entries[i]
		if e.used && e.id == id && now-e.seenAt < countTTL {
			return e
		}
	}
	return nil
}
