package peer

import (
	"context"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/pause"
)

// Times for detecting that the process was paused.
const (
	clockTick = 200 * time.Millisecond
	// maxPause is the longest pause after which the messages in the sockets' buffers are
	// still used. A fact's remaining TTL does not shrink while it is buffered there, so after
	// a longer pause it would expire too late.
	maxPause = 2 * time.Second
)

// watchClock detects that the process was paused and closes the connections opened
// before, whose buffered messages are outdated.
func (n *Node) watchClock(ctx context.Context) {
	for {
		if n.paused() {
			n.log.Warn("process stood still; connections are opened anew")
			for _, c := range n.table.all() {
				c.close(cutSuspend)
			}
		}
		n.lastTick.Store(int64(n.now()))
		if !pause.Sleep(ctx, clockTick) {
			n.running.Store(false)
			return
		}
	}
}

// paused reports whether the process was paused for longer than maxPause and watchClock
// has yet to close the connections opened before.
func (n *Node) paused() bool {
	return n.running.Load() && n.now()-time.Duration(n.lastTick.Load()) > maxPause
}
