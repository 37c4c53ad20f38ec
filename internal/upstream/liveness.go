package upstream

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/pause"
)

// liveness is what is found of an upstream after a connection to it was lost.
type liveness int

const (
	livenessUnknown liveness = iota
	refuses                  // it refuses a connection: its process has ended
	accepts                  // it accepts one, or another one is still open
)

const (
	// livenessTimeout bounds the dial that checks whether an upstream's process has ended.
	livenessTimeout = 100 * time.Millisecond
	// endNoticeTime is how long it takes until this VM has noticed the end of each connection to an upstream that ended.
	endNoticeTime = 4 * time.Millisecond
)

// checkLiveness finds out whether the upstream's process has ended, after a connection was lost. A connection that it
// accepts goes to the pool.
func (p *pool) checkLiveness(ctx context.Context) liveness {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), livenessTimeout)
	defer cancel()
	if p.hasIdle() {
		pause.Sleep(ctx, endNoticeTime)
	}
	w := &waiter{ready: make(chan struct{})}
	c, err := p.takeOrWait(w)
	if err != nil {
		return livenessUnknown
	}
	if c != nil {
		p.put(c)
		return accepts
	}
	select {
	case <-w.ready:
	case <-ctx.Done():
		p.cancelWait(w)
		return livenessUnknown
	}
	if w.conn != nil {
		p.put(w.conn)
		return accepts
	}
	if errors.Is(w.err, syscall.ECONNREFUSED) {
		return refuses
	}
	return livenessUnknown
}

// hasIdle reports whether the pool holds an idle connection.
func (p *pool) hasIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0
}
