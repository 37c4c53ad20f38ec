// Package generation decides whether a manifest that a VM learns of may replace the one in
// force. A VM that follows these decisions never goes back to a lower generation, nor
// changes between two manifests of the same generation. The package does no I/O and takes
// no locks; the owner guards each Gate.
package generation

import "time"

// SettleTime is how long a VM delays a new generation, so that it learns of a second commit of
// the same generation before either is in force.
const SettleTime = 200 * time.Millisecond

// Head identifies a manifest by its generation and the digest of its head.
type Head struct {
	Generation int
	Digest     string
}

// Verdict is the decision on an offered manifest.
type Verdict int

// Verdicts on an offered manifest.
const (
	// Newer: the offer may come into force once it has settled.
	Newer Verdict = iota
	// Same: the offer is already in force.
	Same
	// Older: the offer has a lower generation and must not come into force.
	Older
	// Conflict: same generation, other content; it must not come into force, and an
	// operator has to commit a higher generation.
	Conflict
)

// Decide compares an offer with the manifest in force; current is the zero Head if there
// is none.
func Decide(current, offer Head) Verdict {
	switch {
	case offer.Generation > current.Generation:
		return Newer
	case offer.Generation < current.Generation:
		return Older
	case offer.Digest == current.Digest:
		return Same
	default:
		return Conflict
	}
}

// maxPending is the most generations that a Gate holds. It keeps the highest ones.
const maxPending = 16

// pending is a generation that was offered and not dropped since. It may be the one in
// force.
type pending struct {
	digest     string
	receivedAt time.Duration
	// conflicting says that the generation was offered with two digests.
	conflicting bool
}

// Gate holds new generations back until they have settled. A generation offered with two
// digests is conflicting and does not settle. The zero value is ready to use.
type Gate struct {
	pending map[int]*pending
}

// Offer records an offer made at now and reports whether its generation is
// conflicting. An offer below maxPending higher generations is not recorded.
func (g *Gate) Offer(now time.Duration, h Head) bool {
	if g.pending == nil {
		g.pending = make(map[int]*pending)
	}
	p, ok := g.pending[h.Generation]
	if !ok {
		if !g.makeRoom(h.Generation) {
			return false
		}
		g.pending[h.Generation] = &pending{digest: h.Digest, receivedAt: now}
		return false
	}
	if p.digest != h.Digest {
		p.conflicting = true
	}
	return p.conflicting
}

// Settled reports whether an offer may come into force at now: its generation was first
// offered at least SettleTime ago, and with no other digest.
func (g *Gate) Settled(now time.Duration, h Head) bool {
	p, ok := g.pending[h.Generation]
	return ok && !p.conflicting && p.digest == h.Digest && now-p.receivedAt >= SettleTime
}

// Conflicting reports whether a generation was offered with two digests.
func (g *Gate) Conflicting(generation int) bool {
	p, ok := g.pending[generation]
	return ok && p.conflicting
}

// DropBelow drops the generations below the one in force. The one in force is kept, so that
// Conflicting still reports a conflict on it.
func (g *Gate) DropBelow(inForce int) {
	for n := range g.pending {
		if n < inForce {
			delete(g.pending, n)
		}
	}
}

// makeRoom drops the lowest pending generation if there are maxPending. It reports false and
// drops none if the incoming one is lower than all of them.
func (g *Gate) makeRoom(incoming int) bool {
	if len(g.pending) < maxPending {
		return true
	}
	lowest := incoming
	for n := range g.pending {
		lowest = min(lowest, n)
	}
	delete(g.pending, lowest)
	return lowest < incoming
}
