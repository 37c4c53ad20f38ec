// Package callers serves the callers' HTTP interface: it checks identity and input,
// admits or sheds, runs the request and writes the answer. Every request for a workload
// gets an outcome, also one that is rejected or shed. A Server is safe for concurrent
// use: its own shared state is atomic, and admission and metrics do their own locking.
package callers

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sardinespindle/sardinespindle/internal/admission"
	"github.com/sardinespindle/sardinespindle/internal/gather"
	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/internal/single"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
)

const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 32 << 10
	// defaultRetryAfter is sent to a caller while the VM has no manifest.
	defaultRetryAfter = time.Second
)

// Searcher runs searches of sharded workloads.
type Searcher interface {
	Search(ctx context.Context, s gather.Search) outcome.Outcome
}

// Runner runs requests of single workloads.
type Runner interface {
	Run(ctx context.Context, q single.Request) outcome.Outcome
}

// Options configures a Server.
type Options struct {
	// Manifest returns the manifest in force, nil for none.
	Manifest func() *manifest.Manifest
	// Ready reports whether the load balancer should send requests to this VM.
	Ready     func() bool
	Searcher  Searcher
	Runner    Runner
	Admission *admission.Controller
	Log       *log.Logger
	// Registerer may be nil.
	Registerer prometheus.Registerer
}

// Server is the callers' interface of one VM.
type Server struct {
	o        Options
	metrics  *metrics
	stopping atomic.Bool
	inFlight atomic.Int64
}

// New returns a Server.
func New(o Options) *Server {
	return &Server{o: o, metrics: newMetrics(o.Registerer)}
}

// Handler returns the HTTP handler of the interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/workloads/{workload}/search", s.serve(s.search))
	mux.HandleFunc("POST /v1/workloads/{workload}/requests", s.serve(s.request))
	mux.HandleFunc("GET /v1/health", s.health)
	return traced(mux)
}

// HTTPServer returns the server that serves the handler on an address.
func (s *Server) HTTPServer(addr string) *http.Server {
	return &http.Server{
		Addr:              addr,
		Handler:           s.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Stop makes the health check fail and each answer close its connection. Requests that
// still arrive are served.
func (s *Server) Stop() { s.stopping.Store(true) }

// InFlight returns the number of requests being served.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	if s.stopping.Load() || !s.o.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// call is the state of one request being served.
type call struct {
	id       string
	start    time.Time
	workload string // empty until it is known to be one of the manifest
	caller   string
	// generation of the manifest in force when the request arrived; 0 for none.
	generation int
}

// handler runs a request that passed the checks and was admitted.
type handler func(r *http.Request, c *call, in *input) outcome.Outcome

func (s *Server) serve(run handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		c := &call{id: uuid.NewString(), start: time.Now()}
		o := s.handle(w, r, c, run)
		s.metrics.observe(c, o)
		if o.Kind != caller.OutcomeAnswered {
			s.o.Log.Debug("request not answered", "id", c.id, "workload", c.workload, "caller", c.caller, "outcome", o.Kind, "reason", o.Reason, "detail", o.Detail)
		}
		s.writeAnswer(w, r, c, o)
	}
}

func (s *Server) handle(w http.ResponseWriter, r *http.Request, c *call, run handler) outcome.Outcome {
	m := s.o.Manifest()
	if m == nil {
		return outcome.NotRun(outcome.NoManifest, "this VM has no manifest yet", defaultRetryAfter)
	}
	c.generation = m.Generation
	in, err := s.readInput(w, r, c, m)
	if err != nil {
		var rejection *rejectionError
		if errors.As(err, &rejection) {
			return rejection.outcome
		}
		return outcome.Rejected(outcome.BadRequest, err.Error())
	}
	pass, shed := s.o.Admission.Admit(c.workload, c.caller, in.grant)
	if shed != nil {
		return shedOutcome(*shed, in)
	}
	o := run(r, c, in)
	pass.Done(admission.Load{
		Sent:       o.Cost.Sent,
		Shed:       o.Cost.Shed,
		Answered:   o.Kind == caller.OutcomeAnswered,
		Overloaded: indicatesOverload(o.Reason),
	})
	return o
}

// indicatesOverload reports whether a reason is a lack of time or capacity, as opposed to
// a partitioned fleet, a lost upstream or a fault of the request.
func indicatesOverload(r outcome.Reason) bool {
	return r == outcome.CoverageTooLow || r == outcome.DeadlineExceeded || r == outcome.Overloaded
}

// shedOutcome turns the outcome of a shed request into unknown if the request is not
// idempotent and may be a resend: another VM may have run it under the same key. For any
// other request, not_run is certain.
func shedOutcome(o outcome.Outcome, in *input) outcome.Outcome {
	if in.workload.Idempotent || in.firstAttempt {
		return o
	}
	return outcome.Unknown(o.Reason, o.Detail+"; an earlier attempt with the same key may have run", o.RetryAfter)
}

func (s *Server) search(r *http.Request, c *call, in *input) outcome.Outcome {
	return s.o.Searcher.Search(r.Context(), gather.Search{
		ID:          c.id,
		Fingerprint: in.fingerprint,
		Workload:    in.workload,
		Grant:       in.grant,
		Caller:      c.caller,
		Query:       in.query,
		Deadline:    in.deadline,
	})
}

func (s *Server) request(r *http.Request, c *call, in *input) outcome.Outcome {
	return s.o.Runner.Run(r.Context(), single.Request{
		ID:           c.id,
		Fingerprint:  in.fingerprint,
		Workload:     in.workload,
		Caller:       c.caller,
		Body:         in.body,
		Key:          in.key,
		HedgePercent: in.grant.HedgePercent,
		FirstAttempt: in.firstAttempt,
		Deadline:     in.deadline,
	})
}
