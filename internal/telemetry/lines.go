package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sardinespindle/sardinespindle/schema/gen/settings"
)

// Limits of a LineWriter.
const (
	maxBufferedBytes = 256 << 10
	// linesPerSecond refills the token bucket. Without a limit, a fleet under load spends
	// more on its log than on its callers.
	linesPerSecond = 60
	linesBurst     = 300
	// routineReserve is the number of tokens that only warnings and errors may use.
	routineReserve = linesBurst / 3
	// closeTimeout is the longest time that Close waits for the last lines to be written.
	closeTimeout = 200 * time.Millisecond
)

// LineWriter is a writer that never waits for the reader of the log. It drops and counts the
// lines beyond a rate or beyond a number of buffered bytes. It is safe for concurrent use.
type LineWriter struct {
	out    io.Writer
	format settings.LogFormat
	wake   chan struct{}
	done   chan struct{}

	mu       sync.Mutex // guards the fields below
	buffered []byte
	tokens   float64
	filled   time.Time // when tokens was last updated
	dropped  int       // since the last line that was accepted
	closed   bool

	routineDropped, failureDropped atomic.Uint64
}

// NewLineWriter returns a LineWriter that writes to out from its own goroutine. Each Write must
// be one line in the given format. The caller must call Close.
func NewLineWriter(out io.Writer, format settings.LogFormat) *LineWriter {
	l := &LineWriter{
		out: out, format: format, wake: make(chan struct{}, 1), done: make(chan struct{}), tokens: linesBurst, filled: time.Now(),
	}
	go l.run()
	return l
}

// Write buffers the line p or drops it. It never blocks on the output and never fails.
func (l *LineWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.tokens = min(linesBurst, l.tokens+linesPerSecond*now.Sub(l.filled).Seconds())
	l.filled = now
	reserve, counter := 0.0, &l.failureDropped
	if l.isRoutine(p) {
		reserve, counter = routineReserve, &l.routineDropped
	}
	if l.tokens < 1+reserve || len(l.buffered)+len(p) > maxBufferedBytes || l.closed {
		l.dropped++
		counter.Add(1)
		return len(p), nil
	}
	l.tokens--
	if l.dropped > 0 {
		l.buffered = fmt.Appendf(l.buffered, droppedLines[l.format], l.dropped)
		l.dropped = 0
	}
	l.buffered = append(l.buffered, p...)
	l.notify()
	return len(p), nil
}

// isRoutine reports whether a line is neither a warning nor an error.
func (l *LineWriter) isRoutine(line []byte) bool {
	for _, level := range failureLevels[l.format] {
		if bytes.Contains(line, level) {
			return false
		}
	}
	return true
}

// droppedLines is the line that reports dropped lines, by format.
var droppedLines = map[settings.LogFormat]string{
	settings.LogFormatJson:   `{"level":"warn","msg":"lines dropped","count":%d}` + "\n",
	settings.LogFormatLogfmt: `level=warn msg="lines dropped" count=%d` + "\n",
	settings.LogFormatText:   "WARN lines dropped count=%d\n",
}

// failureLevels mark the warnings and errors, by format.
var failureLevels = map[settings.LogFormat][][]byte{
	settings.LogFormatJson:   {[]byte(`"level":"warn"`), []byte(`"level":"error"`)},
	settings.LogFormatLogfmt: {[]byte("level=warn"), []byte("level=error")},
	settings.LogFormatText:   {[]byte("WARN "), []byte("ERRO ")},
}

// Register registers the counters of dropped lines.
func (l *LineWriter) Register(r prometheus.Registerer) error {
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

// notify wakes the goroutine that writes. The caller holds mu, so that wake is not closed.
func (l *LineWriter) notify() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *LineWriter) run() {
	defer close(l.done)
	var batch []byte
	for range l.wake {
		l.mu.Lock()
		batch, l.buffered = l.buffered, batch[:0]
		l.mu.Unlock()
		if _, err := l.out.Write(batch); err != nil {
			return // the log itself cannot be written, so the error is not logged
		}
	}
}

// Close drops further lines and waits up to closeTimeout for the buffered ones to be written.
func (l *LineWriter) Close() {
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
	case <-time.After(closeTimeout):
	}
}
