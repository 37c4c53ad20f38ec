package forward

import (
	"context"
	"maps"
	"slices"

	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/internal/policy/delegate"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
)

// groups divides a caller's search among gatherers near its shards; nil if one VM runs it, as one that is
// suspected to end upstreams.
func (s *Server) groups(q *request) []delegate.Group {
	if s.o.Peers == nil || q.delegated || q.isPart || q.suspected || !q.route.Sharded() {
		return nil
	}
	gatherers, self := s.o.Gatherers()
	if own := gatherers[s.o.Zone]; self && !slices.Contains(own, s.o.VM) {
		gatherers = maps.Clone(gatherers)
		gatherers[s.o.Zone] = append(slices.Clone(own), s.o.VM)
	}
	return delegate.Groups(s.o.Zone, q.servedShards(), q.catalog.ServiceZones, gatherers)
}

// searchGroups has a leaf of each group search its shards and merges the parts.
func (s *Server) searchGroups(ctx context.Context, q *request, p *upstream.PassThroughRequest, groups []delegate.Group) outcome.Outcome {
	parts := make([]searchPart, len(groups))
	for i, g := range groups {
		parts[i] = searchPart{shards: g.Shards, run: func(ctx context.Context, part *request) outcome.Outcome {
			return s.searchGroup(ctx, part, p, g)
		}}
	}
	return s.awaitParts(ctx, q, parts)
}

// searchGroup has a leaf search the shards of a group: this VM if it is one, else another. A
// leaf that fails is replaced by another one of the group, then by any other gatherer.
func (s *Server) searchGroup(ctx context.Context, part *request, p *upstream.PassThroughRequest, g delegate.Group) outcome.Outcome {
	if slices.Contains(g.Leaves, s.o.VM) {
		return s.passOnUnreached(ctx, part, p, s.run(ctx, part, p))
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
