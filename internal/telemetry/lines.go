package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Bounds of the lines that wait to be written.
const (
	maxWaitingBytes = 256 << 10
	// linesPerSecond bounds the volume; a fleet under load would otherwise spend more on
	// its log than on its callers.
	linesPerSecond = 60
	linesBurst     = 300
	// routineReserve is the part of the burst that lines of routine leave to warnings and
	// errors.
	routineReserve = linesBurst / 3
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
	dropped int // since the last line that was written
	closed  bool

	routineDropped, failureDropped atomic.Uint64
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
	reserve, lost := 0.0, &l.failureDropped
	if isRoutine(p) {
		reserve, lost = routineReserve, &l.routineDropped
	}
	if l.tokens < 1+reserve || len(l.waiting)+len(p) > maxWaitingBytes || l.closed {
		l.dropped++
		lost.Add(1)
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

// isRoutine reports whether a line is no warning and no error, in the format of either
// kind of log.
func isRoutine(line []byte) bool {
	for _, level := range failureLevels {
		if bytes.Contains(line, level) {
			return false
		}
	}
	return true
}

var failureLevels = [][]byte{
	[]byte(`"level":"warn"`), []byte(`"level":"error"`), []byte("level=warn"), []byte("level=error"),
}

// Register registers the counts of dropped lines.
func (l *Lines) Register(r prometheus.Registerer) error {
	for kind, n := range map[string]*atomic.Uint64{"routine": &l.routineDropped, "failure": &l.failureDropped} {
		err := r.Register(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "spindle_log_lines_dropped_total", Help: "Lines of the log that were not written, by kind.",
			ConstLabels: prometheus.Labels{"kind": kind},
		}, func() float64 { return float64(n.Load()) }))
		if err != nil {
			return fmt.Errorf("register log metrics: %w", err)
		}
	}
	return nil
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
