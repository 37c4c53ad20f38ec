package bench

import (
	"slices"
	"sync"
	"time"
)

// Span is a period of time; To is zero while it lasts.
type Span struct{ From, To time.Time }

// overlaps reports whether the span overlaps the period from a to b.
func (s Span) overlaps(a, b time.Time) bool {
	return !s.From.After(b) && (s.To.IsZero() || !s.To.Before(a))
}

// Sample is what one VM reported about itself.
type Sample struct {
	VM          string
	Incarnation string
	Generation  int
	At          time.Time
}

// CommitTime is when a generation was published.
type CommitTime struct {
	Generation int
	At         time.Time
}

// Journal records what was done to the VMs and what they reported. Spans are by VM name.
type Journal struct {
	// Stops are planned stops, from SIGTERM to the end of the process.
	Stops  map[string][]Span
	Pauses map[string][]Span
	// Cuts are the periods in which a VM could not learn of new manifests.
	Cuts    map[string][]Span
	Commits []CommitTime
	Samples []Sample
	// Unclean lists the VMs whose planned stop failed or ended with a non-zero exit code, each
	// as "NAME (ERROR)".
	Unclean []string
}

// recorder guards a journal while an experiment runs.
type recorder struct {
	mu sync.Mutex
	j  Journal
}

func newRecorder() *recorder {
	return &recorder{j: Journal{Stops: map[string][]Span{}, Pauses: map[string][]Span{}, Cuts: map[string][]Span{}}}
}

func (r *recorder) update(f func(*Journal)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.j)
}

// openSpan opens a span; closeSpan closes the last one if it is still open.
func openSpan(m map[string][]Span, vm string) { m[vm] = append(m[vm], Span{From: time.Now()}) }

func closeSpan(m map[string][]Span, vm string) {
	if s := m[vm]; len(s) > 0 && s[len(s)-1].To.IsZero() {
		s[len(s)-1].To = time.Now()
	}
}

// spanLog collects spans as they begin and end.
type spanLog struct {
	mu    sync.Mutex // guards spans
	spans []Span
}

// begin adds a span that lasts until end is called, and extra longer.
func (l *spanLog) begin(extra time.Duration) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := len(l.spans)
	l.spans = append(l.spans, Span{From: time.Now()})
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.spans[i].To = time.Now().Add(extra)
	}
}

// all returns the spans so far.
func (l *spanLog) all() []Span {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.spans)
}

// overlaps reports whether any span overlaps the period from a to b.
func (l *spanLog) overlaps(a, b time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return overlapsAny(l.spans, a, b)
}

// overlapsAny reports whether any span overlaps the period from a to b.
func overlapsAny(spans []Span, a, b time.Time) bool {
	return slices.ContainsFunc(spans, func(s Span) bool { return s.overlaps(a, b) })
}
