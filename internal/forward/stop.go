package forward

import (
	"errors"
	"fmt"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/internal/policy/stop"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
)

// stopRetryAfter is sent with requests that this VM does not take because it stops: another one takes them
// at once.
const stopRetryAfter = 50 * time.Millisecond

// errCut is the cause with which the contexts of callers' requests end when Cut is called.
var errCut = errors.New("this VM stops")

// StartDrain makes each connection close after its next answer. Requests are still served, but for those
// that are not expected to end before cutAt.
func (s *Server) StartDrain(cutAt time.Time) {
	s.cutAt.Store(&cutAt)
	s.draining.Store(true)
}

// StopAccepting makes the server run no new requests, from callers or from other VMs.
func (s *Server) StopAccepting() { s.stopping.Store(true) }

// Cut ends the requests of callers that still run. They are answered as unknown.
func (s *Server) Cut() { s.cut(errCut) }

// InFlight returns the number of requests being served.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// observeDuration records how long a request took that was not refused.
func (s *Server) observeDuration(q *request, o *outcome.Outcome, took time.Duration) {
	if q.route != nil && (o.Kind == caller.OutcomeAnswered || o.Kind == caller.OutcomeUnknown) {
		s.durations.Update(q.route.Name, func(d *stop.Durations) { d.Observe(took) })
	}
}

// endsInTime reports whether a new request is expected to end before requests are cut. If not, it returns
// the outcome that sends the request to another VM.
func (s *Server) endsInTime(q *request) (outcome.Outcome, bool) {
	cutAt := s.cutAt.Load()
	if cutAt == nil {
		return outcome.Outcome{}, true
	}
	var forecast time.Duration
	s.durations.View(q.route.Name, func(d *stop.Durations) { forecast = d.Forecast() })
	left := time.Until(*cutAt)
	if stop.Takes(left, forecast, time.Until(q.deadline)) {
		return outcome.Outcome{}, true
	}
	detail := fmt.Sprintf("this VM stops in %d ms, and such requests take up to %d ms", left.Milliseconds(), forecast.Milliseconds())
	return outcome.NotRun(outcome.Stopping, detail, stopRetryAfter), false
}
