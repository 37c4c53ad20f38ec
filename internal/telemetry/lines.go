package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Bounds of the lines that wait to be written.
const (
	maxWaitingBytes = 256 << 10
	// linesPerSecond bounds the volume; a fleet under load would otherwise spend more on
	// its log than on its callers.
	linesPerSecond = 60
	linesBurst     = 300
	// closeWait bounds how long the last lines may take.
	closeWait = 200 * time.Millisecond
)

// Lines is a writer that never waits for the reader of the log: lines beyond a rate or a
// number of waiting bytes are dropped and counted. It is safe for use by several
// goroutines.
type Lines struct {
	out  io.Writer
	wake chan struct{}
	done chan struct{}

	mu      sync.Mutex // guards the fields below
	waiting []byte
	tokens  float64
	at      time.Time
	dropped int
	closed  bool
}

// NewLines returns a writer to out; each Write is one line.
func NewLines(out io.Writer) *Lines {
	l := &Lines{
		out: out, wake: make(chan struct{}, 1), done: make(chan struct{}), tokens: linesBurst, at: time.Now(),
	}
	go l.run()
	return l
}

// Write implements io.Writer; it never fails.
func (l *Lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.tokens = min(linesBurst, l.tokens+linesPerSecond*now.Sub(l.at).Seconds())
	l.at = now
	if l.tokens < 1 || len(l.waiting)+len(p) > maxWaitingBytes || l.closed {
		l.dropped++
		return len(p), nil
	}
	l.tokens--
	if l.dropped > 0 {
		l.waiting = fmt.Appendf(l.waiting, "{\"level\":\"warn\",\"msg\":\"lines dropped\",\"count\":%d}\n", l.dropped)
		l.dropped = 0
	}
	l.waiting = append(l.waiting, p...)
	l.rouse()
	return len(p), nil
}

// rouse wakes the goroutine that writes. The lock is held.
func (l *Lines) rouse() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *Lines) run() {
	defer close(l.done)
	var batch []byte
	for range l.wake {
		l.mu.Lock()
		batch, l.waiting = l.waiting, batch[:0]
		l.mu.Unlock()
		if _, err := l.out.Write(batch); err != nil {
			return // nobody reads the log; nowhere to say so
		}
	}
}

// Close writes what waits, for a short while.
func (l *Lines) Close() {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.closed = true
	close(l.wake)
	l.mu.Unlock()
	select {
	case <-l.done:
	case <-time.After(closeWait):
	}
}
