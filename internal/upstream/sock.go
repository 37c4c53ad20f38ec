package upstream

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/replyhead"
)

// errNoAttempt is returned by a write on a connection that has no attempt under way.
var errNoAttempt = errors.New("upstream: no attempt under way on this connection")

// sock is a net.Conn that calls a check right before the first byte of each attempt, refuses replies with an
// invalid head, and records whether any byte of the attempt was written or read.
type sock struct {
	net.Conn
	now       func() time.Duration
	closeOnce sync.Once
	openedAt  time.Duration // on the clock of now
	// closing says that the pool is about to close the connection; guarded by the pool's lock.
	closing bool

	mu           sync.Mutex // guards the fields below
	onClose      func()
	beforeWrite  func() error
	active       bool
	writing      bool
	wrote        bool
	read         bool
	everRead     bool // a byte was read by this or an earlier attempt
	closedByPeer bool // a read failed before Close
	closed       bool
	sentAt       time.Duration
	reply        replyhead.Scanner // of what is read
}

// startAttempt allows writes for one attempt. beforeWrite is called before its first
// byte; an error from it fails the write.
func (s *sock) startAttempt(beforeWrite func() error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beforeWrite, s.active = beforeWrite, true
	s.writing, s.wrote, s.read = false, false, false
	s.reply.Expect()
}

// endAttempt forbids further writes. It reports whether a byte may have been written,
// whether one was read, and when the first write started. If nothing was written, sentAt
// is that of an earlier attempt or 0.
func (s *sock) endAttempt() (wrote, read bool, sentAt time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active, s.beforeWrite = false, nil
	return s.wrote || s.writing, s.read, s.sentAt
}

// attemptSentAt returns when the first write of the attempt under way started.
func (s *sock) attemptSentAt() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sentAt
}

// Write implements net.Conn.
func (s *sock) Write(p []byte) (int, error) {
	if err := s.beginWrite(); err != nil {
		return 0, err
	}
	n, err := s.Conn.Write(p)
	s.mu.Lock()
	s.writing = false
	s.wrote = s.wrote || n > 0
	s.mu.Unlock()
	return n, err
}

// beginWrite calls beforeWrite before the first byte of an attempt.
func (s *sock) beginWrite() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.active {
		return errNoAttempt
	}
	if s.beforeWrite != nil {
		err := s.beforeWrite()
		if err != nil {
			s.active = false
			return err
		}
		s.beforeWrite = nil
		s.sentAt = s.now()
	}
	s.writing = true
	return nil
}

// Read implements net.Conn.
func (s *sock) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	s.mu.Lock()
	defer s.mu.Unlock()
	if n > 0 {
		s.read, s.everRead = true, true
	}
	if err != nil && !s.closed {
		s.closedByPeer = true
	}
	if headErr := s.reply.Scan(p[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// Close implements net.Conn. While an attempt is under way, it resets the connection: after a plain
// close, the network would still deliver a request that it holds up.
func (s *sock) Close() error {
	s.mu.Lock()
	s.closed = true
	onClose := s.onClose
	abort := s.active && (s.wrote || s.writing)
	s.mu.Unlock()
	if abort {
		s.lingerNone()
	}
	err := s.Conn.Close()
	s.closeOnce.Do(onClose)
	return err
}

// reset closes the connection with a reset, so that bytes under way are lost.
func (s *sock) reset() {
	s.lingerNone()
	_ = s.Close()
}

// lingerNone makes Close reset the connection.
func (s *sock) lingerNone() {
	if tcp, ok := s.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// refused reports whether the peer ended the connection without ever sending a byte.
func (s *sock) refused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closedByPeer && !s.everRead
}

// isClosed reports whether this side has closed the connection.
func (s *sock) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}
