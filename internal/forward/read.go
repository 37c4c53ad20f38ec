package forward

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
)

// readRequest returns the pass-through request, or the outcome that rejects it.
func (s *Server) readRequest(r *http.Request, q *request) (*upstream.PassThroughRequest, *outcome.Outcome) {
	if o := checkHead(r, q.catalog.Config.Limits.HeaderBytes); o != nil {
		return nil, o
	}
	limit := int64(q.catalog.Config.Limits.BodyBytes)
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if r.ContentLength > limit {
		o := outcome.Rejected(outcome.TooLarge, fmt.Sprintf("body of %d bytes, at most %d", r.ContentLength, limit))
		return nil, &o
	}
	var body []byte
	if r.ContentLength != 0 {
		var err error
		body, err = io.ReadAll(io.LimitReader(r.Body, limit+1))
		if err != nil {
			o := outcome.Rejected(outcome.BadRequest, fmt.Sprintf("read body: %v", err))
			return nil, &o
		}
		if int64(len(body)) > limit {
			o := outcome.Rejected(outcome.TooLarge, fmt.Sprintf("body of over %d bytes", limit))
			return nil, &o
		}
	}
	return &upstream.PassThroughRequest{
		Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: s.forwardedHeaders(r.Header), Body: body, ID: q.id,
	}, nil
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
