// Package admission holds the admission state of a VM: one bucket a workload, one
// rate limiter a caller and workload, and the requests in flight. State is kept a
// workload apart, each under its own lock.
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

// rateBurst is how long a caller may exceed its rate.
const rateBurst = 500 * time.Millisecond

// Options configures a Controller.
type Options struct {
	// VMs returns the number of VMs that share a caller's rate.
	VMs func() int
	// Off lets everything through.
	Off        bool
	Registerer prometheus.Registerer
}

// Controller admits or sheds requests.
type Controller struct {
	o      Options
	shed   *prometheus.CounterVec
	limit  *prometheus.GaugeVec
	mu     sync.RWMutex
	states map[string]*state
}

// state is the admission state of one workload.
type state struct {
	mu       sync.Mutex
	bucket   policy.Bucket
	sample   policy.Sample
	asked    float64 // a second, in the last interval
	inFlight map[string]int
	all      int
	capacity int // most requests in flight that got through without overload
	callers  map[string]*rate.Limiter
}

// New returns a Controller that knows no workload yet.
func New(o Options) *Controller {
	c := &Controller{
		o:      o,
		states: make(map[string]*state),
		shed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "spindle_requests_shed_total",
			Help: "Requests shed before anything was sent, by workload, caller and reason.",
		}, []string{"workload", "caller", "reason"}),
		limit: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "spindle_admission_rate",
			Help: "Requests a second that this VM lets through; 0 for no limit.",
		}, []string{"workload"}),
	}
	if o.Registerer != nil {
		o.Registerer.MustRegister(c.shed, c.limit)
	}
	return c
}

// Apply takes a manifest that came into force.
func (c *Controller) Apply(m *manifest.Manifest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := make(map[string]*state, len(m.Workloads))
	for name := range m.Workloads {
		if s, ok := c.states[name]; ok {
			next[name] = s
			continue
		}
		next[name] = &state{inFlight: make(map[string]int), callers: make(map[string]*rate.Limiter)}
	}
	c.states = next
}

// Run adapts the limits until the context ends.
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

func (c *Controller) adapt(now, length time.Duration) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	for name, s := range c.states {
		c.limit.WithLabelValues(name).Set(s.adapt(now, length))
	}
}

func (s *state) adapt(now, length time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	sample := s.sample
	sample.Length = length
	s.sample = policy.Sample{}
	s.asked = float64(sample.Asked) / length.Seconds()
	s.bucket.Adapt(now, sample)
	r, limited := s.bucket.Rate()
	if !limited {
		s.capacity = 0
		return 0
	}
	if s.capacity == 0 {
		s.capacity = max(1, s.all)
	}
	return r
}

// Pass is a request let through; Done must be called once at its end.
type Pass struct {
	s      *state
	caller string
}

// Load is what a request cost: the sub-requests sent and those shed.
type Load struct {
	Sent, Shed int
	// Good says that the request ended with an answer, Late that it did not since time
	// or capacity ran out.
	Good, Late bool
}

// Admit decides on a request. Where it is shed, the outcome says so and when to come
// back; nothing was sent for it.
func (c *Controller) Admit(workload, caller string, g *gen.Grant) (*Pass, *outcome.Outcome) {
	c.mu.RLock()
	s := c.states[workload]
	c.mu.RUnlock()
	if s == nil || c.o.Off {
		return &Pass{}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sample.Asked++
	if refused := c.rateLimited(s, caller, g); refused != nil {
		c.shed.WithLabelValues(workload, caller, string(refused.Reason)).Inc()
		return nil, refused
	}
	if refused := c.overloaded(s, caller, g); refused != nil {
		c.shed.WithLabelValues(workload, caller, string(refused.Reason)).Inc()
		return nil, refused
	}
	s.inFlight[caller]++
	s.all++
	return &Pass{s: s, caller: caller}, nil
}

func (c *Controller) rateLimited(s *state, caller string, g *gen.Grant) *outcome.Outcome {
	if g.Rate <= 0 {
		return nil
	}
	share := g.Rate / float64(max(1, c.o.VMs()))
	l, ok := s.callers[caller]
	if !ok {
		l = rate.NewLimiter(rate.Limit(share), 1)
		s.callers[caller] = l
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
	after := time.Duration((1 + rand.Float64()) / share * float64(time.Second))
	o := outcome.NotRun(outcome.RateLimited, "the caller's rate is used up", after)
	return &o
}

func (c *Controller) overloaded(s *state, caller string, g *gen.Grant) *outcome.Outcome {
	r, limited := s.bucket.Rate()
	if !limited {
		return nil
	}
	own := s.inFlight[caller]
	if policy.Fair(own, s.all, len(s.inFlight), s.capacity) && s.bucket.Take(clock.Boot(), g.Priority) {
		return nil
	}
	o := outcome.NotRun(outcome.Overloaded, "the upstreams are overloaded",
		policy.RetryAfter(s.asked, r, rand.Float64()))
	return &o
}

// Done ends a request.
func (p *Pass) Done(l Load) {
	if p.s == nil {
		return
	}
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	p.s.all--
	p.s.inFlight[p.caller]--
	if p.s.inFlight[p.caller] == 0 {
		delete(p.s.inFlight, p.caller)
	}
	p.s.sample.Sent += l.Sent
	p.s.sample.Shed += l.Shed
	switch {
	case l.Good:
		p.s.sample.Finished++
	case l.Late:
		p.s.sample.Failed++
	}
}

// Rate returns the requests a second let through for a workload; 0 for no limit.
func (c *Controller) Rate(workload string) float64 {
	c.mu.RLock()
	s := c.states[workload]
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
