package forward

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardinespindle/sardinespindle/internal/ingress"
	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/internal/readlimit"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
)

// readRequest returns the pass-through request, or the outcome that rejects it. A body that has
// not arrived by the request's deadline is rejected.
func (s *Server) readRequest(w http.ResponseWriter, r *http.Request, q *request) (*upstream.PassThroughRequest, *outcome.Outcome) {
	if o := checkHead(r, q.conn, q.catalog.Config.Limits.HeaderBytes); o != nil {
		return nil, o
	}
	limit := int64(q.catalog.Config.Limits.BodyBytes)
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	var body []byte
	if r.ContentLength != 0 {
		var err error
		if body, err = s.readRequestBody(w, r, q, limit); err != nil {
			o := outcome.Rejected(outcome.BadRequest, fmt.Sprintf("read body: %v", err))
			switch {
			case errors.Is(err, readlimit.ErrTooLarge):
				o = outcome.Rejected(outcome.TooLarge, err.Error())
			case errors.Is(err, readlimit.ErrNoMemory):
				o = outcome.NotRun(outcome.Overloaded, err.Error(), startRetryAfter)
			case errors.Is(err, ingress.ErrNoRoom):
				q.bodyLate = true
				o = outcome.NotRun(outcome.Overloaded, err.Error(), startRetryAfter)
			case errors.Is(err, os.ErrDeadlineExceeded):
				q.bodyLate = true
				o = outcome.NotRun(outcome.DeadlineExceeded, "the body had not arrived by the deadline", 0)
			}
			return nil, &o
		}
	}
	return &upstream.PassThroughRequest{
		Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: s.forwardedHeaders(r.Header), Body: body, ID: q.id,
	}, nil
}

// readRequestBody reads the body of a caller's request by the request's deadline.
func (s *Server) readRequestBody(w http.ResponseWriter, r *http.Request, q *request, limit int64) ([]byte, error) {
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(q.deadline); err != nil {
		return nil, fmt.Errorf("deadline: %w", err)
	}
	body, err := s.o.Reads.ReadAll(r.Body, limit, r.ContentLength)
	if err != nil {
		return nil, err
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return nil, fmt.Errorf("deadline: %w", err)
	}
	return body, nil
}

// hopByHopHeaders apply to one connection only and are never forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// forwardedHeaders returns the headers to forward to the upstream. The values are shared with h.
func (s *Server) forwardedHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for k, v := range h {
		out[k] = v
	}
	stripHopByHop(out)
	for _, k := range s.o.Headers.Private {
		delete(out, k)
	}
	return out
}

// stripHopByHop removes the hop-by-hop headers and those that Connection lists.
func stripHopByHop(h http.Header) {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, k := range hopByHopHeaders {
		delete(h, k)
	}
}

// fingerprint returns a hash of the request's method, host, target and body.
func fingerprint(p *upstream.PassThroughRequest) string {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{p.Method, p.Host, p.Target} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(p.Body)
	return strconv.FormatUint(d.Sum64(), 16)
}
