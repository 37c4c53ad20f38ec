package daemon

import (
	"context"
	"strings"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/clock"
	"github.com/sardinespindle/sardinespindle/internal/facts"
	"github.com/sardinespindle/sardinespindle/internal/gather"
	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/internal/poison"
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

// report notifies the other VMs whether an upstream drains.
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

// learn passes a fact and its age to the upstream client. It ignores facts of this VM.
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

// poisonAdapter adapts the poison guard to the interfaces of the search engine and the runner.
type poisonAdapter struct{ d *Daemon }

// Admit decides whether a request may run.
func (s poisonAdapter) Admit(q poison.Request) poison.Admission { return s.d.poison.Admit(q) }

// Refused reports whether requests with this fingerprint must not run now.
func (s poisonAdapter) Refused(fingerprint string) bool {
	_, refused := s.d.poison.Refused(fingerprint)
	return refused
}

// RecordLoss records that a connection was lost while the request ran. It waits, for a
// bounded time, until the VMs that guard the fingerprint have acknowledged the loss, so that
// they know of the loss before the request is retried.
func (s poisonAdapter) RecordLoss(fingerprint, requestID string) {
	s.d.poison.RecordLoss(context.Background(), fingerprint, requestID)
}

// reportingSearcher runs searches. It reports each complete answer to the poison guard, which
// then clears the losses recorded for the fingerprint.
type reportingSearcher struct {
	d      *Daemon
	engine *gather.Engine
}

// Search runs a search. Only a complete answer proves that no upstream crashed.
func (p reportingSearcher) Search(ctx context.Context, q gather.Search) outcome.Outcome {
	o := p.engine.Search(ctx, q)
	if o.Kind == caller.OutcomeAnswered && o.Coverage != nil && o.Coverage.Complete {
		p.d.poison.RecordAnswer(q.Fingerprint)
	}
	return o
}

// reportingRunner runs requests of single workloads. It reports each answer of an upstream to
// the poison guard.
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
