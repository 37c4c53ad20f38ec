package forward

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
)

// writeAnswer sends the answer to the caller.
func (s *Server) writeAnswer(w http.ResponseWriter, r *http.Request, q *request, o *outcome.Outcome) {
	h := w.Header()
	if s.draining.Load() {
		h.Set("Connection", "close")
	}
	status := statusOf(o)
	switch {
	case o.Kind != caller.OutcomeAnswered:
		h.Set("Content-Length", "0")
		if o.RetryAfter > 0 {
			h.Set("Retry-After", formatSeconds(o.RetryAfter))
		}
	case o.Header != nil:
		s.copyHeader(h, o, r.Method, status)
	default:
		h.Set("Content-Type", "application/octet-stream")
		h.Set("Content-Length", strconv.Itoa(len(o.Result)))
		h.Set(s.o.Headers.RequestID, q.id)
		h.Set(s.o.Headers.Signatures, strings.Join(o.Signatures, ","))
		if missing := o.Coverage.ShardsTotal - o.Coverage.ShardsCovered; missing > 0 {
			h.Set(s.o.Headers.Missing, strconv.Itoa(missing))
		}
	}
	w.WriteHeader(status)
	if o.Kind != caller.OutcomeAnswered || r.Method == http.MethodHead || len(o.Result) == 0 {
		return
	}
	s.holdAnswer(q, len(o.Result))
	if _, err := w.Write(o.Result); err != nil {
		s.o.Log.Info("answer not written", "id", q.id, "err", err)
	}
}

// copyHeader copies an upstream's headers to the answer, except hop-by-hop headers. It sets
// Content-Length unless the method or the status rules out a body.
func (s *Server) copyHeader(h http.Header, o *outcome.Outcome, method string, status int) {
	from := o.Header.Clone()
	stripHopByHop(from)
	for k, v := range from {
		h[k] = v
	}
	if method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(o.Result)))
	}
}

// formatSeconds formats a duration in seconds with three decimals, as callers expect it in
// Retry-After.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}

// statusOf returns the HTTP status of an outcome. Of the statuses that this VM sets itself,
// only 503 and 4xx mean that the request has not run and will not.
func statusOf(o *outcome.Outcome) int {
	switch o.Kind {
	case caller.OutcomeAnswered:
		if o.ResultStatus != 0 {
			return o.ResultStatus
		}
		return http.StatusOK
	case caller.OutcomeNotRun:
		return http.StatusServiceUnavailable
	case caller.OutcomeUnknown:
		if o.Reason == outcome.DeadlineExceeded {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	switch o.Reason {
	case outcome.UnknownWorkload:
		return http.StatusNotFound
	case outcome.HeadTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case outcome.TooLarge:
		return http.StatusRequestEntityTooLarge
	default:
		return http.StatusBadRequest
	}
}
