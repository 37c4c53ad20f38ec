package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Wire names the headers of an interface that passes requests through unchanged, in
// the canonical form of net/http.
type Wire struct {
	// RequestID carries the caller's id of a request, which the upstream echoes.
	RequestID string
	// Deadline carries the time that the upstream has, in milliseconds.
	Deadline string
	// Identity names the upstream that is expected to answer.
	Identity string
	// Signature marks a reply that the upstream made itself.
	Signature string
	// NotRun marks a reply of an upstream that did not run the request.
	NotRun string
	// Load carries the upstream's running and waiting requests and its slots.
	Load string
}

// Passed is a request that goes to the upstream as the caller sent it. It is shared by
// the attempts of one request, so nobody changes it.
type Passed struct {
	Method string
	// Target is the path and query as they stood in the request line.
	Target string
	Host   string
	// Header holds what is forwarded; per-connection headers are taken out.
	Header http.Header
	Body   []byte
	// ID is the caller's id of the request.
	ID string
}

// Errors of replies to passed requests that may not be used.
var (
	errEncoded     = errors.New("reply has a content encoding that nobody asked for")
	errNoSignature = errors.New("reply does not bear the upstream's signature")
	errStranger    = errors.New("another upstream has the address")
)

// passClass says what a whole reply to a passed request means.
func (c *Client) passClass(a *Attempt, resp *http.Response, body []byte) Result {
	w := &c.o.Wire
	h := resp.Header
	r := Result{Status: resp.StatusCode, Header: h, Body: body, RetryAfter: retryAfterOf(resp)}
	signature := h.Get(w.Signature)
	id := h.Get(w.RequestID)
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest:
		r.Class, r.Err = Shed, errStranger
	case h.Get(w.NotRun) != "":
		r.Class, r.Err = Shed, fmt.Errorf("%w: status %d", errNotRun, resp.StatusCode)
	case id != "" && id != a.Pass.ID:
		r.Class, r.Err = Garbled, errEcho
	case h.Get("Content-Encoding") != "":
		r.Class, r.Err = Garbled, errEncoded
	case signature == "":
		r.Class, r.Err = Garbled, fmt.Errorf("%w: status %d", errNoSignature, resp.StatusCode)
	case resp.StatusCode >= http.StatusInternalServerError:
		r.Class, r.Err = Failed, fmt.Errorf("%w: status %d", errStatus, resp.StatusCode)
	default:
		r.Class, r.Signature = OK, signature
	}
	return r
}

// passRequest builds the HTTP request of a passed attempt.
func (c *Client) passRequest(ctx context.Context, s *server, a *Attempt) *http.Request {
	p := a.Pass
	w := &c.o.Wire
	h := make(http.Header, len(p.Header)+4)
	for k, v := range p.Header {
		h[k] = v
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = noUserAgent
	}
	if d, ok := ctx.Deadline(); ok {
		left := max(time.Until(d).Milliseconds(), 1)
		h[w.Deadline] = []string{strconv.FormatInt(left, 10)}
	}
	if s.identity != "" {
		h[w.Identity] = []string{s.identity}
	}
	req := &http.Request{
		Method: p.Method,
		URL:    &url.URL{Scheme: "http", Host: s.address, Opaque: opaqueTarget(s.address, p.Target)},
		Proto:  "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: h,
		Host:   p.Host,
		Body:   http.NoBody,
	}
	if len(p.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(p.Body))
		req.ContentLength = int64(len(p.Body))
	}
	return req.WithContext(ctx)
}

// noUserAgent keeps net/http from adding one of its own.
var noUserAgent = []string{""}

// opaqueTarget returns the form of a target that net/http writes unchanged. A target
// that starts with two slashes would be read as an authority.
func opaqueTarget(address, target string) string {
	if strings.HasPrefix(target, "//") {
		return "//" + address + target
	}
	return target
}

// readPassed reads the whole body of a reply to a passed request. One without a length
// ends with its connection; net/http tells a clean end from a reset.
func readPassed(resp *http.Response, most int64) ([]byte, error) {
	if resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 {
		return readBody(resp, most)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, most+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > most {
		return nil, errTooLarge
	}
	return body, nil
}

// passLoad returns the load that a reply reports, in requests a slot; false where it
// reports none.
func (c *Client) passLoad(h http.Header) (float64, bool) {
	fields := strings.Split(h.Get(c.o.Wire.Load), ",")
	if len(fields) != 3 {
		return 0, false
	}
	var n [3]float64
	for i, f := range fields {
		v, err := strconv.ParseFloat(textproto.TrimString(f), 64)
		if err != nil || !(v >= 0 && v <= mostLoad) {
			return 0, false
		}
		n[i] = v
	}
	if n[2] == 0 {
		return 0, false
	}
	return (n[0] + n[1]) / n[2], true
}
