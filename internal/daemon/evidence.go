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

// Prefixes and TTLs of facts about upstreams; the rest of the key is the address.
const (
	drainPrefix       = "drain/"
	drainTTL          = 30 * time.Second
	notDrainingPrefix = "alive/"
	notDrainingTTL    = 3 * time.Second
)

// report tells the other VMs whether an upstream drains.
func (d *Daemon) report(e upstream.DrainEvidence) {
	if e.Draining {
		d.node.Facts().Put(drainPrefix+e.Address, "", drainTTL)
		return
	}
	d.node.Facts().Put(notDrainingPrefix+e.Address, "", notDrainingTTL)
}

// learnDrain records another VM's evidence that an upstream drains.
func (d *Daemon) learnDrain(f facts.Fact) { d.learn(f, drainPrefix, true, drainTTL) }

// learnNotDraining records another VM's evidence that an upstream does not drain.
func (d *Daemon) learnNotDraining(f facts.Fact) { d.learn(f, notDrainingPrefix, false, notDrainingTTL) }

// learn passes a fact of another VM to the upstream client, with its age.
func (d *Daemon) learn(f facts.Fact, prefix string, draining bool, ttl time.Duration) {
	if f.VM() == d.s.Name {
		return
	}
	d.upstreams.RecordPeerEvidence(upstream.DrainEvidence{
		Address:  strings.TrimPrefix(f.Key, prefix),
		Draining: draining,
		Age:      max(0, ttl-(f.Expires-clock.Boot())),
	})
}

// poisonAdapter is the poison guard as the search engine and the runner use it.
type poisonAdapter struct{ d *Daemon }

// Refused reports whether requests with this fingerprint must not run now.
func (s poisonAdapter) Refused(fingerprint string) bool {
	_, refused := s.d.poison.Refused(fingerprint)
	return refused
}

// RecordLoss records that a connection was lost while the request ran. It returns once the
// other VMs have acknowledged the suspicion, or after a time that the guard bounds, so that
// they learn of it before the request is tried again.
func (s poisonAdapter) RecordLoss(fingerprint, requestID string) {
	s.d.poison.RecordLoss(context.Background(), fingerprint, requestID)
}

// reportingSearcher runs searches. It reports those that every upstream survived to the
// poison guard, which lifts the suspicions of them.
type reportingSearcher struct {
	d      *Daemon
	engine *gather.Engine
}

// Search runs a search. Only a complete answer proves that every upstream survived it.
func (p reportingSearcher) Search(ctx context.Context, q gather.Search) outcome.Outcome {
	o := p.engine.Search(ctx, q)
	if o.Kind == caller.OutcomeAnswered && o.Coverage != nil && o.Coverage.Complete {
		p.d.poison.RecordAnswer(q.Fingerprint)
	}
	return o
}

// reportingRunner runs requests of single workloads. It reports those that their upstream
// survived to the poison guard.
type reportingRunner struct {
	d      *Daemon
	runner *single.Runner
}

// Run runs a request. A replayed answer proves nothing new: no upstream ran the request.
func (p reportingRunner) Run(ctx context.Context, q single.Request) outcome.Outcome {
	o := p.runner.Run(ctx, q)
	if o.Kind == caller.OutcomeAnswered && !o.Replayed {
		p.d.poison.RecordAnswer(q.Fingerprint)
	}
	return o
}
