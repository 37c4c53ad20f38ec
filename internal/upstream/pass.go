package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/textproto"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/policy/forecast"
	"github.com/sardinespindle/sardinespindle/internal/policy/plan"
)

// HeaderNames names the headers of pass-through requests and their replies, in the
// canonical form of net/http.
type HeaderNames struct {
	// RequestID is the caller's id of a request, which the upstream echoes.
	RequestID string
	// Deadline is the time left until the deadline, in milliseconds.
	Deadline string
	// Identity is the identity of the upstream that the request is meant for.
	Identity string
	// Signature is set on each reply that the upstream made itself; the reply of an
	// intermediary or of another server lacks it.
	Signature string
	// NotRun is set on a reply to a request that the upstream did not run.
	NotRun string
	// Load is the upstream's running requests, waiting requests and slots, separated by commas; a
	// fourth figure is how long work takes on its machine at the moment, 100 as usual.
	Load string
	// Leaving is "1" on each reply of an upstream that is about to stop.
	Leaving string
	// Limit is the requests a second that the upstream takes from all VMs together, as a
	// decimal number. A reply without it names no limit.
	Limit string
	// Warmup is the time until the upstream is warm, in milliseconds; 0 if it is. A reply without it says
	// nothing about that.
	Warmup string
}

// PassThroughRequest is a request that is forwarded unchanged. The attempts of one request share
// it, so it must not be modified.
type PassThroughRequest struct {
	Method string
	// Target is the path and query as in the request line.
	Target string
	Host   string
	// Header holds the headers to forward, without per-connection headers.
	Header http.Header
	Body   []byte
	// ID is the caller's id of the request.
	ID string
}

// Errors of replies to pass-through requests.
var (
	errEncoded       = errors.New("reply has a content encoding that nobody asked for")
	errNoSignature   = errors.New("reply does not bear the upstream's signature")
	errOtherUpstream = errors.New("another upstream has the address")
	errUnnamed       = errors.New("reply does not name the request that it is for")
)

// checkPassThroughEcho returns an error unless a reply is for the attempt. A reply without an id is, if its
// connection carried no other request, but a refusal must have one: it promises that this very request has not run.
func (c *Client) checkPassThroughEcho(a *Attempt, resp *http.Response) error {
	id := strings.Join(resp.Header.Values(c.opts.Headers.RequestID), ",")
	switch {
	case !c.rules.echo || id != "" && id == a.PassThrough.ID:
		return nil
	case id != "":
		return errOtherAttempt
	case a.reused || c.isRefusal(resp):
		return errUnnamed
	default:
		return nil
	}
}

// isRefusal reports whether a reply says that the upstream did not run the request that it is for.
func (c *Client) isRefusal(resp *http.Response) bool {
	return resp.StatusCode == http.StatusMisdirectedRequest || resp.Header.Get(c.opts.Headers.NotRun) != ""
}

// classifyPassThrough classifies a complete reply to a pass-through request.
func (c *Client) classifyPassThrough(a *Attempt, resp *http.Response, body []byte) Result {
	w := &c.opts.Headers
	h := resp.Header
	if err := c.checkPassThroughEcho(a, resp); err != nil {
		return Result{Class: InvalidReply, Status: resp.StatusCode, Err: err}
	}
	r := Result{Status: resp.StatusCode, Header: h, Body: body, RetryAfter: parseRetryAfter(resp)}
	signature := h.Get(w.Signature)
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest:
		r.Class, r.Err = Shed, errOtherUpstream
	case h.Get(w.NotRun) != "":
		r.Class, r.Err = Shed, fmt.Errorf("%w: status %d", errNotRun, resp.StatusCode)
	case h.Get("Content-Encoding") != "":
		r.Class, r.Err = InvalidReply, errEncoded
	case signature == "":
		r.Class, r.Err = InvalidReply, fmt.Errorf("%w: status %d", errNoSignature, resp.StatusCode)
	case resp.StatusCode >= http.StatusInternalServerError:
		r.Class, r.Err = Failed, fmt.Errorf("%w: status %d", errStatus, resp.StatusCode)
	default:
		r.Class, r.Signature = OK, signature
	}
	return r
}

// newPassThroughRequest builds the HTTP request of an attempt of kind PassThrough.
func (c *Client) newPassThroughRequest(ctx context.Context, s *server, a *Attempt) *http.Request {
	p := a.PassThrough
	w := &c.opts.Headers
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
		URL:    targetURL(s.address, p.Target),
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

// noUserAgent keeps net/http from adding its own User-Agent.
var noUserAgent = []string{""}

// targetURL returns the URL with which net/http writes target unchanged. As URL.Opaque, a target that
// starts with two slashes would be written in the absolute form, with the address as its host; its path
// is given instead, and the absolute form is left to paths that net/http would encode otherwise.
func targetURL(address, target string) *url.URL {
	u := &url.URL{Scheme: "http", Host: address, Opaque: target}
	if !strings.HasPrefix(target, "//") {
		return u
	}
	u.Opaque = "//" + address + target
	raw, query, hasQuery := strings.Cut(target, "?")
	path, err := url.PathUnescape(raw)
	if err != nil {
		return u
	}
	origin := &url.URL{Scheme: "http", Host: address, Path: path, RawPath: raw, RawQuery: query, ForceQuery: hasQuery}
	if origin.RequestURI() != target {
		return u
	}
	return origin
}

// readPassThrough reads the complete body of a reply to a pass-through request. A body
// without a length ends when the upstream closes the connection; net/http reports a
// reset as an error.
func (c *Client) readPassThrough(resp *http.Response, limit int64) ([]byte, error) {
	body := resp.Body
	if c.opts.CountReply != nil {
		body = c.opts.CountReply(resp.Request.Context(), body, resp.ContentLength)
	}
	defer body.Close()
	return c.readAll(body, resp, limit)
}

// passThroughLoad returns the load that a reply to a pass-through request reports; Known
// is false if it reports none.
func (c *Client) passThroughLoad(h http.Header) forecast.Load {
	fields := strings.Split(h.Get(c.opts.Headers.Load), ",")
	if len(fields) != 3 && len(fields) != 4 {
		return forecast.Load{}
	}
	var n [4]int
	for i, f := range fields {
		v, err := strconv.Atoi(textproto.TrimString(f))
		if err != nil || v < 0 || v > maxLoad {
			return forecast.Load{}
		}
		n[i] = v
	}
	return forecast.Load{Known: true, Running: n[0], Waiting: n[1], Slots: n[2], Pace: float64(n[3]) / 100}
}

// SetObjectives sets the latency objectives of routes, by name; they bound what is expected of an upstream
// before the first replies.
func (c *Client) SetObjectives(byRoute map[string]time.Duration) { c.objectives.Store(&byRoute) }

// typicalLatency returns the estimated latency of a route at an upstream without a queue.
func (c *Client) typicalLatency(route string) (d time.Duration) {
	c.updateTypicalLatency(route, func(w *forecast.TypicalLatency) { d = w.At(c.opts.Now()) })
	return d
}

func (c *Client) updateTypicalLatency(route string, fn func(*forecast.TypicalLatency)) {
	var objective time.Duration
	if byRoute := c.objectives.Load(); byRoute != nil {
		objective = (*byRoute)[route]
	}
	c.routeLatency.Update(route, func(w *forecast.TypicalLatency) {
		w.SetObjective(objective)
		fn(w)
	})
}

// recordPassThrough records the result of a pass-through request; sinceSent is the time
// since the request's first byte.
func (c *Client) recordPassThrough(s *server, t *Ticket, a *Attempt, r *Result, now, sinceSent time.Duration) {
	typical := c.typicalLatency(a.Route)
	if r.Class == OK && !r.load.Queued() {
		c.updateTypicalLatency(a.Route, func(w *forecast.TypicalLatency) { w.Observe(now, r.load.AtUsualPace(sinceSent)) })
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removePassThrough(t.pickedAt)
	if errors.Is(r.Err, errNoRoom) {
		return
	}
	switch r.Class {
	case OK, Failed:
		s.forecast.Replied(now, sinceSent, typical, r.load)
	case Shed:
		s.forecast.Shed(now)
	case TimedOut, Canceled, Lost:
		s.forecast.Unanswered(now, r.Latency, typical)
	case NotSent, InvalidReply:
	}
}

// removePassThrough removes the pass-through request that was picked at pickedAt from
// those under way. The lock is held.
func (s *server) removePassThrough(pickedAt time.Duration) {
	if i := slices.Index(s.passThroughPicks, pickedAt); i >= 0 {
		s.passThroughPicks = slices.Delete(s.passThroughPicks, i, i+1)
	}
}

// PickPassThrough picks an upstream for a pass-through request of a route, except the
// excluded addresses, and returns the expected time to the reply. It never blocks.
// Suspect and saturated upstreams come last. A suspect one is compared with the others by
// cost once a trial request is due, unless it is saturated.
func (c *Client) PickPassThrough(w *manifest.Workload, route string, exclude []string) (*Ticket, time.Duration, error) {
	g := c.current.Load().groups[groupKey{workload: string(w.Name)}]
	if g == nil {
		return nil, 0, c.countPickError(w, ErrNoReplica)
	}
	if c.path.isStranded() {
		return nil, 0, c.countPickError(w, ErrUnreachable)
	}
	now := c.opts.Now()
	typical := c.typicalLatency(route)
	for tried := 0; ; tried++ {
		best, err := c.choosePassThrough(g, now, typical, exclude)
		if best == nil {
			return nil, 0, c.countPickError(w, err)
		}
		if t, cost, ok := best.takePassThroughSlot(now, typical); ok {
			t.metrics = g.metrics.get()
			return t, cost, nil
		}
		if tried == maxCandidates {
			return nil, 0, c.countPickError(w, ErrLimited)
		}
	}
}

// choosePassThrough picks one of a group's upstreams for a pass-through request by cost.
func (c *Client) choosePassThrough(g *group, now, typical time.Duration, exclude []string) (*server, error) {
	var servers, suspects []*server
	var costs, suspectCosts []time.Duration
	pickErr := ErrNoReplica
	for _, s := range g.servers {
		if slices.Contains(exclude, s.address) {
			continue
		}
		cost, suspect, err := s.passThroughCost(now, typical, c.opts.Zone)
		switch {
		case err != nil:
			pickErr = preferredPickError(pickErr, err)
		case suspect:
			suspects, suspectCosts = append(suspects, s), append(suspectCosts, cost)
		default:
			servers, costs = append(servers, s), append(costs, cost)
		}
	}
	if len(servers) == 0 {
		servers, costs = suspects, suspectCosts
	}
	if len(servers) == 0 {
		return nil, pickErr
	}
	return servers[plan.Choose(costs, rand.Float64)], nil
}

// passThroughCost returns the cost of one more pass-through request. suspect is true for
// a saturated upstream, and for a suspect one until a trial is due.
func (s *server) passThroughCost(now, typical time.Duration, zone string) (cost time.Duration, suspect bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pool.share.Load() == 0 {
		return 0, false, ErrNoShare
	}
	if err := s.refusal(now); err != nil {
		return 0, false, err
	}
	if !s.limit.Allows(s.health.Outstanding) {
		return 0, false, ErrLimited
	}
	if left := s.rate.Wait(now); left > 0 {
		return 0, false, &WaitError{Left: left, AtLimit: true}
	}
	cost = s.forecast.Cost(now, typical, s.passThroughInFlight(now))
	if string(s.entry.Zone) != zone {
		cost += plan.OtherZoneCost(typical)
	}
	return cost, s.health.Suspect() && !s.health.ProbeDue(now) || s.pool.saturated(now), nil
}

// passThroughInFlight describes the pass-through requests under way. The lock is held.
func (s *server) passThroughInFlight(now time.Duration) forecast.InFlight {
	f := forecast.InFlight{Count: len(s.passThroughPicks), Slots: s.entry.Slots}
	for _, at := range s.passThroughPicks {
		f.Oldest = max(f.Oldest, now-at)
	}
	return f
}

// takePassThroughSlot takes a concurrency slot, and a request of the upstream's rate, for a
// pass-through request, and returns its ticket and the expected time to its reply; false if a limit
// was reached since the choice.
func (s *server) takePassThroughSlot(now, typical time.Duration) (*Ticket, time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.limit.Allows(s.health.Outstanding) {
		return nil, 0, false
	}
	taken, ok := s.rate.Take(now)
	if !ok {
		return nil, 0, false
	}
	expected := s.forecast.Cost(now, typical, s.passThroughInFlight(now))
	if s.health.Suspect() {
		s.health.Failed(now) // postpones the next trial
	}
	s.health.Outstanding++
	s.passThroughPicks = append(s.passThroughPicks, now)
	return &Ticket{server: s, pickedAt: now, passThrough: true, rateTaken: taken}, expected, true
}
