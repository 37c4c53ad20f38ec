package forward

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/guard"
	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
)

// control connects a part of a search with the search. The zero value is that of a request
// which is no part.
type control struct {
	// finish is closed when the part is to end with the shards that it covers; may be nil.
	finish <-chan struct{}
	// onDue is called when the decision of the part is due and it covers too few shards; may
	// be nil.
	onDue func(covered int)
}

func (c control) reportDue(covered int) {
	if c.onDue != nil {
		c.onDue(covered)
	}
}

// part returns the request for a part of the search q, with the announcements of all its parts.
func (q *request) part(shards []string, c control, announcements *partAnnouncements) *request {
	part := *q
	part.shards, part.isPart, part.control = shards, true, c
	part.tried = slices.Clip(q.tried) // each part appends its own
	if announcements != nil || q.sent != nil {
		indices := q.indices(shards)
		part.sent, part.announce = q.sent.Select(indices), announcements.of(indices)
	}
	return &part
}

// searchPart is a part of a search: its shards, and how it is run.
type searchPart struct {
	shards []string
	run    func(ctx context.Context, part *request) outcome.Outcome
}

// endedPart is the outcome of a part of a search, with the request that ran as the part.
type endedPart struct {
	outcome.Outcome
	index   int
	request *request
}

// duePart says how many shards a part covered when its decision was due.
type duePart struct{ part, covered int }

// partGrace is how long after decideBy a search waits for parts that it can be answered
// without: parts that were asked to finish reply within a round trip.
const partGrace = 4 * time.Millisecond

// partsProgress is the progress of the parts of a search.
type partsProgress struct {
	q          *request
	running    int
	openShards int // of the parts that run
	ended      []outcome.Outcome
	mayHaveRun bool        // a part that has ended may have run
	due        map[int]int // shards covered, by part that runs on after its decision was due
	timeUp     bool
}

// end records the outcome of a part.
func (w *partsProgress) end(o endedPart) {
	w.running--
	w.openShards -= o.request.totalShards()
	w.ended = append(w.ended, o.Outcome)
	w.mayHaveRun = w.mayHaveRun || o.Kind != caller.OutcomeNotRun
	delete(w.due, o.index)
	if o.request.ranElsewhere && o.request.decidedAt.After(w.q.decidedAt) {
		w.q.decidedAt, w.q.ranElsewhere = o.request.decidedAt, true
	}
}

// complete reports whether the search need not wait any longer.
func (w *partsProgress) complete() bool {
	return w.running == 0 || w.timeUp && w.q.coveredShards(w.ended) >= w.q.minShards() || w.hasFailed()
}

// hasFailed reports whether the minimum share is out of reach. While all parts that have ended
// were refused, the others may be too, and the search can still end as not run.
func (w *partsProgress) hasFailed() bool {
	return w.mayHaveRun && w.q.coveredShards(w.ended)+w.openShards < w.q.minShards()
}

// mayFinish reports whether the parts still running can be asked to finish: their decisions are
// due, and with what they cover the search reaches its minimum share.
func (w *partsProgress) mayFinish() bool {
	covered := w.q.coveredShards(w.ended)
	for _, n := range w.due {
		covered += n
	}
	return len(w.due) > 0 && (w.timeUp || len(w.due) == w.running) && covered >= w.q.minShards()
}

// runPart runs a part of a search. One that panics ends as unknown.
func (s *Server) runPart(ctx context.Context, p searchPart, part *request) (o outcome.Outcome) {
	defer guard.Catch(func(err error) { o = s.failed(part.id, err) })
	return p.run(ctx, part)
}

// awaitParts runs the parts of a search at the same time and merges their outcomes. Each part
// waits for its own minimum share; once the parts together cover that of the search when their
// decisions are due, those that still run are asked to finish. From decideBy on, the search is
// answered without the parts that it does not depend on. A search that can no longer reach its
// minimum share ends at once.
func (s *Server) awaitParts(ctx context.Context, q *request, parts []searchPart) outcome.Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results, due := make(chan endedPart, len(parts)), make(chan duePart, len(parts))
	finish := make(chan struct{})
	askToFinish := sync.OnceFunc(func() { close(finish) })
	announcements := newPartAnnouncements(q)
	for i, p := range parts {
		var once sync.Once // a part that another VM takes over may report again
		c := control{finish: finish, onDue: func(covered int) { once.Do(func() { due <- duePart{i, covered} }) }}
		part := q.part(p.shards, c, announcements)
		go func() { results <- endedPart{Outcome: s.runPart(ctx, p, part), index: i, request: part} }()
	}
	timer := time.NewTimer(time.Until(s.decideBy(q)) + partGrace)
	defer timer.Stop()
	w := partsProgress{q: q, running: len(parts), due: map[int]int{}}
	for _, p := range parts {
		w.openShards += len(p.shards)
	}
	for !w.complete() {
		select {
		case <-timer.C:
			w.timeUp = true
		case d := <-due:
			w.due[d.part] = d.covered
		case o := <-results:
			w.end(o)
		}
		if w.mayFinish() {
			askToFinish()
		}
	}
	return merge(q, w.ended, w.mayHaveRun || w.running > 0)
}
