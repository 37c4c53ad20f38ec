package forward

import (
	"sync"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/policy/answer"
)

// returnTimes estimates how long answers take from the decision until they are written to the
// caller, apart for requests that ran on this VM and for those that another VM ran.
type returnTimes struct {
	mu               sync.Mutex // guards the fields below
	local, delegated answer.ReturnTime
}

func (r *returnTimes) observe(delegated bool, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if delegated {
		r.delegated.Observe(took)
	} else {
		r.local.Observe(took)
	}
}

func (r *returnTimes) estimate(delegated bool) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if delegated {
		return r.delegated.Estimate()
	}
	return r.local.Estimate()
}

// observeReturn records how long the answer to a search took to be written.
func (s *Server) observeReturn(q *request) {
	if q.route == nil || !q.route.Sharded() || q.decidedAt.IsZero() {
		return
	}
	s.returns.observe(q.ranElsewhere, time.Since(q.decidedAt))
}

// decideBy returns when a search that runs on this VM is decided on to meet the objective, but
// not after the deadline.
func (s *Server) decideBy(q *request) time.Time {
	if !q.decideBy.IsZero() {
		return earlier(q.decideBy, q.deadline)
	}
	return earlier(q.start.Add(answer.DecideBy(q.objective(), q.path, s.returns.estimate(false))), q.deadline)
}

// decideDelegatedBy is like decideBy for a search that another VM runs for this one.
func (s *Server) decideDelegatedBy(q *request) time.Time {
	if !q.decideBy.IsZero() {
		return q.decideBy.Add(-hopSlack)
	}
	return earlier(q.start.Add(answer.DecideBy(q.objective(), q.path, s.returns.estimate(true))), q.deadline)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
