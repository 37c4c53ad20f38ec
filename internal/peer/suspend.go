package peer

import (
	"context"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/pause"
)

// Times by which a suspended process is noticed.
const (
	tickInterval = 200 * time.Millisecond
	// suspendLimit is how long the process may stand still before what its sockets
	// hold counts as old: facts in there have aged unseen.
	suspendLimit = 2 * time.Second
)

// watchClock notices that the process was suspended and ends the connections of
// before, whose buffered messages are old.
func (n *Node) watchClock(ctx context.Context) {
	for {
		if n.suspended() {
			n.log.Warn("process stood still; connections are opened anew")
			for _, c := range n.table.all() {
				c.close(cutSuspend)
			}
		}
		n.tick.Store(int64(n.now()))
		if !pause.For(ctx, tickInterval) {
			n.running.Store(false)
			return
		}
	}
}

// suspended reports whether the process stood still and watchClock has not ended
// the connections of before yet.
func (n *Node) suspended() bool {
	return n.running.Load() && n.now()-time.Duration(n.tick.Load()) > suspendLimit
}
