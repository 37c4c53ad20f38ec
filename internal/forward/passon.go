package forward

import (
	"context"
	"math/rand/v2"
	"slices"

	"github.com/sardinespindle/sardinespindle/internal/catalog"
	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/internal/policy/delegate"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
)

// Reach says which VMs reach upstreams.
type Reach struct {
	Reached bool // this VM does
	// Others are the other live VMs that do, by zone.
	Others map[string][]string
	// ZoneVMs is the number of live VMs in this VM's zone, itself included.
	ZoneVMs int
}

// passOnUnreached passes a request on that ended without an answer because this VM reaches no
// upstream. It returns the outcome of any other request, of one that no other VM takes, and of one
// that may have run and must not run again.
func (s *Server) passOnUnreached(ctx context.Context, q *request, p *upstream.PassThroughRequest, o outcome.Outcome) outcome.Outcome {
	if o.Reason != outcome.Unreachable || q.delegated || ctx.Err() != nil || !q.recordUsed(&o) {
		return o
	}
	s.unearnRepeats(q)
	if passed, done := s.delegate(ctx, q, p); done {
		return passed
	}
	return q.unknownIfSent(o)
}

// maxHolderTries is the number of VMs that are tried for a request that this one may not send. What a
// VM has left of its share of a limit is not known to the others.
const maxHolderTries = 4

// passOnToHolders passes a request to a single service on that did not run, if other VMs hold limits of, or
// connections to, its upstreams. It returns the outcome of any other request, and of one that those VMs
// can't send either.
func (s *Server) passOnToHolders(ctx context.Context, q *request, p *upstream.PassThroughRequest, o outcome.Outcome) outcome.Outcome {
	lacksUpstream := o.Kind == caller.OutcomeNotRun && (o.Reason == outcome.NoUpstream || o.Reason == outcome.Overloaded)
	if !lacksUpstream || q.route.Sharded() || q.delegated || s.o.Peers == nil {
		return o
	}
	holders := s.holders(q.service, q.catalog)
	last := o
	for tries := 0; tries < maxHolderTries && q.recordUsed(&last); tries++ {
		vm, ok := s.peers.acquire(holders, q.tried, s.o.Now())
		if !ok {
			break
		}
		if tries == 0 {
			s.unearnRepeats(q)
		}
		passed, done := s.delegateTo(ctx, q, p, vm)
		if done && passed.Kind != caller.OutcomeNotRun {
			return passed
		}
		last = passed
	}
	return q.unknownIfSent(o)
}

// holders returns the Holders of a service that reach upstreams.
func (s *Server) holders(service string, c *catalog.Catalog) []string {
	workload := c.Manifest.Workloads[service]
	if workload == nil {
		return nil
	}
	holders := s.o.Holders(workload)
	if len(holders) == 0 {
		return nil
	}
	live := inAllZones(s.o.Reach().Others)
	return slices.DeleteFunc(holders, func(vm string) bool { return !slices.Contains(live, vm) })
}

// recordUsed records what a run used that reached upstreams or may have, and reports whether another VM
// may run the request after it.
func (q *request) recordUsed(o *outcome.Outcome) bool {
	mayHaveRun := o.Kind == caller.OutcomeUnknown
	q.maybeSent = q.maybeSent || mayHaveRun
	if q.route.Sharded() {
		if mayHaveRun {
			q.sent = o.MaybeSent
		}
		return true
	}
	q.attempts += o.Cost.Sent
	return (q.route.Idempotent || !mayHaveRun) && q.attempts < max(q.route.MaxAttempts, 1)
}

// chooseStranded returns the VM to pass a request on to while this VM reaches no upstream: a gatherer for
// searches and shards. If all failed lately, it returns one of these rather than none.
func (s *Server) chooseStranded(q *request, r Reach, gatherers map[string][]string) (vm string, ok bool) {
	byZone := r.Others
	if q.route.Sharded() || q.catalog.IsShard(q.service) {
		byZone = gatherers
	}
	near := byZone[s.o.Zone]
	var far []string
	for zone, names := range byZone {
		if zone != s.o.Zone {
			far = append(far, names...)
		}
	}
	first, second := far, near
	if delegate.StaysInZone(len(r.Others[s.o.Zone]), r.ZoneVMs, rand.Float64()) {
		first, second = near, far
	}
	for _, names := range [][]string{first, second} {
		if vm, ok = s.peers.acquire(names, q.tried, s.o.Now()); ok {
			return vm, true
		}
	}
	return s.peers.acquireLastResort(slices.Concat(first, second), q.tried)
}
