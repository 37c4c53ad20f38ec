// Package forward serves callers' pass-through requests: it finds the route, runs the
// request here or delegates it to another VM, and writes the answer. Each repeat (hedge or
// retry) is paid from a budget per service. A Server is safe for concurrent use.
package forward

import (
	"context"
	"errors"
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
	"github.com/sardinespindle/sardinespindle/internal/ingress"
	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/internal/poison"
	"github.com/sardinespindle/sardinespindle/internal/policy/answer"
	policy "github.com/sardinespindle/sardinespindle/internal/policy/poison"
	"github.com/sardinespindle/sardinespindle/internal/policy/repeat"
	"github.com/sardinespindle/sardinespindle/internal/policy/route"
	"github.com/sardinespindle/sardinespindle/internal/policy/stop"
	"github.com/sardinespindle/sardinespindle/internal/policy/takeover"
	"github.com/sardinespindle/sardinespindle/internal/readlimit"
	"github.com/sardinespindle/sardinespindle/internal/sharded"
	"github.com/sardinespindle/sardinespindle/internal/single"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
)

// HeaderNames names the headers between callers and this VM, in the canonical form of
// net/http.
type HeaderNames struct {
	// RequestID carries the caller's id of the request.
	RequestID string
	// Deadline carries how long the caller waits, in milliseconds.
	Deadline string
	// Signatures lists the signatures of the parts in a search's answer; Missing carries
	// the number of shards that the answer lacks.
	Signatures, Missing string
	// Private are the headers that only this system may send to upstreams. They are
	// removed from callers' requests.
	Private []string
}

// Searcher runs searches.
type Searcher interface {
	Search(ctx context.Context, s gather.Search) outcome.Outcome
}

// Runner runs requests to single services.
type Runner interface {
	Run(ctx context.Context, q single.Request) outcome.Outcome
}

// Poison tracks poisoned requests, which end the upstreams that run them.
type Poison interface {
	// Check returns what is known of a fingerprint, and how long a refusal holds. It starts no run.
	Check(fingerprint string) (policy.Verdict, time.Duration)
	// Admit decides whether a request may run now; the caller ends the run that it returns.
	Admit(q poison.Request) poison.Admission
	// RecordReply records that an upstream has replied to a request that ran on other VMs, or in parts.
	RecordReply(q poison.Request)
}

// Options configure a Server.
type Options struct {
	// Catalog returns the catalog in force; nil until there is one.
	Catalog func() *catalog.Catalog
	// FirstCatalog is closed once there is a catalog, or once the first one is not expected any more.
	// May be nil if it is not.
	FirstCatalog <-chan struct{}
	Headers      HeaderNames
	Searcher     Searcher
	Runner       Runner
	Poison       Poison
	// Reads bounds the memory of callers' bodies that are being read. The default is 16 MiB.
	Reads *readlimit.Budget
	// Repeats bounds the attempts beyond the first to one service, summed over the fleet.
	Repeats repeat.Limits
	// VMs returns how many VMs send requests to a service and so share its Repeats.
	VMs func(service string) int
	// Zone is this VM's availability zone. Gatherers returns the gatherers by zone and
	// whether this VM is one. Peers delegates requests to gatherers; if nil, every request
	// runs on this VM.
	VM, Zone string
	// LinkMbps is the rate of this VM's link in Mbit/s; 0 if it is not known.
	LinkMbps  float64
	Gatherers func() (byZone map[string][]string, self bool)
	// Reach returns which VMs reach upstreams. Nil if all do.
	Reach func() Reach
	// Holders returns the other VMs that may send requests to upstreams of a workload to which this one
	// may not send some or any: they name a limit, or accept few connections. It may be nil.
	Holders func(w *manifest.Workload) []string
	Peers   Peers
	// ReportLost states to the fleet that a VM is unreachable; may be nil.
	ReportLost func(vm string)
	Now        func() time.Duration
	Log        *log.Logger
	Registerer prometheus.Registerer
}

// defaultReadBytes is the memory for callers' bodies that are being read, unless Options.Reads is set.
const defaultReadBytes = 16 << 20

// Server serves callers and the VMs that delegate to this one. It is safe for concurrent
// use.
type Server struct {
	o             Options
	metrics       *metrics
	repeatBudgets *sharded.Map[string, repeat.Bucket]
	peers         peerTable
	coverage      searchCoverage
	returns       returnTimes
	draining      atomic.Bool               // each answer closes its connection
	cutAt         atomic.Pointer[time.Time] // when requests are cut, while draining
	stopping      atomic.Bool               // new requests are not run
	requests      context.Context           // ends when the requests of callers are cut
	cut           context.CancelCauseFunc
	durations     *sharded.Map[string, stop.Durations] // by route
	answerSizes   *sharded.Map[string, int]            // by route; see takeAnswer
	largeAnswers  atomic.Bool                          // answerSizes is in use
	inFlight      atomic.Int64
}

// New returns a Server and registers its metrics.
func New(o Options) *Server {
	if o.Reach == nil {
		o.Reach = func() Reach { return Reach{Reached: true} }
	}
	if o.Holders == nil {
		o.Holders = func(*manifest.Workload) []string { return nil }
	}
	if o.Reads == nil {
		o.Reads = readlimit.New(defaultReadBytes)
	}
	if o.ReportLost == nil {
		o.ReportLost = func(string) {}
	}
	s := &Server{
		o: o, metrics: newMetrics(o.Registerer), repeatBudgets: sharded.New[string, repeat.Bucket](maxServices),
		durations: sharded.New[string, stop.Durations](maxServices), answerSizes: sharded.New[string, int](maxServices),
	}
	s.requests, s.cut = context.WithCancelCause(context.Background())
	return s
}

// Limits of the callers' connections.
const (
	// headerTimeout bounds how long a request's head may take to arrive.
	headerTimeout = 10 * time.Second
	// idleTimeout must be longer than any published idle timeout, as the shorter one applies.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes must be well above any published limit, as the lower one applies.
	maxHeaderBytes = 64 << 10
	// defaultMaxBodyBytes applies while no limit is published.
	defaultMaxBodyBytes = 1 << 20
)

// HTTPServer returns the HTTP server for callers.
func (s *Server) HTTPServer(addr string) *http.Server {
	closer := &idleCloser{limits: s.publishedLimits, timers: map[net.Conn]*idleTimer{}}
	return &http.Server{
		Addr: addr, Handler: s, ReadHeaderTimeout: headerTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: closer.onStateChange,
		ConnContext: withConn, BaseContext: func(net.Listener) context.Context { return s.requests },
	}
}

// request is the state of a request while this VM serves it.
type request struct {
	id string
	// fingerprint is the hash by which poisoned requests are recognized; empty until it is computed.
	fingerprint string
	// suspected says that the request may end the upstreams that run it: one VM runs all of it.
	suspected bool
	// run watches the attempts while the request runs on this VM. On trial, the request may end its upstreams; of a
	// search, suspects are shards of which it may, one of which may be tried.
	run                *poison.Run
	trial, trySuspects bool
	suspects           []string
	start              time.Time
	route              *route.Route
	service            string
	catalog            *catalog.Catalog
	deadline           time.Time // the caller gets an answer or an error by then
	// callerResent says that the caller seems to resend the request after it was shed: the
	// caller waits for less than resentTimeoutShare of the route's timeout.
	callerResent bool
	// delegated says that another VM delegated the request to this one; maybeSent that a
	// VM to which it was delegated may have sent it to upstreams.
	delegated, maybeSent bool
	// attempts is how many upstreams other VMs may have sent a request to a single service to.
	attempts int
	// ranElsewhere says that the outcome came from another VM.
	ranElsewhere bool
	// sent holds the replicas that other VMs may have sent a search to, by the index of the shard;
	// nil for none. announce announces those that this VM may send it to; nil if this VM took the
	// search from its caller. With confirmFirst, it announces all of them.
	sent         takeover.Record
	announce     announce
	confirmFirst bool
	// bodyLate says that the body had not arrived by the deadline. net/http then takes the
	// connection for closed.
	bodyLate bool
	// opensConn says that the request is the first one on its connection. path is the way of
	// the answer to the caller.
	opensConn bool
	path      answer.Path
	// conn is the caller's connection; nil if its load is not counted.
	conn *ingress.Conn
	// decideBy is when the VM that delegated the request needs a decision; zero if none did.
	decideBy time.Time
	// decidedAt is when the outcome was decided on; zero if that is not known.
	decidedAt time.Time
	// tried lists the VMs to which the request was delegated.
	tried []string
	// shards are the shards to search; nil for all shards of the route.
	shards []string
	// isPart says that the request is a part of a search. A part is not split again. control
	// connects it with the search.
	isPart  bool
	control control
}

// ServeHTTP serves one request of a caller.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	q := &request{
		id: r.Header.Get(s.o.Headers.RequestID), start: time.Now(), opensConn: opensConn(r), conn: ingress.FromContext(r.Context()),
	}
	o := s.serveGuarded(w, r, q)
	s.record(q, &o)
	if r.Context().Err() != nil && !q.bodyLate && !errors.Is(context.Cause(r.Context()), errCut) {
		// The caller has closed the connection. Were it still open, returning would answer 200.
		panic(http.ErrAbortHandler)
	}
	s.writeAnswer(w, r, q, &o)
	s.observeReturn(q)
}

// startRetryAfter is sent while this VM has no configuration or one without the requested service, and
// after a delegation that failed.
const startRetryAfter = 500 * time.Millisecond

func (s *Server) serve(w http.ResponseWriter, r *http.Request, q *request) outcome.Outcome {
	q.catalog = s.firstCatalog(r)
	if q.catalog == nil {
		return outcome.NotRun(outcome.NoManifest, "no configuration is known yet", startRetryAfter)
	}
	if s.stopping.Load() {
		return outcome.NotRun(outcome.Stopping, "this VM is stopping", stopRetryAfter)
	}
	q.route = q.catalog.Table.Find(hostOf(r.Host), r.URL.EscapedPath())
	if q.route == nil {
		return outcome.Rejected(outcome.UnknownWorkload, fmt.Sprintf("no route for %s%s", r.Host, r.URL.EscapedPath()))
	}
	q.deadline = s.deadline(r, q)
	if o, ends := s.endsInTime(q); !ends {
		return o
	}
	passThrough, rejection := s.readRequest(w, r, q)
	if rejection != nil {
		return *rejection
	}
	if !s.takeAnswer(q) {
		return outcome.NotRun(outcome.Overloaded, "answers that callers have not read leave no room", startRetryAfter)
	}
	q.service = q.route.ChooseService(rand.Float64())
	if q.route.Sharded() {
		q.path = s.path(r, q)
	}
	return s.runOrDelegate(r.Context(), q, passThrough)
}

func (s *Server) dispatch(ctx context.Context, q *request, p *upstream.PassThroughRequest) outcome.Outcome {
	if q.route.Sharded() {
		return s.search(ctx, q, p)
	}
	return s.runSingle(ctx, q, p)
}

func hostOf(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// callerReturnMargin is reserved for sending the answer to the caller. If the timeout is
// short, a tenth of it is reserved instead.
const callerReturnMargin = 25 * time.Millisecond

// deadline returns by when the caller must get an answer: shortly before the caller or the
// route times out, whichever is first. It also sets q.callerResent.
func (s *Server) deadline(r *http.Request, q *request) time.Time {
	timeout := q.route.Timeout
	if ms, err := strconv.ParseFloat(r.Header.Get(s.o.Headers.Deadline), 64); err == nil && ms > 0 {
		callerTimeout := time.Duration(ms * float64(time.Millisecond))
		q.callerResent = float64(callerTimeout) < resentTimeoutShare*float64(timeout)
		if timeout <= 0 || callerTimeout < timeout {
			timeout = callerTimeout
		}
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return q.start.Add(timeout - min(callerReturnMargin, timeout/10))
}

// resentTimeoutShare is a share of the route's timeout. If a caller waits for less, it is
// assumed to have spent the rest on an earlier request and to resend that one.
const resentTimeoutShare = 0.97

// defaultTimeout applies if neither the caller nor the route sets a timeout.
const defaultTimeout = 30 * time.Second

// Points in the course of a request. The shares are shares of its objective.
const (
	// searchHedgeShare is when a shard of a search is hedged: late enough for an idle
	// upstream to have replied, early enough for the hedge's reply to be in time.
	searchHedgeShare = 0.4
	// singleHedgeShare is when a request to a single service is hedged.
	singleHedgeShare = 0.5
)

// hedgeAfter returns the time from the first attempt, of a search from that at a shard, to its hedge.
func (q *request) hedgeAfter() time.Duration {
	if q.route.Sharded() {
		return scale(q.objective(), searchHedgeShare)
	}
	return scale(q.objective(), singleHedgeShare)
}

func (q *request) objective() time.Duration {
	if q.route.Objective > 0 {
		return q.route.Objective
	}
	return q.deadline.Sub(q.start)
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

func (s *Server) runSingle(ctx context.Context, q *request, p *upstream.PassThroughRequest) outcome.Outcome {
	workload := q.catalog.Manifest.Workloads[q.service]
	if workload == nil {
		return outcome.NotRun(outcome.NoUpstream, fmt.Sprintf("service %s is not published", q.service), startRetryAfter)
	}
	s.earnRepeats(q, q.service)
	maxAttempts := q.route.MaxAttempts
	if q.trial {
		maxAttempts = 1
	}
	return s.o.Runner.Run(ctx, single.Request{
		ID:          q.id,
		Fingerprint: q.fingerprint,
		Workload:    workload,
		Deadline:    q.deadline,
		Watcher:     q.run,
		PassThrough: &single.PassThrough{
			Request:     p,
			Route:       q.route.Name,
			Idempotent:  q.route.Idempotent,
			HedgeAfter:  q.hedgeAfter(),
			MaxAttempts: maxAttempts,
			Used:        q.attempts,
			Repeat:      func(hedge bool) bool { return s.takeRepeat(q.service, hedge) },
		},
	})
}

// record counts a request by its outcome. It logs each request except those answered in time
// and completely with a status below 500.
func (s *Server) record(q *request, o *outcome.Outcome) {
	elapsed := time.Since(q.start)
	routeName := ""
	if q.route != nil {
		routeName = q.route.Name
	}
	s.metrics.observe(o, elapsed)
	s.observeDuration(q, o, elapsed)
	late := q.route != nil && elapsed > q.objective()
	if o.Kind == caller.OutcomeAnswered && o.ResultStatus < http.StatusInternalServerError &&
		(o.Coverage == nil || o.Coverage.Complete) && !late {
		return
	}
	fields := []any{
		"id", q.id, "route", routeName, "service", q.service, "outcome", o.Kind, "reason", o.Reason, "detail", o.Detail,
		"took_ms", elapsed.Milliseconds(), "sent", o.Cost.Sent, "shed", o.Cost.Shed, "retry_after_ms", o.RetryAfter.Milliseconds(),
	}
	if q.catalog != nil {
		fields = append(fields, "version", q.catalog.Config.Version)
	}
	if late {
		fields = append(fields, "objective_ms", q.objective().Milliseconds())
	}
	if !q.decidedAt.IsZero() {
		fields = append(fields, "decided_ms", q.decidedAt.Sub(q.start).Milliseconds())
	}
	if o.Reason == outcome.CrashSuspected {
		fields = append(fields, "fingerprint", q.fingerprint)
	}
	if o.Coverage != nil {
		fields = append(fields, "covered", o.Coverage.ShardsCovered, "shards", o.Coverage.ShardsTotal)
	}
	s.o.Log.Info("request", fields...)
}
