package upstream

import (
	"errors"
	"net"
	"sync"
	"time"
)

// errSealed refuses a write on a connection that has no attempt under way.
var errNoAttempt = errors.New("upstream: no attempt under way on this connection")

// sock is one connection. It asks a gate right before the first byte of each
// attempt, and knows for sure whether a byte was written or read since.
type sock struct {
	net.Conn
	now       func() time.Duration
	closeOnce sync.Once
	// openedAt is when the connection was made, on the clock of now.
	openedAt time.Duration
	// surplus is guarded by the pool: the connection is about to be closed.
	closing bool

	mu           sync.Mutex // guards the fields below
	onClose      func()
	beforeWrite  func() error
	active       bool
	writing      bool
	wrote        bool
	read         bool
	everRead     bool // a byte was read at any time
	closedByPeer bool // the other side ended it
	closed       bool
	sentAt       time.Duration
}

// arm prepares an attempt: gate is asked before its first byte.
func (s *sock) startAttempt(beforeWrite func() error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beforeWrite, s.active = beforeWrite, true
	s.writing, s.wrote, s.read = false, false, false
}

// seal ends an attempt: no byte is written after it. It reports whether a byte may
// have been written and whether one was read, and when the first write began.
func (s *sock) endAttempt() (wrote, read bool, sentAt time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active, s.beforeWrite = false, nil
	return s.wrote || s.writing, s.read, s.sentAt
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

// begin asks the gate before the first byte of an attempt.
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
	return n, err
}

// Close implements net.Conn.
func (s *sock) Close() error {
	s.mu.Lock()
	s.closed = true
	onClose := s.onClose
	s.mu.Unlock()
	err := s.Conn.Close()
	s.closeOnce.Do(onClose)
	return err
}

// turnedAway reports whether the other side ended it without ever sending a byte.
func (s *sock) refused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closedByPeer && !s.everRead
}

// dead reports whether the connection is closed.
func (s *sock) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}
