package upstream

import "time"

const (
	// turnedAwayWithin is how young a connection ends that the upstream never wanted: it
	// accepts and resets what is beyond its bound at once.
	turnedAwayWithin = time.Second
	// crowdedFor is how long such an upstream counts as crowded; it doubles with each
	// further connection in a row that it turns away, up to crowdedMost. Dialing sooner
	// keeps an upstream at its bound, whose requests then get lost with the connections.
	crowdedFor    = time.Second
	crowdedMost   = 8 * time.Second
	mostDoublings = 3
)

// crowded reports whether the upstream turned a connection away of late and has answered
// nothing since.
func (p *pool) crowded(now time.Duration) bool { return now < time.Duration(p.crowdedUntil.Load()) }

// turnedAway takes note of how a connection ended. The lock is held.
func (p *pool) turnedAway(s *sock) {
	now := p.now()
	if !s.turnedAway() || now-s.openedAt >= turnedAwayWithin {
		return
	}
	wait := min(crowdedFor<<min(p.turned, mostDoublings), crowdedMost)
	p.turned++
	p.crowdedUntil.Store(int64(now + wait))
}

// answered takes note that the upstream answers on a connection.
func (p *pool) answered() {
	if p.crowdedUntil.Swap(0) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.turned = 0
}
