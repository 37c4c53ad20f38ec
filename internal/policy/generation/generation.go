// Package generation decides whether a manifest that a VM hears of may take the
// place of the one in force. It is pure.
package generation

import "time"

// Settle is how long a VM holds a new generation back, so that two commits of the
// same generation are seen before either is in force.
const Settle = 200 * time.Millisecond

// Head names one manifest: its generation and the digest of its head.
type Head struct {
	Generation int
	Digest     string
}

// Verdict is the decision on an offered manifest.
type Verdict int

// Verdicts.
const (
	// Newer: the offer may be taken once it has settled.
	Newer Verdict = iota
	// Same: the offer is in force already.
	Same
	// Older: the offer is of a lower generation and is never taken.
	Older
	// Conflict: same generation, other content; never taken, and an alarm.
	Conflict
)

// Decide compares an offer with the manifest in force; the zero Head stands for none.
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

// maxPending bounds the generations that wait at one time.
const maxPending = 16

// pending is a generation heard of and not yet in force.
type pending struct {
	digest string
	since  time.Duration
	// torn says that two digests were heard for the generation.
	torn bool
}

// Gate holds new generations until they have settled. A generation heard with two
// digests is torn and never passes. The zero value is ready; it has no lock.
type Gate struct {
	waiting map[int]*pending
}

// Hear notes an offer at a time. It reports whether the offer is torn.
func (g *Gate) Hear(now time.Duration, h Head) bool {
	if g.waiting == nil {
		g.waiting = make(map[int]*pending)
	}
	p, ok := g.waiting[h.Generation]
	if !ok {
		g.makeRoom(h.Generation)
		g.waiting[h.Generation] = &pending{digest: h.Digest, since: now}
		return false
	}
	if p.digest != h.Digest {
		p.torn = true
	}
	return p.torn
}

// Ripe reports whether an offer has settled and may be in force.
func (g *Gate) Ripe(now time.Duration, h Head) bool {
	p, ok := g.waiting[h.Generation]
	return ok && !p.torn && p.digest == h.Digest && now-p.since >= Settle
}

// Torn reports whether a generation was heard with two digests.
func (g *Gate) Torn(generation int) bool {
	p, ok := g.waiting[generation]
	return ok && p.torn
}

// Forget drops generations below the one in force; torn ones at it are kept.
func (g *Gate) Forget(inForce int) {
	for n := range g.waiting {
		if n < inForce {
			delete(g.waiting, n)
		}
	}
}

// makeRoom drops the lowest waiting generation where the table is full.
func (g *Gate) makeRoom(incoming int) {
	if len(g.waiting) < maxPending {
		return
	}
	lowest := incoming
	for n := range g.waiting {
		lowest = min(lowest, n)
	}
	delete(g.waiting, lowest)
}
