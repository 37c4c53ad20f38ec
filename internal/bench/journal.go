package bench

import (
	"slices"
	"sync"
	"time"
)

// Span is a stretch of time; To is zero while it lasts.
type Span struct{ From, To time.Time }

// overlaps reports whether the span meets the time from a to b.
func (s Span) overlaps(a, b time.Time) bool {
	return !s.From.After(b) && (s.To.IsZero() || !s.To.Before(a))
}

// Sample is what one VM said of itself.
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

// Journal is what the bench did to the VMs and what they said of themselves. Spans are
// by the VM's name.
type Journal struct {
	// Stops are planned stops, from SIGTERM to the end of the process.
	Stops map[string][]Span
	// Pauses are the times in which a process was frozen.
	Pauses map[string][]Span
	// Cuts are the times in which a VM could hear of no manifest.
	Cuts    map[string][]Span
	Commits []CommitTime
	Samples []Sample
	// Unclean names the VMs whose planned stop ended with another code than 0.
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

// openSpan opens a span; end closes the last one.
func openSpan(m map[string][]Span, vm string) { m[vm] = append(m[vm], Span{From: time.Now()}) }

func closeSpan(m map[string][]Span, vm string) {
	if s := m[vm]; len(s) > 0 && s[len(s)-1].To.IsZero() {
		s[len(s)-1].To = time.Now()
	}
}

// during reports whether any span meets the time from a to b.
func during(spans []Span, a, b time.Time) bool {
	return slices.ContainsFunc(spans, func(s Span) bool { return s.overlaps(a, b) })
}
