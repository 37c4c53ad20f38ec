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

// read returns the request as it is forwarded, or why it is not.
func (s *Server) read(r *http.Request, q *request) (*upstream.Passed, *outcome.Outcome) {
	if o := checkHead(r, q.catalog.Config.Limits.HeaderBytes); o != nil {
		return nil, o
	}
	most := int64(q.catalog.Config.Limits.BodyBytes)
	if most <= 0 {
		most = defaultBodyBytes
	}
	if r.ContentLength > most {
		o := outcome.Rejected(outcome.TooLarge, fmt.Sprintf("body of %d bytes, at most %d", r.ContentLength, most))
		return nil, &o
	}
	var body []byte
	if r.ContentLength != 0 {
		var err error
		body, err = io.ReadAll(io.LimitReader(r.Body, most+1))
		if err != nil {
			o := outcome.Rejected(outcome.BadRequest, fmt.Sprintf("read body: %v", err))
			return nil, &o
		}
		if int64(len(body)) > most {
			o := outcome.Rejected(outcome.TooLarge, fmt.Sprintf("body of over %d bytes", most))
			return nil, &o
		}
	}
	return &upstream.Passed{
		Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: s.forwarded(r.Header), Body: body, ID: q.id,
	}, nil
}

// perConnection are headers that concern one connection only.
var perConnection = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// forwarded returns the headers that go on to the upstream.
func (s *Server) forwarded(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for k, v := range h {
		out[k] = v
	}
	strip(out)
	for _, k := range s.o.Headers.Private {
		delete(out, k)
	}
	return out
}

// strip takes the per-connection headers out.
func strip(h http.Header) {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, k := range perConnection {
		delete(h, k)
	}
}

// fingerprint tells like requests by route, target and body.
func fingerprint(p *upstream.Passed) string {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{p.Method, p.Host, p.Target} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(p.Body)
	return strconv.FormatUint(d.Sum64(), 16)
}
