package peer

import (
	"context"
	"fmt"
	"time"

	gen "github.com/sardinespindle/sardinespindle/schema/gen/peer"
)

// Times of watched calls.
const (
	// noticeInterval is the time between two notices that a request runs: rare enough to
	// cost nothing beside the request, often enough to tell a dead VM within an objective.
	noticeInterval = 100 * time.Millisecond
	// watchInterval is the time between two looks at a call.
	watchInterval = 20 * time.Millisecond
	// acceptTicks is how many looks the first notice may take: 100 ms, several times the
	// way there and back between availability zones.
	acceptTicks = 5
	// silentTicks is the same for later notices: 300 ms, so that a pause of 250 ms and one
	// notice that is lost in it are borne.
	silentTicks = 15
)

// mine reports whether an id was given by this side.
func (c *conn) mine(id int) bool { return (id%2 == 1) == c.dialed }

func (c *conn) resolve(m *gen.Message) {
	c.mu.Lock()
	waiting, ok := c.pending[m.Id]
	if m.Accepted == nil {
		delete(c.pending, m.Id)
	}
	c.mu.Unlock()
	switch {
	case !ok:
		c.node.metrics.dropped.WithLabelValues("late_reply").Inc()
	case m.Accepted != nil:
		select {
		case waiting.heard <- *m.Accepted:
		default: // the last notice was not looked at yet
		}
	default:
		waiting.reply <- m
	}
}

// handle runs a request's handler on a goroutine of its own, of which there are
// only so many for each connection.
func (c *conn) handle(ctx context.Context, m *gen.Message) {
	select {
	case c.slots <- struct{}{}:
	default:
		c.node.metrics.dropped.WithLabelValues("busy").Inc()
		if m.Delegate != nil && m.Id != 0 {
			c.notify(m.Id, false)
		}
		return
	}
	c.touch()
	ctx, cancel := context.WithCancel(ctx)
	c.setHandler(m.Id, cancel)
	go func() {
		defer func() { <-c.slots }()
		defer cancel()
		if m.Delegate != nil && m.Id != 0 {
			stop := c.accept(m.Id)
			defer stop()
		}
		reply := c.node.serve(ctx, c.peer, m)
		c.setHandler(m.Id, nil)
		if reply == nil || m.Id == 0 {
			return
		}
		answer := *reply
		answer.Id = m.Id
		if err := c.send(&answer); err != nil {
			c.node.log.Debug("reply not sent", "peer", c.peer, "err", err)
		}
	}()
}

// setHandler notes what ends the handler of a request; nil once it has ended.
func (c *conn) setHandler(id int, cancel context.CancelFunc) {
	if id == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancel == nil {
		delete(c.handling, id)
		return
	}
	c.handling[id] = cancel
}

// cancelHandler ends the handler of a request whose reply the peer no longer wants.
func (c *conn) cancelHandler(id int) {
	c.mu.Lock()
	cancel := c.handling[id]
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// accept tells the peer that its request runs, now and from time to time, until stop is
// called.
func (c *conn) accept(id int) (stop func()) {
	c.notify(id, true)
	done := make(chan struct{})
	go func() {
		t := time.NewTicker(noticeInterval)
		defer t.Stop()
		for {
			select {
			case <-done:
				return
			case <-c.done:
				return
			case <-t.C:
				c.notify(id, true)
			}
		}
	}()
	return func() { close(done) }
}

// notify tells the peer whether its request runs.
func (c *conn) notify(id int, runs bool) {
	if err := c.send(&gen.Message{Id: id, Accepted: &runs}); err != nil {
		c.node.log.Debug("notice not sent", "peer", c.peer, "err", err)
	}
}

// call is a request under way to the peer. Its channels are buffered.
type call struct {
	id    int
	reply chan *gen.Message
	heard chan bool // whether the request runs, as the peer said
}

// call sends a request and waits for its reply. Where the wait ends first, the peer is
// told, so that it ends its work.
func (c *conn) call(ctx context.Context, m *gen.Message, watched bool) (*gen.Message, error) {
	c.touch()
	waiting, err := c.expect()
	if err != nil {
		return nil, err
	}
	defer c.forget(waiting.id)
	request := *m
	request.Id = waiting.id
	if err := c.send(&request); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	reply, err := c.await(ctx, waiting, watched)
	if err != nil {
		if err := c.send(&gen.Message{Cancel: &gen.Cancel{Request: waiting.id}}); err != nil {
			c.node.log.Debug("cancel not sent", "peer", c.peer, "err", err)
		}
		return nil, fmt.Errorf("call %s: %w", c.peer, err)
	}
	return reply, nil
}

// await waits for the reply to a request; a watched one fails with ErrSilent once the peer
// has said nothing of it for too long.
func (c *conn) await(ctx context.Context, w *call, watched bool) (*gen.Message, error) {
	var tick <-chan time.Time
	if watched {
		t := time.NewTicker(watchInterval)
		defer t.Stop()
		tick = t.C
	}
	// Ticks, not time, are counted: while this process stands still there are none.
	quiet, limit := 0, acceptTicks
	for {
		select {
		case r := <-w.reply:
			return r, nil
		case runs := <-w.heard:
			if !runs {
				return nil, fmt.Errorf("%w: VM busy", ErrNotSent)
			}
			quiet, limit = 0, silentTicks
		case <-tick:
			if quiet++; quiet > limit {
				return nil, ErrSilent
			}
		case <-c.done:
			return nil, errClosed
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (c *conn) expect() (*call, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) >= maxPending {
		return nil, fmt.Errorf("%w: call %s: %d requests under way", ErrNotSent, c.peer, maxPending)
	}
	w := &call{id: c.next, reply: make(chan *gen.Message, 1), heard: make(chan bool, 1)}
	c.next += 2
	c.pending[w.id] = w
	return w, nil
}

func (c *conn) forget(id int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}
