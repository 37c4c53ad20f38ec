package forward

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/internal/policy/delegate"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
)

// groups divides a caller's search among the gatherers of a zone near its shards; nil if one
// VM runs it.
func (s *Server) groups(q *request) []delegate.Group {
	if s.o.Peers == nil || q.delegated || !q.route.Sharded() {
		return nil
	}
	gatherers, self := s.o.Gatherers()
	coverage := q.catalog.ZoneCoverage[q.route.Name]
	zone, ok := delegate.ChooseZone(s.o.Zone, coverage, gatherers, rand.Float64)
	if !ok {
		return nil
	}
	names := gatherers[zone]
	if self && zone == s.o.Zone && !slices.Contains(names, s.o.VM) {
		names = append(slices.Clone(names), s.o.VM)
	}
	return delegate.Groups(q.route.Shards, names, coverage[zone])
}

// searchGroups has a leaf of each group search its shards and merges the parts.
func (s *Server) searchGroups(ctx context.Context, q *request, p *upstream.PassThroughRequest, groups []delegate.Group) outcome.Outcome {
	run := make([]func(ctx context.Context) partOutcome, len(groups))
	for i, g := range groups {
		part := *q
		part.shards, part.isPart = g.Shards, true
		run[i] = func(ctx context.Context) partOutcome {
			o := s.searchGroup(ctx, &part, p, g)
			return partOutcome{Outcome: o, decidedAt: part.decidedAt, ranElsewhere: part.ranElsewhere}
		}
	}
	return s.awaitParts(ctx, q, run)
}

// searchGroup has a leaf search the shards of a group: this VM if it is one, else another. A
// leaf that fails is replaced by another one of the group, then by any other gatherer.
func (s *Server) searchGroup(ctx context.Context, part *request, p *upstream.PassThroughRequest, g delegate.Group) outcome.Outcome {
	if slices.Contains(g.Leaves, s.o.VM) {
		return s.run(ctx, part, p)
	}
	for range maxDelegations {
		vm, ok := s.peers.acquire(g.Leaves, part.tried, s.o.Now())
		if !ok {
			break
		}
		if o, done := s.delegateTo(ctx, part, p, vm); done || ctx.Err() != nil {
			return o
		}
	}
	return s.runOrDelegate(ctx, part, p)
}

// partOutcome is the outcome of a part of a search.
type partOutcome struct {
	outcome.Outcome
	decidedAt    time.Time // when the VM that ran the part decided on it; zero if not known
	ranElsewhere bool      // another VM ran the part
}

// awaitParts runs the parts of a search at the same time and merges their outcomes. From
// decideBy on it does not wait for late parts if the others cover the minimum share.
func (s *Server) awaitParts(ctx context.Context, q *request, run []func(ctx context.Context) partOutcome) outcome.Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan partOutcome, len(run))
	for _, f := range run {
		go func() { results <- f(ctx) }()
	}
	timer := time.NewTimer(time.Until(s.decideBy(q)) + partGrace)
	defer timer.Stop()
	parts := make([]outcome.Outcome, 0, len(run))
	timeUp := false
	for len(parts) < len(run) && !(timeUp && q.coveredShards(parts) >= q.minShards()) {
		select {
		case <-timer.C:
			timeUp = true
		case o := <-results:
			parts = append(parts, o.Outcome)
			if o.ranElsewhere && o.decidedAt.After(q.decidedAt) {
				q.decidedAt, q.ranElsewhere = o.decidedAt, true
			}
		}
	}
	return merge(q, parts)
}
