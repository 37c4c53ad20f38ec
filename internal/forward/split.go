package forward

import (
	"context"
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

// calm is what this VM knows of how complete its searches are.
type calm struct {
	mu    sync.Mutex // guards state
	state delegate.Calm
}

func (c *calm) holds() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Holds()
}

func (c *calm) ended(covered, shards int, late bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.Ended(covered, shards, late)
}

// search runs a search, in parts by zone where that is safe.
func (s *Server) search(ctx context.Context, q *request, p *upstream.Passed) outcome.Outcome {
	shards := q.shards
	if shards == nil {
		shards = q.route.Shards
	}
	if s.o.Peers == nil || q.part || q.resent || !s.calm.holds() {
		return s.ended(q, s.searchHere(ctx, q, p, shards))
	}
	gatherers, self := s.o.Gatherers()
	if !self {
		return s.ended(q, s.searchHere(ctx, q, p, shards))
	}
	here, byZone := delegate.Split(s.o.Zone, shards, q.catalog.ShardZones, gatherers)
	if len(byZone) == 0 {
		return s.ended(q, s.searchHere(ctx, q, p, shards))
	}
	return s.ended(q, s.searchParts(ctx, q, p, here, byZone))
}

// ended takes note of how complete a search was.
func (s *Server) ended(q *request, o outcome.Outcome) outcome.Outcome {
	late := o.Kind != caller.OutcomeAnswered || time.Since(q.begun) > q.objective()
	if o.Coverage != nil {
		s.calm.ended(o.Coverage.ShardsCovered, o.Coverage.ShardsTotal, late)
	}
	return o
}

// searchParts asks the shards near this VM itself, and gatherers of other zones for the
// others, and merges their answers.
func (s *Server) searchParts(ctx context.Context, q *request, p *upstream.Passed, here []string, byZone map[string][]string) outcome.Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan outcome.Outcome, len(byZone)+1)
	running := 0
	if len(here) > 0 {
		running++
		go func() { results <- s.searchHere(ctx, q, p, here) }()
	}
	for zone, shards := range byZone {
		running++
		go func() { results <- s.searchThere(ctx, q, p, zone, shards) }()
	}
	due := time.NewTimer(time.Until(q.answerAt()) + partSlack)
	defer due.Stop()
	parts := make([]outcome.Outcome, 0, running)
	late := false
	for len(parts) < running {
		select {
		case <-due.C:
			late = true
		case o := <-results:
			parts = append(parts, o)
		}
		if late && q.covered(parts) >= q.need() {
			break // what is ready is not held back for a part that is late
		}
	}
	return merge(q, parts)
}

// partSlack is how much later than the last moment of an answer in time the parts of other
// VMs are waited for: theirs ends a hop earlier.
const partSlack = 2 * time.Millisecond

// total is the number of shards of the request.
func (q *request) total() int {
	if q.shards != nil {
		return len(q.shards)
	}
	return len(q.route.Shards)
}

// need is the least number of shards of an answer.
func (q *request) need() int {
	return answer.Need(answer.State{Minimum: q.route.MinimumShare, Total: q.total()})
}

// covered is the number of shards in the parts that are there.
func (q *request) covered(parts []outcome.Outcome) (n int) {
	for i := range parts {
		if parts[i].Kind == caller.OutcomeAnswered {
			n += parts[i].Coverage.ShardsCovered
		}
	}
	return n
}

// searchThere hands some shards to a gatherer of a zone, and asks them itself where that
// does not answer.
func (s *Server) searchThere(ctx context.Context, q *request, p *upstream.Passed, zone string, shards []string) outcome.Outcome {
	part := *q
	part.shards, part.part = shards, true
	gatherers, _ := s.o.Gatherers()
	vm, ok := s.peers.take(gatherers[zone], nil, s.o.Now())
	if !ok {
		return s.searchHere(ctx, &part, p, shards)
	}
	if o, done := s.handOver(ctx, &part, p, vm); done || ctx.Err() != nil {
		return o
	}
	return part.asResent(s.searchHere(ctx, &part, p, shards))
}

// searchHere sends a search to the shards from this VM.
func (s *Server) searchHere(ctx context.Context, q *request, p *upstream.Passed, shards []string) outcome.Outcome {
	for _, shard := range shards {
		s.earn(shard)
	}
	return s.o.Searcher.Search(ctx, gather.Search{
		ID:          q.id,
		Fingerprint: q.fingerprint,
		Workload:    q.workload(shards),
		Deadline:    q.deadline,
		Pass: &gather.Pass{
			Request:    p,
			Shards:     q.catalog.Manifest.Workloads,
			Top:        q.route.Top,
			Minimum:    q.route.MinimumShare,
			AnswerAt:   q.answerAt(),
			GiveUpAt:   q.deadline,
			HedgeAfter: share(q.objective(), hedgeSearch),
			Attempts:   q.route.Attempts,
			Returning:  q.returning,
			Resent:     q.resent,
			Repeat:     s.repeat,
		},
	})
}

// workload returns the workload of a search of some shards of the route.
func (q *request) workload(shards []string) *manifest.Workload {
	whole := q.catalog.Searches[q.route.Name]
	if whole != nil && len(shards) == len(whole.Newest.Shards) {
		return whole
	}
	return catalog.NewSearch(q.route.Name, shards)
}

// merge makes one outcome of those of a search's parts. A part that failed counts as
// missing shards.
func merge(q *request, parts []outcome.Outcome) outcome.Outcome {
	out := outcome.Outcome{Kind: caller.OutcomeAnswered, Coverage: &caller.Coverage{}}
	var bodies [][]byte
	var failed *outcome.Outcome
	ran := false
	for i := range parts {
		part := &parts[i]
		out.Cost.Sent += part.Cost.Sent
		out.Cost.Shed += part.Cost.Shed
		ran = ran || part.Kind != caller.OutcomeNotRun
		if part.Kind != caller.OutcomeAnswered {
			failed = part
			continue
		}
		out.Signatures = append(out.Signatures, part.Signatures...)
		bodies = append(bodies, part.Result)
	}
	out.Coverage.ShardsTotal, out.Coverage.ShardsCovered = q.total(), q.covered(parts)
	out.Coverage.Complete = out.Coverage.ShardsCovered == out.Coverage.ShardsTotal
	if failed != nil && out.Coverage.ShardsCovered < q.need() {
		o := *failed
		if ran && o.Kind == caller.OutcomeNotRun {
			o = outcome.Unknown(o.Reason, o.Detail, o.RetryAfter)
		}
		o.Coverage, o.Cost = out.Coverage, out.Cost
		return o
	}
	out.Result = coverage.TopRecords(bodies, q.route.Top)
	return out
}
