package upstream

import "time"

const (
	// A connection counts as refused if the upstream closes it at an age below
	// refusalWindow and has sent nothing on it. An upstream at its connection limit
	// accepts a new connection and resets it at once.
	refusalWindow = time.Second
	// saturationBackoff is how long an upstream counts as saturated after it refused a
	// connection. It doubles with each further refusal in a row, up to
	// maxSaturationBackoff. Dialing sooner keeps the upstream at its limit, and requests
	// are lost with the connections that it resets.
	saturationBackoff    = time.Second
	maxSaturationBackoff = 8 * time.Second
	maxDoublings         = 3
)

// saturated reports whether the upstream recently refused a connection and has not
// replied to an attempt since. Replies to probes do not count.
func (p *pool) saturated(now time.Duration) bool { return now < time.Duration(p.saturatedUntil.Load()) }

// recordRefusal marks the upstream as saturated if it refused the closed connection s.
// The lock is held.
func (p *pool) recordRefusal(s *sock) {
	now := p.now()
	if !s.refused() || now-s.openedAt >= refusalWindow {
		return
	}
	wait := min(saturationBackoff<<min(p.consecutiveRefusals, maxDoublings), maxSaturationBackoff)
	p.consecutiveRefusals++
	p.saturatedUntil.Store(int64(now + wait))
}

// clearSaturation ends the saturation after the upstream replied to an attempt.
func (p *pool) clearSaturation() {
	if p.saturatedUntil.Swap(0) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.consecutiveRefusals = 0
}
