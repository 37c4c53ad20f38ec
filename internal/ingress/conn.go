package ingress

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/policy/clientlimit"
)

// Conn is a connection of a Gate. One goroutine at a time reads from it, as an http.Server does.
type Conn struct {
	net.Conn
	gate      *Gate
	closeOnce sync.Once

	phase   atomic.Int32 // a clientlimit.Phase
	since   atomic.Int64 // a time of now; see clientlimit.Conn
	writing atomic.Int64 // likewise
	held    atomic.Int64 // bytes counted besides ConnCost
	closing atomic.Int64 // what the gate counts of it as closing
	removed atomic.Bool  // the gate counts it no longer

	answer answerCount

	// Of the request that is read, used by the reading goroutine and by the hooks of the server.
	head scanner
	body countedBody
}

func (c *Conn) state() clientlimit.Conn {
	return clientlimit.Conn{
		Phase: clientlimit.Phase(c.phase.Load()), Since: time.Duration(c.since.Load()), Writing: time.Duration(c.writing.Load()),
		Answer: c.answer.counted.Load(),
	}
}

func (c *Conn) isClosing() bool { return c.phase.Load() == int32(clientlimit.Closing) }

// addHeld adds bytes that the gate has counted. They are given back at once if the connection has been
// closed meanwhile.
func (c *Conn) addHeld(n int64) {
	c.held.Add(n)
	if c.removed.Load() {
		c.gate.release(c.held.Swap(0))
	}
}

// setPhase changes the phase, unless the connection is being closed.
func (c *Conn) setPhase(to clientlimit.Phase) {
	for {
		from := c.phase.Load()
		if from == int32(clientlimit.Closing) || c.phase.CompareAndSwap(from, int32(to)) {
			return
		}
	}
}

// onState follows the states that the server reports: a connection is active once a head is parsed.
func (c *Conn) onState(to http.ConnState) {
	switch to {
	case http.StateActive:
		c.setPhase(clientlimit.Running)
	case http.StateIdle:
		c.endRequest()
	case http.StateHijacked:
		c.gate.release(c.held.Swap(0))
		c.endAnswer()
		c.setPhase(clientlimit.Upgraded)
	}
}

// endRequest gives back what a request used. Bytes of the next one may have arrived already.
func (c *Conn) endRequest() {
	if c.held.Load() != 0 {
		c.gate.release(c.held.Swap(0))
	}
	if cost := c.head.next(); cost != 0 {
		c.gate.requests.used.Add(cost)
		c.addHeld(cost)
	}
	c.endAnswer()
	c.since.Store(int64(now()))
	c.setPhase(clientlimit.Idle)
}

// readError is an error that makes a server close the connection without an answer of its own.
func readError(err error) error { return &net.OpError{Op: "read", Net: "tcp", Err: err} }

// Read reads from the connection. The bytes of a head are counted before the server sees them.
func (c *Conn) Read(p []byte) (int, error) {
	if c.isClosing() {
		return 0, readError(ErrNoRoom)
	}
	n, err := c.Conn.Read(p)
	if c.isClosing() {
		return 0, readError(ErrNoRoom)
	}
	if n == 0 {
		return n, err
	}
	switch phase := clientlimit.Phase(c.phase.Load()); phase {
	case clientlimit.Fresh, clientlimit.Idle:
		c.since.Store(int64(now()))
		c.setPhase(clientlimit.Head)
		fallthrough
	case clientlimit.Head:
		if headErr := c.countHead(p[:n]); headErr != nil {
			return 0, headErr
		}
	case clientlimit.Body:
		c.head.scanBody(p, n)
	case clientlimit.Running:
		c.head.scanAhead(p[:n])
	}
	return n, err
}

// serverBuffer is the size of the buffer that an http.Server reads into.
const serverBuffer = 4 << 10

// headSlack is by how much a head may exceed its limit before its connection is closed. A handler rejects
// it before with an answer of its own.
const headSlack = 4 << 10

// countHead counts bytes of a head. It refuses the request if the head is too large or there is no room.
func (c *Conn) countHead(p []byte) error {
	lines := c.head.scan(p)
	if limit := c.gate.o.HeadLimit(); limit > 0 && c.head.size > limit+headSlack {
		return c.refuse(p, reasonHead, needNone, "431 Request Header Fields Too Large")
	}
	if !c.gate.take(c, clientlimit.HeadCost(lines, len(p)), needRequest, takeTimeout) {
		return c.refuse(p, reasonMemory, needRequest, "503 Service Unavailable\r\nRetry-After: 1")
	}
	return nil
}

// refuse answers a request whose head has not been parsed, so that it has not run, and closes the
// connection. buf is used to read what the client has already sent: an answer is lost if bytes are left
// unread.
func (c *Conn) refuse(buf []byte, reason string, what need, status string) error {
	c.refused(reason, what)
	c.phase.Store(int32(clientlimit.Closing))
	c.sendRefusal(status)
	_ = c.CloseWrite() // fails if the client has closed the connection
	_ = c.SetReadDeadline(time.Now().Add(refuseTimeout))
	for left := refuseBytes; left > 0; {
		n, err := c.Conn.Read(buf[:cap(buf)])
		if err != nil {
			break
		}
		left -= n
	}
	return readError(ErrNoRoom)
}

// Bounds of a refusal: how long it takes, and what is read from the client meanwhile.
const (
	refuseTimeout = 50 * time.Millisecond
	refuseBytes   = 128 << 10
)

// refused records that a request of the connection is refused.
func (c *Conn) refused(reason string, what need) {
	c.gate.log.refused(refusal{reason, what, clientlimit.Phase(c.phase.Load()), c}, c.gate)
}

// sendRefusal sends an answer in place of the server.
func (c *Conn) sendRefusal(status string) {
	_ = c.SetWriteDeadline(time.Now().Add(refuseTimeout)) // fails if the client has closed the connection
	_, _ = io.WriteString(c.Conn, "HTTP/1.1 "+status+"\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
}

// closeFrom closes the connection if it is still in a state: a request that runs may be another one by then
// than the one whose answer was not read. A request that has arrived in part is answered as not run; the
// handler does so if it reads the body.
func (c *Conn) closeFrom(state clientlimit.Conn) bool {
	phase := state.Phase
	if phase == clientlimit.Running && c.writing.Load() != int64(state.Writing) {
		return false
	}
	if !c.phase.CompareAndSwap(int32(phase), int32(clientlimit.Closing)) {
		return false
	}
	held := c.held.Load() + clientlimit.ConnCost
	c.closing.Add(held)
	c.gate.requests.closing.Add(held)
	c.answer.startClosing(&c.gate.answers)
	if c.removed.Load() {
		c.gate.requests.closing.Add(-c.closing.Swap(0))
		c.endAnswer()
	}
	past := time.Unix(1, 0)
	switch phase {
	case clientlimit.Head:
		c.sendRefusal("408 Request Timeout")
		_ = c.Close()
	case clientlimit.Body:
		_ = c.SetWriteDeadline(time.Now().Add(closeTimeout))
		_ = c.SetReadDeadline(past)
	case clientlimit.Running:
		_ = c.SetDeadline(past)
	default:
		_ = c.Close()
	}
	return true
}

// closeTimeout is how long the refusal of a request whose body was being read may take.
const closeTimeout = time.Second

// writeSlice is how much is sent before it counts as progress.
const writeSlice = 64 << 10

// Write sends p, and records when progress is made.
func (c *Conn) Write(p []byte) (n int, err error) {
	defer c.writing.Store(0)
	for err == nil && n < len(p) {
		c.writing.Store(int64(now()))
		var written int
		written, err = c.Conn.Write(p[n:min(len(p), n+writeSlice)])
		n += written
	}
	return n, err
}

// Close closes the connection and gives back what it held.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() { c.gate.remove(c) })
	return c.Conn.Close()
}

// CloseWrite closes the sending side.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SyscallConn returns the socket.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// scanner counts lines of heads, and finds where they end.
type scanner struct {
	size    int  // bytes of the head
	started bool // a byte other than a line end has arrived
	tail    int  // how many line ends the last bytes are
	ended   bool // the head's end has arrived
	ahead   bool // bytes of the head may have arrived before it was scanned
	// body is the length of the request's body, negative if it is not known; after is the number of bytes
	// that arrived after the head.
	body, after int64
	// lines and bytes may belong to the next request.
	lines, bytes int
}

var lineEnd = []byte{'\n'}

// scan counts bytes that arrived while a head is read, and returns the number of lines in them. Bytes
// after the head's end belong to the body or to the next request.
func (s *scanner) scan(p []byte) (lines int) {
	lines = bytes.Count(p, lineEnd)
	if s.ended {
		s.scanAhead(p)
		return lines
	}
	end := s.find(p)
	if end < 0 {
		s.size += len(p)
		return lines
	}
	s.ended = true
	s.size += end
	s.scanAhead(p[end:])
	return lines
}

// find returns where in p the head ends, after an empty line; -1 if it does not. Empty lines before the
// first other byte do not count.
func (s *scanner) find(p []byte) int {
	for i := 0; i < len(p); i++ {
		switch p[i] {
		case '\r':
		case '\n':
			if s.tail++; s.tail >= 2 && s.started {
				return i + 1
			}
		default:
			s.started, s.tail = true, 0
			next := bytes.IndexByte(p[i:], '\n')
			if next < 0 {
				return -1
			}
			i += next - 1
		}
	}
	return -1
}

// scanAhead counts bytes that follow a request.
func (s *scanner) scanAhead(p []byte) {
	s.lines, s.bytes, s.after = s.lines+bytes.Count(p, lineEnd), s.bytes+len(p), s.after+int64(len(p))
}

// scanBody counts n bytes of p that were read while a body is. They may belong to the next request, but not
// the ones read before them. A server reads a single byte ahead once the body has ended.
func (s *scanner) scanBody(p []byte, n int) {
	if len(p) > 1 {
		s.lines, s.bytes = 0, 0
	}
	if len(p) > serverBuffer {
		s.after += int64(n) // read past the server's buffer, to the end of the body at most
		return
	}
	s.scanAhead(p[:n])
}

// next makes the scanner ready for the next head, and returns the cost of the bytes that may have arrived
// of it.
func (s *scanner) next() (cost int64) {
	ahead := s.bytes
	if s.body >= 0 {
		ahead = min(ahead, int(s.after-s.body))
	}
	if ahead > 0 {
		cost = clientlimit.HeadCost(s.lines, ahead)
	}
	*s = scanner{ahead: ahead > 0}
	return cost
}
