package forward

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/catalog"
	"github.com/sardinespindle/sardinespindle/internal/gather"
	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/internal/policy/answer"
	"github.com/sardinespindle/sardinespindle/internal/policy/coverage"
	"github.com/sardinespindle/sardinespindle/internal/policy/delegate"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
)

// searchCoverage tracks how complete the recent searches of this VM were.
type searchCoverage struct {
	mu    sync.Mutex // guards state
	state delegate.SearchCoverage
}

func (c *searchCoverage) allowsSplit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.AllowsSplit()
}

func (c *searchCoverage) record(covered, total int, late bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.Record(covered, total, late)
}

// search runs a search from this VM. A gatherer splits it by zone, unless it is on trial, another VM
// may have sent it to upstreams, or recent searches were often late or missed too many shards: a
// part cannot make up for shards that another part misses.
func (s *Server) search(ctx context.Context, q *request, p *upstream.PassThroughRequest) outcome.Outcome {
	defer func() { q.decidedAt = time.Now() }()
	shards := q.searchedShards()
	if s.o.Peers == nil || q.isPart || q.maybeSent || q.trial || q.trySuspects || !s.coverage.allowsSplit() {
		return s.recordCoverage(q, s.searchLocally(ctx, q, p, shards))
	}
	gatherers, self := s.o.Gatherers()
	if !self {
		return s.recordCoverage(q, s.searchLocally(ctx, q, p, shards))
	}
	local, byZone := delegate.Split(s.o.Zone, q.servedShards(), q.catalog.ServiceZones, gatherers)
	if len(byZone) == 0 {
		return s.recordCoverage(q, s.searchLocally(ctx, q, p, shards))
	}
	return s.recordCoverage(q, s.searchParts(ctx, q, p, local, byZone))
}

// recordCoverage records how complete a search was and whether it failed or missed its
// objective, and returns the outcome. An outcome without coverage is not recorded.
func (s *Server) recordCoverage(q *request, o outcome.Outcome) outcome.Outcome {
	late := o.Kind != caller.OutcomeAnswered || time.Since(q.start) > q.objective()
	if o.Coverage != nil {
		s.coverage.record(o.Coverage.ShardsCovered, o.Coverage.ShardsTotal, late)
	}
	return o
}

// searchParts searches the local shards from this VM, delegates the others to gatherers in
// their zones, and merges the results.
func (s *Server) searchParts(ctx context.Context, q *request, p *upstream.PassThroughRequest, local []string, byZone map[string][]string) outcome.Outcome {
	var parts []searchPart
	if len(local) > 0 {
		parts = append(parts, searchPart{shards: local, run: func(ctx context.Context, part *request) outcome.Outcome {
			return s.passOnUnreached(ctx, part, p, s.searchLocally(ctx, part, p, part.shards))
		}})
	}
	for zone, shards := range byZone {
		parts = append(parts, searchPart{shards: shards, run: func(ctx context.Context, part *request) outcome.Outcome {
			return s.searchInZone(ctx, part, p, zone)
		}})
	}
	return s.awaitParts(ctx, q, parts)
}

// totalShards returns the number of shards that the request searches.
func (q *request) totalShards() int {
	return len(q.searchedShards())
}

// minShards returns the least number of shards that an answer must cover.
func (q *request) minShards() int {
	return answer.MinShards(answer.State{Minimum: q.route.MinimumShare, Total: q.totalShards()})
}

// coveredShards returns the number of shards that the answered parts cover.
func (q *request) coveredShards(parts []outcome.Outcome) (n int) {
	for i := range parts {
		if parts[i].Kind == caller.OutcomeAnswered {
			n += parts[i].Coverage.ShardsCovered
		}
	}
	return n
}

// searchInZone delegates a part of a search to a gatherer of a zone. If that fails before the
// deadline, it runs on this VM.
func (s *Server) searchInZone(ctx context.Context, part *request, p *upstream.PassThroughRequest, zone string) outcome.Outcome {
	gatherers, _ := s.o.Gatherers()
	vm, ok := s.peers.acquire(gatherers[zone], nil, s.o.Now())
	if !ok {
		return s.searchLocally(ctx, part, p, part.shards)
	}
	if o, done := s.delegateTo(ctx, part, p, vm); done || ctx.Err() != nil {
		return o
	}
	return part.unknownIfSent(s.searchLocally(ctx, part, p, part.shards))
}

// searchLocally searches the shards from this VM.
func (s *Server) searchLocally(ctx context.Context, q *request, p *upstream.PassThroughRequest, shards []string) outcome.Outcome {
	s.earnRepeats(q, shards...)
	return s.o.Searcher.Search(ctx, gather.Search{
		ID:          q.id,
		Fingerprint: q.fingerprint,
		Workload:    q.searchWorkload(shards),
		Deadline:    q.deadline,
		Watcher:     q.run,
		Trial:       q.trial,
		PassThrough: &gather.PassThrough{
			Request:      p,
			Shards:       q.catalog.Manifest.Workloads,
			Top:          q.route.MaxRecords,
			MinimumShare: q.route.MinimumShare,
			AnswerAt:     s.decideBy(q),
			GiveUpAt:     q.deadline,
			HedgeAfter:   q.hedgeAfter(),
			MaxAttempts:  q.route.MaxAttempts,
			// A part is not shed for being late: other parts of the search may run already, and
			// the search could not be refused as not run.
			CallerResent: q.callerResent || q.isPart,
			Suspects:     q.suspects,
			TrySuspects:  q.trySuspects,
			Before:       q.sent,
			Announce:     q.announce,
			ConfirmFirst: q.mustConfirmFirst(),
			OnDue:        q.control.reportDue,
			Finish:       q.control.finish,
			TakeRepeat:   s.takeRepeat,
		},
	})
}

// searchWorkload returns the workload for a search of the given shards. If these are all shards of the
// route, it is the catalog's.
func (q *request) searchWorkload(shards []string) *manifest.Workload {
	if full := q.catalog.SearchWorkloads[q.route.Name]; full != nil && slices.Equal(shards, q.route.Shards) {
		return full
	}
	return catalog.NewSearchWorkload(q.route.Name, shards)
}

// merge combines the outcomes of a search's parts. The shards of a failed part count as
// missing. If too few shards are covered, the result is the last failed part's outcome, but
// unknown instead of not_run if any part may have run.
func merge(q *request, parts []outcome.Outcome, mayHaveRun bool) outcome.Outcome {
	out := outcome.Outcome{Kind: caller.OutcomeAnswered, Coverage: &caller.Coverage{}}
	var bodies [][]byte
	var failed *outcome.Outcome
	for i := range parts {
		part := &parts[i]
		out.Cost.Sent += part.Cost.Sent
		out.Cost.Shed += part.Cost.Shed
		if part.Kind != caller.OutcomeAnswered {
			failed = part
			continue
		}
		out.Signatures = append(out.Signatures, part.Signatures...)
		bodies = append(bodies, part.Result)
	}
	out.Coverage.ShardsTotal, out.Coverage.ShardsCovered = q.totalShards(), q.coveredShards(parts)
	out.Coverage.Complete = out.Coverage.ShardsCovered == out.Coverage.ShardsTotal
	if out.Coverage.ShardsCovered < q.minShards() {
		o := belowMinimum(out.Coverage, failed)
		if mayHaveRun && o.Kind == caller.OutcomeNotRun {
			o = outcome.Unknown(o.Reason, o.Detail, o.RetryAfter)
		}
		o.Coverage, o.Cost = out.Coverage, out.Cost
		return o
	}
	out.Result = coverage.TopRecords(bodies, q.route.MaxRecords)
	return out
}

// belowMinimum returns the outcome of a search that covers too few shards. failed is the
// outcome of a part that failed; nil if each part replied with some shards.
func belowMinimum(c *caller.Coverage, failed *outcome.Outcome) outcome.Outcome {
	if failed != nil {
		return *failed
	}
	detail := fmt.Sprintf("%d of %d shards covered by all parts together", c.ShardsCovered, c.ShardsTotal)
	return outcome.Unknown(outcome.CoverageTooLow, detail, startRetryAfter)
}
