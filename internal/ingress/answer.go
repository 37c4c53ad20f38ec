package ingress

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/readlimit"
)

// answerCount counts what a connection holds for the answer to its request: first what is expected, then
// the replies that are read for it, then the answer itself. What was counted before is not counted again.
type answerCount struct {
	mu               sync.Mutex // guards the fields below
	counted, replies int64
}

// missing returns how many bytes have to be counted besides so that n more of replies are.
func (a *answerCount) missing(n int64) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.replies += n
	more := max(a.replies-a.counted, 0)
	a.counted += more
	return more
}

// raise returns how many bytes have to be counted besides so that n are.
func (a *answerCount) raise(n int64) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	more := max(n-a.counted, 0)
	a.counted += more
	return more
}

func (a *answerCount) reset() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counted, a.replies = 0, 0
}

// maxTakenShare is the inverse of the share of the capacity that is counted at most before an answer is
// there. A large one is then not refused if nothing else is held.
const maxTakenShare = 4

// Take counts n bytes, at most a share of the capacity, that the answer to the connection's request is
// expected to need. It reports false if there is no room, and the request must be refused.
func (c *Conn) Take(n int) bool {
	if c == nil {
		return true
	}
	more := c.answer.raise(min(int64(n), c.gate.o.Capacity.Memory/maxTakenShare))
	if c.gate.take(c, more, needExpected, takeTimeout) {
		return true
	}
	c.refused(reasonMemory, needExpected)
	return false
}

// Hold counts n bytes of an answer that is already held, and closes others to make room for them.
func (c *Conn) Hold(n int) {
	if c == nil {
		return
	}
	more := c.answer.raise(int64(n))
	c.gate.used.Add(more)
	c.addHeld(more)
	for c.gate.isShort(0) && c.gate.closeOne(c, reasonMemory, needAnswer) {
		continue
	}
}

const (
	// smallReply is the size up to which replies are not counted: the buffers of their connections hold
	// them.
	smallReply = 16 << 10
	// replyTimeout is how long a reply may wait for room. An upstream cuts a reply off that stays unread
	// for some seconds.
	replyTimeout = 2 * time.Second
)

// CountReply returns a reader of the body of an upstream's reply that counts it for the caller's connection
// in ctx, if there is one. A body of a known length waits for room before it is read: bodies read in
// part would wait for each other. length is negative if it is not known. The error wraps
// readlimit.ErrNoMemory.
func CountReply(ctx context.Context, body io.Reader, length int64) (io.Reader, error) {
	c := FromContext(ctx)
	switch {
	case c == nil || length >= 0 && length <= smallReply:
		return body, nil
	case length < 0:
		return &countedReply{from: body, conn: c}, nil
	}
	return body, c.takeReply(min(length, c.gate.o.Capacity.Memory/maxTakenShare), replyTimeout)
}

func (c *Conn) takeReply(n int64, timeout time.Duration) error {
	if more := c.answer.missing(n); !c.gate.take(c, more, needReply, timeout) {
		c.refused(reasonMemory, needReply)
		return fmt.Errorf("%w: replies that callers have not read leave no room", readlimit.ErrNoMemory)
	}
	return nil
}

// countedReply counts the body of a reply of unknown length while it is read.
type countedReply struct {
	from io.Reader
	conn *Conn
	read int
}

// Read implements io.Reader.
func (r *countedReply) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	r.read += n
	if r.read > smallReply {
		if noRoom := r.conn.takeReply(int64(n), takeTimeout); noRoom != nil {
			return 0, noRoom
		}
	}
	return n, err
}
