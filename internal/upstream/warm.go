package upstream

import (
	"time"

	"github.com/sardinespindle/sardinespindle/internal/policy/connbudget"
)

const (
	// maxIdleTime is how long a connection beyond those kept warm may stay idle.
	maxIdleTime = 10 * time.Second
	peakWindow  = 10 * time.Second
)

// recordDemand records that n connections are in use or waited for. The lock is held.
func (p *pool) recordDemand(n int) {
	now := p.now()
	if n >= p.peakDemand || now-p.peakAt > peakWindow {
		p.peakDemand, p.peakAt = min(n, p.maxOpen), now
	}
}

// replaceDropped dials a replacement for a connection that was dropped because its
// attempt was cancelled or timed out, so that the next request does not wait for a dial.
func (p *pool) replaceDropped() {
	if p.path.isStranded() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open < p.warmTarget(p.now(), false) && !p.saturated(p.now()) {
		p.startDial()
	}
}

// warmTarget returns how many connections to keep open ahead of need; near says that the
// upstream is in this VM's availability zone. The lock is held.
func (p *pool) warmTarget(now time.Duration, near bool) int {
	return connbudget.Warm(connbudget.Demand{
		Used: p.used, SinceUse: now - p.usedAt, Peak: p.peakDemand, Near: near, Dialed: p.dialed,
	}, p.maxOpen)
}

// warm opens connections ahead of need, so that a request does not wait for a dial. It closes
// those beyond them that were idle for over maxIdleTime.
func (p *pool) warm(near bool) {
	p.mu.Lock()
	now := p.now()
	want := p.warmTarget(now, near)
	if (!p.dialFailed || now-p.dialFailedAt > dialBackoff) && !p.saturated(now) {
		for p.open < want {
			p.startDial()
		}
	}
	var expired []*conn
	for len(p.idle) > 0 && p.open-p.closing > want && now-p.idle[0].idleSince > maxIdleTime {
		p.markClosing(p.idle[0])
		expired = append(expired, p.idle[0])
		p.idle = p.idle[1:]
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.drop()
	}
}
