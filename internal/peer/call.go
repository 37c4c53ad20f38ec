package peer

import (
	"context"
	"fmt"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/guard"
	"github.com/sardinespindle/sardinespindle/internal/policy/delegate"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/peer"
)

// Times of watched calls, whose receiver reports at intervals that the request still runs.
const (
	// noticeInterval is the time between two notices that a request runs: long enough that
	// notices cost little beside the request, and short enough that a dead VM is detected
	// within the request's objective.
	noticeInterval = 100 * time.Millisecond
	// watchTick is the time between two checks for missing notices.
	watchTick = 20 * time.Millisecond
	// firstNoticeTicks is how many ticks may pass before the first notice: 100 ms, several
	// times the round trip between availability zones.
	firstNoticeTicks = 5
	// laterNoticeTicks is the same for later notices: 300 ms, so that a call survives a
	// pause of 250 ms in which one notice is lost.
	laterNoticeTicks = 15
)

// ownsID reports whether this side assigned the request id.
func (c *conn) ownsID(id int) bool { return (id%2 == 1) == c.dialed }

// deliverReply passes a reply or a notice to the call that waits for it.
func (c *conn) deliverReply(m *gen.Message) {
	c.mu.Lock()
	w, ok := c.pending[m.Id]
	if m.Accepted == nil {
		delete(c.pending, m.Id)
	}
	c.mu.Unlock()
	switch {
	case !ok:
		c.node.metrics.dropped.WithLabelValues("late_reply").Inc()
	case m.Accepted != nil:
		select {
		case w.notices <- m.Accepted:
		default: // earlier notices are still unread
		}
	default:
		w.reply <- m
	}
}

// handle runs a request's handler in a new goroutine, at most maxRunningHandlers per
// connection. Further requests are dropped, and the sender of a delegated one is notified.
func (c *conn) handle(ctx context.Context, m *gen.Message) {
	var delay time.Duration
	if m.Delegate != nil && m.Id != 0 {
		if delay = c.adjustForDelay(m.Delegate); delay > delegate.MaxDelay {
			c.refuse(m, "late", delay)
			return
		}
	}
	select {
	case c.handlerSlots <- struct{}{}:
	default:
		c.refuse(m, "busy", delay)
		return
	}
	c.markUsed()
	ctx, cancel := context.WithCancel(ctx)
	r := runningRequest{cancel: cancel, finish: func() {}, confirm: func(int) {}}
	var p *progress
	if m.Delegate != nil && m.Id != 0 {
		p = newProgress(func(a gen.Accepted) { c.notify(m.Id, a) })
		ctx = context.WithValue(ctx, progressKey{}, p)
		r.finish, r.confirm = p.requestFinish, p.confirm
	}
	c.addRunning(m.Id, r)
	go func() {
		defer func() { <-c.handlerSlots }()
		defer cancel()
		if p != nil {
			stop := c.sendNotices(p)
			defer stop()
		}
		reply := c.serveGuarded(ctx, m)
		c.removeRunning(m.Id)
		if reply == nil || m.Id == 0 {
			return
		}
		out := *reply
		out.Id = m.Id
		if err := c.send(&out); err != nil {
			c.node.log.Debug("reply not sent", "peer", c.peer, "err", err)
		}
	}()
}

// serveGuarded returns the node's reply to a request, or nil if its handler panics.
func (c *conn) serveGuarded(ctx context.Context, m *gen.Message) (reply *gen.Message) {
	defer guard.Catch(func(err error) {
		c.logPanic(m, err)
		reply = nil
	})
	return c.node.serve(ctx, c.peer, m)
}

// logPanic counts and logs a message whose handler panicked.
func (c *conn) logPanic(m *gen.Message, err error) {
	c.node.metrics.dropped.WithLabelValues("panic").Inc()
	c.node.log.Error("message failed inside this VM", append(guard.LogFields(err), "kind", kind(m), "from", c.peer)...)
}

// runningRequest is a request of the peer that a handler of this VM runs.
type runningRequest struct {
	cancel  context.CancelFunc // for when the peer no longer wants the reply
	finish  func()             // asks the handler of a delegated request to finish
	confirm func(sequence int) // confirms what the handler of a delegated search announced
}

// addRunning records a running request, unless it has no id: the peer cannot refer to it.
func (c *conn) addRunning(id int, r runningRequest) {
	if id == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[id] = r
}

func (c *conn) removeRunning(id int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running, id)
}

// runningRequest returns the running request with an id; one without effect if it has ended.
func (c *conn) runningRequest(id int) runningRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, ok := c.running[id]; ok {
		return r
	}
	return runningRequest{cancel: func() {}, finish: func() {}, confirm: func(int) {}}
}

// refuse drops a request, and tells the sender of a delegated one that nothing was done for it.
func (c *conn) refuse(m *gen.Message, reason string, delay time.Duration) {
	c.node.metrics.dropped.WithLabelValues(reason).Inc()
	if m.Delegate == nil || m.Id == 0 {
		return
	}
	c.node.log.Info("delegated request refused", "id", m.Delegate.RequestId, "from", c.peer, "reason", reason,
		"delay_ms", delay.Milliseconds())
	c.notify(m.Id, gen.Accepted{})
}

// adjustForDelay corrects the times of a delegated request by the delay of its message and
// returns the delay. A request that took longer than delegate.MaxDelay was given up by its sender.
func (c *conn) adjustForDelay(d *gen.Delegate) time.Duration {
	c.mu.Lock()
	delay := c.arrivals.Delay(time.Duration(d.SentUs)*time.Microsecond, c.node.now())
	c.mu.Unlock()
	us := int(delay.Microseconds())
	d.ElapsedUs, d.AnswerUs, d.GiveUpUs = d.ElapsedUs+us, d.AnswerUs-us, d.GiveUpUs-us
	return delay
}

// sendNotices reports to the peer that its request runs, now and at each noticeInterval
// until stop is called.
func (c *conn) sendNotices(p *progress) (stop func()) {
	p.repeat()
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
				p.repeat()
			}
		}
	}()
	return func() { close(done) }
}

// notify sends a notice about a request of the peer.
func (c *conn) notify(id int, a gen.Accepted) {
	if err := c.send(&gen.Message{Id: id, Accepted: &a}); err != nil {
		c.node.log.Debug("notice not sent", "peer", c.peer, "err", err)
	}
}

// call is a request that awaits its reply. Its channels are buffered, so that the read
// loop never blocks on them.
type call struct {
	id      int
	reply   chan *gen.Message
	notices chan *gen.Accepted
}

// maxUnreadNotices bounds the notices of one call that wait to be read; further ones are
// dropped, since a later one repeats what they say.
const maxUnreadNotices = 4

// call sends a request and waits for its reply. If no reply comes in time, it sends a
// cancel, so that the peer stops its work.
func (c *conn) call(ctx context.Context, m *gen.Message, watch *Watch) (*gen.Message, error) {
	c.markUsed()
	w, err := c.newCall()
	if err != nil {
		return nil, err
	}
	defer c.removeCall(w.id)
	request := *m
	request.Id = w.id
	if err := c.send(&request); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	reply, err := c.await(ctx, w, watch)
	if err != nil {
		if err := c.send(&gen.Message{Cancel: &gen.Cancel{Request: w.id}}); err != nil {
			c.node.log.Debug("cancel not sent", "peer", c.peer, "err", err)
		}
		return nil, fmt.Errorf("call %s: %w", c.peer, err)
	}
	return reply, nil
}

// await waits for the reply to a request. A watched call fails with ErrSilent if the first
// notice or a later one is overdue.
func (c *conn) await(ctx context.Context, w *call, watch *Watch) (*gen.Message, error) {
	var tick <-chan time.Time
	var finish <-chan struct{}
	if watch != nil {
		finish = watch.Finish
		t := time.NewTicker(watchTick)
		defer t.Stop()
		tick = t.C
	}
	// Counts ticks instead of time: while this process is paused there are none, so its own
	// pause is not taken for the peer's silence.
	silentTicks, limit := 0, firstNoticeTicks
	for {
		select {
		case r := <-w.reply:
			return r, nil
		case notice := <-w.notices:
			if watch != nil && watch.OnNotice != nil {
				watch.OnNotice(notice, func() { c.confirm(w.id, notice.Announced) })
			}
			if !notice.Running {
				return nil, fmt.Errorf("%w: VM busy", ErrNotSent)
			}
			silentTicks, limit = 0, laterNoticeTicks
		case <-finish:
			finish = nil
			if err := c.send(&gen.Message{Finish: &gen.Finish{Request: w.id}}); err != nil {
				return nil, err
			}
		case <-tick:
			if silentTicks++; silentTicks > limit {
				return nil, ErrSilent
			}
		case <-c.done:
			return nil, errClosed
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// confirm tells the peer that what it announced about a request is recorded.
func (c *conn) confirm(request int, a *gen.Announced) {
	if a == nil {
		return
	}
	if err := c.send(&gen.Message{Confirmed: &gen.Confirmed{Request: request, Sequence: a.Sequence}}); err != nil {
		c.node.log.Debug("confirmation not sent", "peer", c.peer, "err", err)
	}
}

func (c *conn) newCall() (*call, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) >= maxPendingCalls {
		return nil, fmt.Errorf("%w: call %s: %d requests under way", ErrNotSent, c.peer, maxPendingCalls)
	}
	w := &call{id: c.nextID, reply: make(chan *gen.Message, 1), notices: make(chan *gen.Accepted, maxUnreadNotices)}
	c.nextID += 2
	c.pending[w.id] = w
	return w, nil
}

func (c *conn) removeCall(id int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}
