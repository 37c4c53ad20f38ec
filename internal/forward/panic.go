package forward

import (
	"net/http"

	"github.com/sardinespindle/sardinespindle/internal/guard"
	"github.com/sardinespindle/sardinespindle/internal/outcome"
)

// serveGuarded is serve, but a panic ends as unknown.
func (s *Server) serveGuarded(w http.ResponseWriter, r *http.Request, q *request) (o outcome.Outcome) {
	defer guard.Catch(func(err error) { o = s.failed(q.id, err) })
	return s.serve(w, r, q)
}

// failed returns the outcome of a request in which this VM panicked, and logs why.
func (s *Server) failed(id string, err error) outcome.Outcome {
	s.metrics.panics.Inc()
	s.o.Log.Error("request failed inside this VM", append(guard.LogFields(err), "id", id)...)
	return outcome.Unknown(outcome.InternalError, err.Error(), startRetryAfter)
}
