// Package forward serves callers' requests that go to upstreams unchanged: it finds the
// route, hands the request to the search engine or to the runner of single workloads,
// and writes what came of it. Budgets of repeats are kept a service apart, each under
// its own lock.
package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sardinespindle/sardinespindle/internal/catalog"
	"github.com/sardinespindle/sardinespindle/internal/gather"
	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/internal/policy/repeat"
	"github.com/sardinespindle/sardinespindle/internal/policy/route"
	"github.com/sardinespindle/sardinespindle/internal/sharded"
	"github.com/sardinespindle/sardinespindle/internal/single"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
)

// Headers names the headers between callers and this VM, in the canonical form of
// net/http.
type Headers struct {
	// RequestID is the caller's id of a request.
	RequestID string
	// Deadline holds the time that the caller waits, in milliseconds.
	Deadline string
	// Signatures names the parts of a search's answer, and Missing counts the shards
	// left out.
	Signatures, Missing string
	// Private are headers that only this system sets; a caller's own are not forwarded.
	Private []string
}

// Searcher runs searches.
type Searcher interface {
	Search(ctx context.Context, s gather.Search) outcome.Outcome
}

// Runner runs requests to single workloads.
type Runner interface {
	Run(ctx context.Context, q single.Request) outcome.Outcome
}

// Suspects knows the requests that end the upstreams that run them.
type Suspects interface {
	// Refused reports whether a request must not run now, and when to come back.
	Refused(fingerprint string) (time.Duration, bool)
	// Crashed takes note that an upstream ended while it ran the request.
	Crashed(ctx context.Context, fingerprint, requestID string)
	// Answered takes note of a whole answer.
	Answered(fingerprint string)
}

// Options of a Server.
type Options struct {
	// Catalog returns what is in force; nil before anything is.
	Catalog  func() *catalog.Catalog
	Headers  Headers
	Searcher Searcher
	Runner   Runner
	Suspects Suspects
	// Repeats bound the attempts beyond the first, summed over the fleet.
	Repeats repeat.Limits
	// VMs returns how many VMs share Repeats of a service.
	VMs func(service string) int
	// Zone is this VM's availability zone. Gatherers names the VMs that run searches, by
	// zone, and tells whether this one is among them. Peers calls them; it may be nil.
	Zone       string
	Gatherers  func() (byZone map[string][]string, self bool)
	Peers      Peers
	Now        func() time.Duration
	Log        *log.Logger
	Registerer prometheus.Registerer
}

// maxServices bounds the services whose budget is kept.
const maxServices = 8192

// Server serves callers. It is safe for use by several goroutines.
type Server struct {
	o        Options
	metrics  *metrics
	budgets  *sharded.Map[string, repeat.Bucket]
	peers    peerTable
	calm     calm
	stopping atomic.Bool
	closing  atomic.Bool
	inFlight atomic.Int64
}

// New returns a Server.
func New(o Options) *Server {
	return &Server{o: o, metrics: newMetrics(o.Registerer), budgets: sharded.New[string, repeat.Bucket](maxServices)}
}

// Times and bounds of the callers' connections.
const (
	// headerTimeout bounds how long the head of a request may take.
	headerTimeout = 10 * time.Second
	// idleTimeout is above the longest idle time that operators publish.
	idleTimeout = 2 * time.Minute
	// mostHeaderBytes is well above the bounds that operators publish.
	mostHeaderBytes = 64 << 10
	// defaultBodyBytes bounds a body while no bound is published.
	defaultBodyBytes = 1 << 20
)

// HTTPServer returns the server of the callers' address.
func (s *Server) HTTPServer(addr string) *http.Server {
	idle := &idlers{limit: s.publishedIdle, timers: map[net.Conn]*idleTimer{}}
	return &http.Server{
		Addr: addr, Handler: s, ReadHeaderTimeout: headerTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: mostHeaderBytes, ConnState: idle.state,
	}
}

// Stop closes each connection after its next answer. Requests are still served.
func (s *Server) Stop() { s.stopping.Store(true) }

// Refuse turns away each request that comes from now on.
func (s *Server) Refuse() { s.closing.Store(true) }

// InFlight returns the number of requests being served.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// request is one request being served.
type request struct {
	id string
	// fingerprint tells like requests; empty before the request runs here.
	fingerprint string
	begun       time.Time
	route       *route.Route
	service     string
	catalog     *catalog.Catalog
	deadline    time.Time // when the caller is answered in any case
	// returning says that the caller has spent a part of its time before: it was refused.
	returning bool
	// delegated says that another VM handed the search over; resent that one that was
	// handed it may have sent it to upstreams.
	delegated, resent bool
	// tried are the VMs that were handed it.
	tried []string
	// shards are those of a part of a search; nil for all of the route. A part is not
	// divided again.
	shards []string
	part   bool
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	q := &request{id: r.Header.Get(s.o.Headers.RequestID), begun: time.Now()}
	o := s.serve(r, q)
	s.record(q, &o)
	if r.Context().Err() != nil {
		return // the caller has left
	}
	s.write(w, r, q, &o)
}

// Waits after which a refused caller may come back.
const (
	startWait = 500 * time.Millisecond
	stopWait  = 50 * time.Millisecond
)

func (s *Server) serve(r *http.Request, q *request) outcome.Outcome {
	q.catalog = s.o.Catalog()
	if q.catalog == nil {
		return outcome.NotRun(outcome.NoManifest, "no configuration is known yet", startWait)
	}
	if s.closing.Load() {
		return outcome.NotRun(outcome.Stopping, "this VM is stopping", stopWait)
	}
	q.route = q.catalog.Table.Find(hostOf(r.Host), r.URL.EscapedPath())
	if q.route == nil {
		return outcome.Rejected(outcome.UnknownWorkload, fmt.Sprintf("no route for %s%s", r.Host, r.URL.EscapedPath()))
	}
	passed, refusal := s.read(r, q)
	if refusal != nil {
		return *refusal
	}
	q.deadline = s.deadline(r, q)
	q.service = q.route.Choose(rand.Float64())
	return s.place(r.Context(), q, passed)
}

// run runs a request on this VM.
func (s *Server) run(ctx context.Context, q *request, p *upstream.Passed) outcome.Outcome {
	q.fingerprint = fingerprint(p)
	if after, refused := s.o.Suspects.Refused(q.fingerprint); refused {
		return outcome.NotRun(outcome.CrashSuspected, "requests like this one ended upstreams", after)
	}
	o := s.runOne(ctx, q, p)
	switch {
	case o.Reason == outcome.CrashSuspected:
		s.o.Suspects.Crashed(ctx, q.fingerprint, q.id)
	case o.Kind == caller.OutcomeAnswered && (o.Coverage == nil || o.Coverage.Complete):
		s.o.Suspects.Answered(q.fingerprint)
	}
	return o
}

func (s *Server) runOne(ctx context.Context, q *request, p *upstream.Passed) outcome.Outcome {
	if q.route.Sharded() {
		return s.search(ctx, q, p)
	}
	return s.single(ctx, q, p)
}

func hostOf(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// answerMargin is kept back for the way of the answer to the caller.
const answerMargin = 25 * time.Millisecond

// deadline returns when the caller is answered in any case: before it gives up, and at
// the route's timeout.
func (s *Server) deadline(r *http.Request, q *request) time.Time {
	wait := q.route.Timeout
	if ms, err := strconv.ParseFloat(r.Header.Get(s.o.Headers.Deadline), 64); err == nil && ms > 0 {
		given := time.Duration(ms * float64(time.Millisecond))
		q.returning = float64(given) < returningShare*float64(wait)
		if wait <= 0 || given < wait {
			wait = given
		}
	}
	if wait <= 0 {
		wait = defaultWait
	}
	return q.begun.Add(wait - min(answerMargin, wait/10))
}

// returningShare is the part of a route's timeout below which a caller's time shows that
// it has waited before.
const returningShare = 0.97

// defaultWait bounds a request that neither its caller nor its route bounds.
const defaultWait = 30 * time.Second

// repeat pays for one attempt beyond the first at a service, because the first is slow
// (hedge) or failed.
func (s *Server) repeat(service string, hedge bool) (paid bool) {
	now, vms := s.o.Now(), s.o.VMs(service)
	s.budgets.Do(service, func(b *repeat.Bucket) {
		if hedge {
			paid = b.TakeHedge(now, s.o.Repeats, vms)
		} else {
			paid = b.Take(now, s.o.Repeats, vms)
		}
	})
	if paid {
		s.metrics.repeats.Inc()
	} else {
		s.metrics.unpaid.Inc()
	}
	return paid
}

func (s *Server) earn(service string) {
	s.budgets.Do(service, func(b *repeat.Bucket) { b.Earn(s.o.Now(), s.o.Repeats, s.o.VMs(service)) })
}

// Moments of a request, as shares of its objective.
const (
	// hedgeSearch is when a shard of a search is asked once more: late enough for the
	// reply of an idle upstream, early enough for a second one in time.
	hedgeSearch = 0.4
	// hedgeSingle is the same for a request to a single upstream.
	hedgeSingle = 0.5
	// answerShare and answerSlack give the latest moment of an answer in time.
	answerShare = 0.95
	answerSlack = 8 * time.Millisecond
)

func (q *request) objective() time.Duration {
	if q.route.Objective > 0 {
		return q.route.Objective
	}
	return q.deadline.Sub(q.begun)
}

// answerAt returns the latest moment of an answer in time.
func (q *request) answerAt() time.Time {
	at := q.begun.Add(share(q.objective(), answerShare) - answerSlack)
	if at.After(q.deadline) {
		return q.deadline
	}
	return at
}

func share(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }

func (s *Server) single(ctx context.Context, q *request, p *upstream.Passed) outcome.Outcome {
	workload := q.catalog.Manifest.Workloads[q.service]
	if workload == nil {
		return outcome.NotRun(outcome.NoUpstream, fmt.Sprintf("service %s is not published", q.service), startWait)
	}
	s.earn(q.service)
	return s.o.Runner.Run(ctx, single.Request{
		ID:          q.id,
		Fingerprint: q.fingerprint,
		Workload:    workload,
		Deadline:    q.deadline,
		Pass: &single.Pass{
			Request:    p,
			Route:      q.route.Name,
			Idempotent: q.route.Idempotent,
			HedgeAfter: share(q.objective(), hedgeSingle),
			Attempts:   q.route.Attempts,
			Repeat:     func(hedge bool) bool { return s.repeat(q.service, hedge) },
		},
	})
}

// record counts and logs what became of a request.
func (s *Server) record(q *request, o *outcome.Outcome) {
	took := time.Since(q.begun)
	name := ""
	if q.route != nil {
		name = q.route.Name
	}
	s.metrics.done(o, took)
	if o.Kind == caller.OutcomeAnswered && o.ResultStatus < http.StatusInternalServerError &&
		(o.Coverage == nil || o.Coverage.Complete) {
		return
	}
	fields := []any{
		"id", q.id, "route", name, "service", q.service, "outcome", o.Kind, "reason", o.Reason, "detail", o.Detail,
		"took_ms", took.Milliseconds(), "sent", o.Cost.Sent, "shed", o.Cost.Shed, "retry_after_ms", o.RetryAfter.Milliseconds(),
	}
	if q.catalog != nil {
		fields = append(fields, "version", q.catalog.Config.Version)
	}
	if o.Coverage != nil {
		fields = append(fields, "covered", o.Coverage.ShardsCovered, "shards", o.Coverage.ShardsTotal)
	}
	s.o.Log.Info("request", fields...)
}
