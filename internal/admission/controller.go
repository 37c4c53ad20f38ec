// Package admission admits or sheds the callers' requests at one VM. It limits each
// caller's rate per workload and, while the upstreams of a workload are overloaded, the
// workload's rate and each caller's share of the requests in flight. A Controller may
// be used concurrently; each workload has its own lock.
package admission

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"github.com/sardinespindle/sardinespindle/internal/clock"
	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/outcome"
	policy "github.com/sardinespindle/sardinespindle/internal/policy/admission"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
)

// rateBurst limits a caller's burst to what its rate allows in this time, at least one
// request.
const rateBurst = 500 * time.Millisecond

// Options configures a Controller.
type Options struct {
	// VMs returns the number of VMs that share a caller's rate.
	VMs func() int
	// Disabled admits every request.
	Disabled   bool
	Registerer prometheus.Registerer
}

// Controller admits or sheds requests, by the limits that Run adapts.
type Controller struct {
	o         Options
	shedTotal *prometheus.CounterVec
	rateGauge *prometheus.GaugeVec
	mu        sync.RWMutex
	workloads map[string]*workloadState
}

// workloadState is the admission state of one workload.
type workloadState struct {
	mu            sync.Mutex
	bucket        policy.Bucket
	sample        policy.Sample
	arrivalRate   float64 // requests per second in the last interval
	inFlight      map[string]int
	totalInFlight int
	capacity      int // requests in flight when the overload was detected; 0 for no limit
	limiters      map[string]*rate.Limiter
}

// New returns a Controller without workloads. Until Apply is called, it admits every
// request.
func New(o Options) *Controller {
	c := &Controller{
		o:         o,
		workloads: make(map[string]*workloadState),
		shedTotal: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "spindle_requests_shed_total",
			Help: "Requests shed before anything was sent, by workload, caller and reason.",
		}, []string{"workload", "caller", "reason"}),
		rateGauge: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "spindle_admission_rate",
			Help: "Requests a second that this VM lets through; 0 for no limit.",
		}, []string{"workload"}),
	}
	if o.Registerer != nil {
		o.Registerer.MustRegister(c.shedTotal, c.rateGauge)
	}
	return c
}

// Apply replaces the workloads by those of a manifest that came into force. A workload
// that stays keeps its state.
func (c *Controller) Apply(m *manifest.Manifest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := make(map[string]*workloadState, len(m.Workloads))
	for name := range m.Workloads {
		if s, ok := c.workloads[name]; ok {
			next[name] = s
			continue
		}
		next[name] = &workloadState{inFlight: make(map[string]int), limiters: make(map[string]*rate.Limiter)}
	}
	c.workloads = next
}

// Run adapts the limits at a fixed interval until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(policy.Interval)
	defer ticker.Stop()
	last := clock.Boot()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := clock.Boot()
			c.adapt(now, now-last)
			last = now
		}
	}
}

func (c *Controller) adapt(now, elapsed time.Duration) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	for name, s := range c.workloads {
		c.rateGauge.WithLabelValues(name).Set(s.adapt(now, elapsed))
	}
}

// adapt ends an interval of the given length and returns the new limit in requests per
// second, 0 for none.
func (s *workloadState) adapt(now, elapsed time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	sample := s.sample
	sample.Length = elapsed
	s.sample = policy.Sample{}
	s.arrivalRate = float64(sample.Arrived) / elapsed.Seconds()
	s.bucket.Adapt(now, sample)
	r, limited := s.bucket.Rate()
	if !limited {
		s.capacity = 0
		return 0
	}
	if s.capacity == 0 {
		s.capacity = max(1, s.totalInFlight)
	}
	return r
}

// Permit is an admitted request. Done must be called exactly once, when it ends.
type Permit struct {
	s      *workloadState
	caller string
}

// Load describes how a request ended and how many sub-requests it took.
type Load struct {
	Sent, Shed int // sub-requests
	// Answered is set if the request was answered, Overloaded if time or capacity ran out
	// first. Neither is set if it failed for another reason, such as a lost upstream.
	Answered, Overloaded bool
}

// Admit admits a request, or sheds it and returns its outcome, which says when to retry.
// Nothing was sent for a request that is shed.
func (c *Controller) Admit(workload, caller string, g *gen.Grant) (*Permit, *outcome.Outcome) {
	c.mu.RLock()
	s := c.workloads[workload]
	c.mu.RUnlock()
	if s == nil || c.o.Disabled {
		return &Permit{}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sample.Arrived++
	if shed := c.rateLimited(s, caller, g); shed != nil {
		c.shedTotal.WithLabelValues(workload, caller, string(shed.Reason)).Inc()
		return nil, shed
	}
	if shed := c.overloaded(s, caller, g); shed != nil {
		c.shedTotal.WithLabelValues(workload, caller, string(shed.Reason)).Inc()
		return nil, shed
	}
	s.inFlight[caller]++
	s.totalInFlight++
	return &Permit{s: s, caller: caller}, nil
}

// rateLimited returns the outcome of a request that exceeds its caller's rate, or nil.
// Each VM allows an equal share of the rate.
func (c *Controller) rateLimited(s *workloadState, caller string, g *gen.Grant) *outcome.Outcome {
	if g.Rate <= 0 {
		return nil
	}
	share := g.Rate / float64(max(1, c.o.VMs()))
	l, ok := s.limiters[caller]
	if !ok {
		l = rate.NewLimiter(rate.Limit(share), 1)
		s.limiters[caller] = l
	}
	if l.Limit() != rate.Limit(share) {
		l.SetLimit(rate.Limit(share))
	}
	if burst := max(1, int(share*rateBurst.Seconds())); l.Burst() != burst {
		l.SetBurst(burst)
	}
	if l.Allow() {
		return nil
	}
	retryAfter := time.Duration((1 + rand.Float64()) / share * float64(time.Second))
	o := outcome.NotRun(outcome.RateLimited, "the caller's rate is used up", retryAfter)
	return &o
}

// overloaded returns the outcome of a request that is shed because the upstreams are
// overloaded, or nil.
func (c *Controller) overloaded(s *workloadState, caller string, g *gen.Grant) *outcome.Outcome {
	r, limited := s.bucket.Rate()
	if !limited {
		return nil
	}
	inFlight := s.inFlight[caller]
	if policy.AllowsInFlight(inFlight, s.totalInFlight, len(s.inFlight), s.capacity) && s.bucket.Take(clock.Boot(), g.Priority) {
		return nil
	}
	o := outcome.NotRun(outcome.Overloaded, "the upstreams are overloaded",
		policy.RetryAfter(s.arrivalRate, r, rand.Float64()))
	return &o
}

// Done records that the request ended, and its load.
func (p *Permit) Done(l Load) {
	if p.s == nil {
		return
	}
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	p.s.totalInFlight--
	p.s.inFlight[p.caller]--
	if p.s.inFlight[p.caller] == 0 {
		delete(p.s.inFlight, p.caller)
	}
	p.s.sample.Sent += l.Sent
	p.s.sample.Shed += l.Shed
	switch {
	case l.Answered:
		p.s.sample.Finished++
	case l.Overloaded:
		p.s.sample.Failed++
	}
}

// Rate returns the limit of a workload in requests per second; 0 for no limit.
func (c *Controller) Rate(workload string) float64 {
	c.mu.RLock()
	s := c.workloads[workload]
	c.mu.RUnlock()
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r, limited := s.bucket.Rate()
	if !limited {
		return 0
	}
	return r
}
