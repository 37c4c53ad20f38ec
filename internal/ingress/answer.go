package ingress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/policy/clientlimit"
	"github.com/sardinespindle/sardinespindle/internal/readlimit"
)

// answerCount counts what a connection holds for the answer to its request: first what is expected, then
// the replies that are read for it, then the answer itself. What was counted before is not counted again.
type answerCount struct {
	mu sync.Mutex // guards the fields below
	// request changes with each request of the connection: a reply may still be read when its request is
	// answered.
	request           int
	expected, replies int64

	counted atomic.Int64 // the larger of expected and replies; written with the lock held
	closing atomic.Int64 // what the gate counts of it as closing
}

var errRequestEnded = errors.New("the request that the reply is for has ended")

// raise counts an answer of n bytes if there is room, or if it is held already. It returns how many bytes
// lack room.
func (c *Conn) raise(n int64, held bool) (missing int64) {
	a := &c.answer
	a.mu.Lock()
	defer a.mu.Unlock()
	more := max(n-a.counted.Load(), 0)
	switch {
	case held:
		c.gate.answers.used.Add(more)
	case more > 0 && !c.gate.answers.try(more, 0):
		return more
	}
	a.expected = max(a.expected, n)
	a.counted.Add(more)
	return 0
}

// add counts n more bytes of a reply that then has size, if there is room. It returns how many bytes lack
// room.
func (c *Conn) add(request int, n, size int64) (missing int64, err error) {
	a := &c.answer
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.request != request {
		return 0, errRequestEnded
	}
	more := max(a.replies+n-a.counted.Load(), 0)
	if more > 0 && !c.gate.answers.try(more, size) {
		return more, nil
	}
	a.replies += n
	a.counted.Add(more)
	return 0, nil
}

// drop no longer counts n bytes of a reply that is not used.
func (c *Conn) drop(request int, n int64) {
	a := &c.answer
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.request != request {
		return
	}
	a.replies -= n
	back := a.counted.Load() - max(a.expected, a.replies)
	a.counted.Add(-back)
	c.gate.releaseAnswers(back)
}

// endAnswer gives back what is counted for the answer.
func (c *Conn) endAnswer() {
	a := &c.answer
	a.mu.Lock()
	defer a.mu.Unlock()
	a.request++
	a.expected, a.replies = 0, 0
	c.gate.answers.closing.Add(-a.closing.Swap(0))
	c.gate.releaseAnswers(a.counted.Swap(0))
}

// startClosing counts the answer as one whose connection is being closed.
func (a *answerCount) startClosing(p *part) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := a.counted.Load()
	a.closing.Add(n)
	p.closing.Add(n)
}

func (g *Gate) releaseAnswers(n int64) {
	if n == 0 {
		return
	}
	g.answers.used.Add(-n)
	if g.waiting.Load() > 0 {
		g.wake()
	}
}

// waitForRoom calls try until it says that no bytes lack room, the time is over or done is closed. It closes
// connections whose answers are not read.
func (c *Conn) waitForRoom(done <-chan struct{}, timeout time.Duration, what need, size int64, try func() (missing int64, err error)) (ok bool, err error) {
	missing, err := try()
	if missing == 0 || err != nil {
		return err == nil, err
	}
	g := c.gate
	g.waiting.Add(1)
	defer g.waiting.Add(-1)
	for end := now() + timeout; now() < end && !c.isClosing(); {
		released := g.nextRelease()
		if missing, err = try(); missing == 0 || err != nil {
			return err == nil, err
		}
		if g.answers.isShort(missing, size) && g.closeOne(c, reasonMemory, what, clientlimit.MayCloseForAnswers) {
			continue
		}
		if !wait(released, done, end) {
			break
		}
	}
	return false, nil
}

// Take counts n bytes, at most a share of the capacity, that the answer to the connection's request is
// expected to need. It waits for room for a moment, until by at most. It reports false if there is none, and
// the request must be refused.
func (c *Conn) Take(n int, by time.Time) bool {
	if c == nil {
		return true
	}
	counted := clientlimit.CountedAhead(int64(n), c.gate.answers.capacity)
	try := func() (int64, error) { return c.raise(counted, false), nil }
	ok, _ := c.waitForRoom(nil, min(takeTimeout, time.Until(by)), needExpected, 0, try)
	if !ok {
		c.refused(reasonMemory, needExpected)
	}
	return ok
}

// Hold counts n bytes of an answer that is already held. Connections whose answers are not read are closed
// to make room for them.
func (c *Conn) Hold(n int) {
	if c == nil {
		return
	}
	c.raise(int64(n), true)
	for c.gate.answers.isShort(0, 0) && c.gate.closeOne(c, reasonMemory, needAnswer, clientlimit.MayCloseForAnswers) {
		continue
	}
}

const (
	// smallReply is the size up to which replies are not counted: the buffers of their connections hold
	// them.
	smallReply = 16 << 10
	// replyTimeout is how long a reply may wait for room in all: replies read in part may wait for each
	// other. An upstream cuts a reply off that stays unread for some seconds.
	replyTimeout = 2 * time.Second
)

// CountReply returns a reader of the body of an upstream's reply that counts it for the caller's connection in
// ctx, if there is one. A body of a known length counts as a whole once more than smallReply of it has
// arrived: replies that are read in part would wait for each other. length is negative if it is not known;
// the bytes then count as they arrive. Where there is no room, reads wait for it, no longer than ctx lasts.
// Their errors wrap readlimit.ErrNoMemory. A body that is closed before its end counts no longer.
func CountReply(ctx context.Context, body io.ReadCloser, length int64) io.ReadCloser {
	c := FromContext(ctx)
	if c == nil || length >= 0 && length <= smallReply {
		return body
	}
	c.answer.mu.Lock()
	defer c.answer.mu.Unlock()
	return &countedReply{ctx: ctx, ReadCloser: body, conn: c, request: c.answer.request, length: length, mayWait: replyTimeout}
}

// countedReply counts the body of a reply while it is read.
type countedReply struct {
	io.ReadCloser
	ctx           context.Context
	conn          *Conn
	request       int
	length        int64 // negative if it is not known
	read, counted int64
	mayWait       time.Duration
	ended         bool
}

// Read implements io.Reader.
func (r *countedReply) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	r.read += int64(n)
	if r.read > smallReply {
		if noRoom := r.count(); noRoom != nil {
			return 0, noRoom
		}
	}
	r.ended = err == io.EOF //nolint:errorlint // readers return io.EOF itself
	return n, err
}

// Close implements io.Closer.
func (r *countedReply) Close() error {
	if !r.ended {
		r.conn.drop(r.request, r.counted)
		r.counted = 0
	}
	return r.ReadCloser.Close()
}

// count counts the reply, up to a share of the capacity.
func (r *countedReply) count() error {
	size := clientlimit.CountedAhead(max(r.read, r.length), r.conn.gate.answers.capacity)
	n := size - r.counted
	if n <= 0 {
		return nil
	}
	begun := now()
	ok, err := r.conn.waitForRoom(r.ctx.Done(), r.mayWait, needReply, size, func() (int64, error) { return r.conn.add(r.request, n, size) })
	r.mayWait -= now() - begun
	if err != nil {
		return err
	}
	if !ok {
		if !errors.Is(r.ctx.Err(), context.Canceled) { // an attempt that is not needed any more was not refused
			r.conn.refused(reasonMemory, needReply)
		}
		return fmt.Errorf("%w: replies and answers that callers have not read leave no room", readlimit.ErrNoMemory)
	}
	r.counted = size
	return nil
}
