package upstream

import "time"

const (
	// turnedAwayWithin is how young a connection ends that the upstream never wanted: it
	// accepts and resets what is beyond its bound at once.
	refusalWindow = time.Second
	// crowdedFor is how long such an upstream counts as crowded; it doubles with each
	// further connection in a row that it turns away, up to crowdedMost. Dialing sooner
	// keeps an upstream at its bound, whose requests then get lost with the connections.
	saturationBackoff    = time.Second
	maxSaturationBackoff = 8 * time.Second
	maxDoublings         = 3
)

// crowded reports whether the upstream turned a connection away of late and has answered
// nothing since.
func (p *pool) saturated(now time.Duration) bool { return now < time.Duration(p.saturatedUntil.Load()) }

// turnedAway takes note of how a connection ended. The lock is held.
func (p *pool) recordRefusal(s *sock) {
	now := p.now()
	if !s.refused() || now-s.openedAt >= refusalWindow {
		return
	}
	wait := min(saturationBackoff<<min(p.consecutiveRefusals, maxDoublings), maxSaturationBackoff)
	p.consecutiveRefusals++
	p.saturatedUntil.Store(int64(now + wait))
}

// answered takes note that the upstream answers on a connection.
func (p *pool) clearSaturation() {
	if p.saturatedUntil.Swap(0) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.consecutiveRefusals = 0
}
