package callers

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/trace"

	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
)

// writeAnswer writes the whole answer in one call, with its Content-Length.
func (s *Server) writeAnswer(w http.ResponseWriter, r *http.Request, c *call, o outcome.Outcome) {
	reply := o.Answer()
	reply.Generation = c.generation
	reply.TraceId = trace.SpanContextFromContext(r.Context()).TraceID().String()
	body, err := json.Marshal(reply)
	if err != nil {
		panic(fmt.Sprintf("callers: encode answer: %v", err))
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if o.RetryAfter > 0 {
		seconds := (o.RetryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	if s.stopping.Load() {
		h.Set("Connection", "close")
	}
	status := httpStatus(o)
	recordStatus(r, status)
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		s.o.Log.Debug("answer not written", "id", c.id, "reason", err)
	}
}

// httpStatus returns the HTTP status of an outcome.
func httpStatus(o outcome.Outcome) int {
	switch o.Kind {
	case caller.OutcomeAnswered:
		return http.StatusOK
	case caller.OutcomeNotRun:
		if o.Reason == outcome.RateLimited {
			return http.StatusTooManyRequests
		}
		return http.StatusServiceUnavailable
	case caller.OutcomeUnknown:
		return http.StatusGatewayTimeout
	}
	switch o.Reason {
	case outcome.Unauthorized:
		return http.StatusUnauthorized
	case outcome.Forbidden:
		return http.StatusForbidden
	case outcome.UnknownWorkload:
		return http.StatusNotFound
	case outcome.KeyReused:
		return http.StatusConflict
	case outcome.TooLarge:
		return http.StatusRequestEntityTooLarge
	default:
		return http.StatusBadRequest
	}
}
