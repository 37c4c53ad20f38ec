package upstream

import (
	"errors"
	"net"
	"sync"
	"time"
)

// errSealed refuses a write on a connection that has no attempt under way.
var errSealed = errors.New("upstream: no attempt under way on this connection")

// sock is one connection. It asks a gate right before the first byte of each
// attempt, and knows for sure whether a byte was written or read since.
type sock struct {
	net.Conn
	now  func() time.Duration
	once sync.Once
	// openedAt is when the connection was made, on the clock of now.
	openedAt time.Duration
	// surplus is guarded by the pool: the connection is about to be closed.
	surplus bool

	mu      sync.Mutex // guards the fields below
	onClose func()
	gate    func() error
	armed   bool
	writing bool
	wrote   bool
	read    bool
	served  bool // a byte was read at any time
	ended   bool // the other side ended it
	closed  bool
	sentAt  time.Duration
}

// arm prepares an attempt: gate is asked before its first byte.
func (s *sock) arm(gate func() error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate, s.armed = gate, true
	s.writing, s.wrote, s.read = false, false, false
}

// seal ends an attempt: no byte is written after it. It reports whether a byte may
// have been written and whether one was read, and when the first write began.
func (s *sock) seal() (wrote, read bool, sentAt time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.armed, s.gate = false, nil
	return s.wrote || s.writing, s.read, s.sentAt
}

// Write implements net.Conn.
func (s *sock) Write(p []byte) (int, error) {
	if err := s.begin(); err != nil {
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
func (s *sock) begin() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.armed {
		return errSealed
	}
	if s.gate != nil {
		err := s.gate()
		if err != nil {
			s.armed = false
			return err
		}
		s.gate = nil
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
		s.read, s.served = true, true
	}
	if err != nil && !s.closed {
		s.ended = true
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
	s.once.Do(onClose)
	return err
}

// turnedAway reports whether the other side ended it without ever sending a byte.
func (s *sock) turnedAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended && !s.served
}

// dead reports whether the connection is closed.
func (s *sock) dead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}
