package daemon

import (
	"context"
	"strings"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/clock"
	"github.com/sardinespindle/sardinespindle/internal/facts"
	"github.com/sardinespindle/sardinespindle/internal/gather"
	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/internal/single"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
)

// Facts about upstreams, one fact an address.
const (
	drainPrefix = "drain/"
	drainTTL    = 30 * time.Second
	alivePrefix = "alive/"
	aliveTTL    = 3 * time.Second
)

// report tells the other VMs what was seen of an upstream.
func (d *Daemon) report(e upstream.Evidence) {
	if e.Draining {
		d.node.Facts().Put(drainPrefix+e.Address, "", drainTTL)
		return
	}
	d.node.Facts().Put(alivePrefix+e.Address, "", aliveTTL)
}

// learnDrain takes another VM's evidence that an upstream is leaving.
func (d *Daemon) learnDrain(f facts.Fact) { d.learn(f, drainPrefix, true, drainTTL) }

// learnAlive takes another VM's evidence that an upstream is not leaving.
func (d *Daemon) learnAlive(f facts.Fact) { d.learn(f, alivePrefix, false, aliveTTL) }

func (d *Daemon) learn(f facts.Fact, prefix string, draining bool, ttl time.Duration) {
	if f.VM() == d.s.Name {
		return
	}
	d.upstreams.Learn(upstream.Evidence{
		Address:  strings.TrimPrefix(f.Key, prefix),
		Draining: draining,
		Age:      max(0, ttl-(f.Expires-clock.Boot())),
	})
}

// suspects gives the request path what it needs to know of crashing requests.
type suspects struct{ d *Daemon }

// Crashes reports whether requests with this fingerprint are refused.
func (s suspects) Crashes(fingerprint string) bool {
	_, refused := s.d.poison.Refused(fingerprint)
	return refused
}

// Crashed notes that a connection was lost while a request ran, and tells the others
// before the request goes on, for a time that the guard bounds.
func (s suspects) Crashed(fingerprint, requestID string) {
	s.d.poison.Crashed(context.Background(), fingerprint, requestID)
}

// provenSearch tells the fleet of searches that every upstream survived.
type provenSearch struct {
	d      *Daemon
	engine *gather.Engine
}

// Search runs a search.
func (p provenSearch) Search(ctx context.Context, q gather.Search) outcome.Outcome {
	o := p.engine.Search(ctx, q)
	if o.Kind == caller.OutcomeAnswered && o.Coverage != nil && o.Coverage.Complete {
		p.d.poison.Answered(q.Fingerprint)
	}
	return o
}

// provenRun tells the fleet of requests that their upstream survived.
type provenRun struct {
	d      *Daemon
	runner *single.Runner
}

// Run runs a request.
func (p provenRun) Run(ctx context.Context, q single.Request) outcome.Outcome {
	o := p.runner.Run(ctx, q)
	if o.Kind == caller.OutcomeAnswered && !o.Replayed {
		p.d.poison.Answered(q.Fingerprint)
	}
	return o
}
