package forward

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/guard"
	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/internal/peer"
	"github.com/sardinespindle/sardinespindle/internal/policy/delegate"
	"github.com/sardinespindle/sardinespindle/internal/policy/takeover"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/peer"
)

// Peers are the other VMs.
type Peers interface {
	// Delegate sends a request to a VM and waits while that VM runs it. The error
	// peer.ErrNotSent means that nothing was sent to upstreams.
	Delegate(ctx context.Context, vm string, d *gen.Delegate, w peer.Watch) (*gen.Message, error)
}

// hopSlack is the time allowed for one hop between VMs. The delegating VM adds it to the
// request's elapsed time and takes it from the time left, so that the other VM ends early
// enough for its reply to arrive.
const hopSlack = 4 * time.Millisecond

// maxDelegations bounds how many VMs a request is delegated to in turn. Even if all of them
// are silent, the waits for their first notices fit into a search's timeout.
const maxDelegations = 3

var errUnreached = errors.New("VM lost its path to the upstreams")

// peerTable holds the load and the failures of the gatherers, as seen by this VM.
type peerTable struct {
	mu    sync.Mutex // guards peers
	peers map[string]*delegate.Peer
}

// acquire chooses a VM of names and counts one more request in flight there. It leaves out
// the VMs in excluded and those that failed recently; false if no VM is left.
func (t *peerTable) acquire(names, excluded []string, now time.Duration) (string, bool) {
	return t.acquireBy(names, excluded, func(states []delegate.Peer) int { return delegate.Choose(states, now, rand.Float64) })
}

// acquireLastResort is acquire if no VM of names is usable: it chooses one that failed recently.
func (t *peerTable) acquireLastResort(names, excluded []string) (string, bool) {
	return t.acquireBy(names, excluded, delegate.LastResort)
}

// acquireBy acquires the VM of names that choose returns, by its index among those not in excluded.
func (t *peerTable) acquireBy(names, excluded []string, choose func([]delegate.Peer) int) (string, bool) {
	names = slices.DeleteFunc(slices.Clone(names), func(name string) bool { return slices.Contains(excluded, name) })
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.peers == nil {
		t.peers = map[string]*delegate.Peer{}
	}
	states := make([]delegate.Peer, len(names))
	for i, name := range names {
		if p := t.peers[name]; p != nil {
			states[i] = *p
		}
	}
	i := choose(states)
	if i < 0 {
		return "", false
	}
	p := t.peers[names[i]]
	if p == nil {
		p = &delegate.Peer{}
		t.peers[names[i]] = p
	}
	p.InFlight++
	return names[i], true
}

// release ends a request that acquire counted, and records whether the VM answered it. It
// reports whether the VM counts as lost.
func (t *peerTable) release(name string, now time.Duration, answered bool) (lost bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[name]
	p.InFlight--
	if answered {
		p.Replied()
		return false
	}
	return p.Failed(now)
}

// runOrDelegate runs a request on this VM or delegates it to VMs near its upstreams. After
// maxDelegations failures, or if no other VM is left, the request runs here. If this VM finds only
// then that it reaches no upstream, the request is passed on.
func (s *Server) runOrDelegate(ctx context.Context, q *request, p *upstream.PassThroughRequest) outcome.Outcome {
	if o, refused := q.refuseEvacuated(); refused && !q.maybeSent {
		return o
	}
	if q.delegated || q.isPart {
		return s.runUnchecked(ctx, q, p)
	}
	if o, refused := s.checkSuspicion(q, p); refused {
		return o
	}
	o := s.runUnchecked(ctx, q, p)
	s.recordReply(q, &o)
	return o
}

// runUnchecked is runOrDelegate without regard to what is known of the request's fingerprint.
func (s *Server) runUnchecked(ctx context.Context, q *request, p *upstream.PassThroughRequest) outcome.Outcome {
	if groups := s.groups(q); groups != nil {
		return s.searchGroups(ctx, q, p, groups)
	}
	if o, done := s.delegate(ctx, q, p); done {
		return o
	}
	o := s.passOnUnreached(ctx, q, p, q.unknownIfSent(s.run(ctx, q, p)))
	return s.passOnToHolders(ctx, q, p, o)
}

// delegate delegates a request to up to maxDelegations VMs in turn; done is false if it runs here.
func (s *Server) delegate(ctx context.Context, q *request, p *upstream.PassThroughRequest) (o outcome.Outcome, done bool) {
	for range maxDelegations {
		vm, ok := s.chooseVM(q)
		if !ok {
			return outcome.Outcome{}, false
		}
		if o, done := s.delegateTo(ctx, q, p, vm); done {
			return o, true
		}
	}
	return outcome.Outcome{}, false
}

// chooseVM returns the VM to delegate a request to; false if it runs here. A request to a single
// service is delegated if this VM reaches no upstream, or if this VM is not a gatherer and the service
// is also a shard of a search: only gatherers have connections to the upstreams of shards.
func (s *Server) chooseVM(q *request) (vm string, ok bool) {
	if s.o.Peers == nil || q.delegated {
		return "", false
	}
	gatherers, self := s.o.Gatherers()
	if r := s.o.Reach(); !r.Reached {
		return s.chooseStranded(q, r, gatherers)
	}
	if !q.route.Sharded() && (!q.catalog.IsShard(q.service) || self) {
		return "", false
	}
	coverage := q.catalog.ZoneCoverage[q.route.Name]
	zone, ok := delegate.ChooseZone(s.o.Zone, coverage, gatherers, rand.Float64)
	if !ok || self && zone == s.o.Zone {
		return "", false
	}
	if self {
		return s.peers.acquire(gatherers[zone], q.tried, s.o.Now())
	}
	return s.acquireNear(zone, gatherers, q.tried)
}

// acquireNear acquires a VM of a zone, or of any other if none is usable there.
func (s *Server) acquireNear(zone string, byZone map[string][]string, tried []string) (vm string, ok bool) {
	if vm, ok = s.peers.acquire(byZone[zone], tried, s.o.Now()); ok {
		return vm, true
	}
	return s.peers.acquire(inAllZones(byZone), tried, s.o.Now())
}

// inAllZones returns the VMs of all zones.
func inAllZones(byZone map[string][]string) []string {
	return slices.Concat(slices.Collect(maps.Values(byZone))...)
}

// delegateTo delegates a request to a VM. done reports that o is the request's outcome:
// the VM returned it, the time is up, or a second run is not safe. If not done, the request
// can run elsewhere; q.maybeSent says whether a VM that was tried may have sent it to
// upstreams.
func (s *Server) delegateTo(ctx context.Context, q *request, p *upstream.PassThroughRequest, vm string) (o outcome.Outcome, done bool) {
	callCtx, cancel := context.WithDeadline(ctx, q.deadline.Add(hopSlack))
	defer cancel()
	track := s.trackSent(q)
	reply, err := s.callVM(callCtx, q, p, vm, track)
	// A VM that has not replied when the time is up does not count as failed: for a silent
	// VM, Delegate usually returns ErrSilent earlier.
	late := callCtx.Err() != nil
	if s.peers.release(vm, s.o.Now(), err == nil || late || errors.Is(err, errUnreached)) {
		s.o.ReportLost(vm)
	}
	q.tried = append(q.tried, vm)
	if err == nil && reply.Taken {
		q.ranElsewhere = true
		q.decidedAt = q.start.Add(time.Duration(reply.DecidedUs) * time.Microsecond)
		return q.unknownIfSent(q.outcomeOf(reply)), true
	}
	if err == nil {
		return outcome.Outcome{}, false
	}
	s.o.Log.Info("request taken back", "id", q.id, "by", vm, "err", err, "age_ms", time.Since(q.start).Milliseconds(),
		"announced_shards", track.sent.Named())
	if errors.Is(err, peer.ErrNotSent) {
		return q.unknownIfSent(outcome.NotRun(outcome.DeadlineExceeded, err.Error(), startRetryAfter)), late
	}
	s.metrics.observeTakeover(track.sent.Named() > 0)
	mayRunAgain := q.recordTaken(reply, track)
	if late {
		return outcome.Unknown(outcome.DeadlineExceeded, err.Error(), startRetryAfter), true
	}
	return outcome.Unknown(outcome.ConnectionLost, err.Error(), startRetryAfter), !mayRunAgain
}

// recordTaken records what a VM may have sent that did not return the outcome of the request, and
// reports whether another VM may run it. reply is set if that VM lost its path to the upstreams, and
// holds what it used; else, only a search may run again, which is safe to run twice. A VM of an earlier
// build may have run the request by a version in which it is not.
func (q *request) recordTaken(reply *gen.Delegated, track *sentTracker) bool {
	switch {
	case q.route.Sharded():
		q.sent = track.sent
		q.maybeSent = q.maybeSent || q.sent.Sent()
		return true
	case reply != nil:
		o := fromDelegated(reply)
		mayRunAgain := q.recordUsed(&o)
		return mayRunAgain && reply.Version != 0
	default:
		q.maybeSent = true
		return false
	}
}

// unknownIfSent turns not_run into unknown if another VM may have sent the request to
// upstreams.
func (q *request) unknownIfSent(o outcome.Outcome) outcome.Outcome {
	if !q.maybeSent || o.Kind != caller.OutcomeNotRun {
		return o
	}
	unknown := outcome.Unknown(o.Reason, o.Detail, o.RetryAfter)
	unknown.Coverage, unknown.Cost = o.Coverage, o.Cost
	return unknown
}

// callVM delegates a request to a VM and returns its reply. A VM that reaches no upstream has not
// taken the request or, if it may have run it, lost it; then the reply is returned with the error.
func (s *Server) callVM(ctx context.Context, q *request, p *upstream.PassThroughRequest, vm string, track *sentTracker) (*gen.Delegated, error) {
	m, err := s.o.Peers.Delegate(ctx, vm, s.newDelegate(q, p), peer.Watch{Finish: q.control.finish, OnNotice: func(a *gen.Accepted, confirm func()) {
		if a.Covered > 0 {
			q.control.reportDue(min(a.Covered, q.totalShards()))
		}
		track.record(a.Announced, confirm)
	}})
	if err == nil && m.Delegated == nil {
		err = errUnexpectedReply
	}
	if err == nil {
		err = q.checkDelegated(m.Delegated)
	}
	switch {
	case err != nil:
		return nil, err
	case m.Delegated.Reason != string(outcome.Unreachable):
		return m.Delegated, nil
	case m.Delegated.Outcome == string(caller.OutcomeNotRun):
		q.attempts += m.Delegated.Sent
		return notTaken().Delegated, nil
	default:
		return m.Delegated, errUnreached
	}
}

func (s *Server) newDelegate(q *request, p *upstream.PassThroughRequest) *gen.Delegate {
	d := &gen.Delegate{
		RequestId: q.id, Method: p.Method, Host: p.Host, Target: p.Target, Body: string(p.Body),
		Headers:   toHeaders(p.Header),
		Version:   q.catalog.Config.Version,
		ElapsedUs: int((time.Since(q.start) + hopSlack).Microseconds()),
		AnswerUs:  int(time.Until(s.decideDelegatedBy(q)).Microseconds()),
		GiveUpUs:  int((time.Until(q.deadline) - hopSlack).Microseconds()),
		Returning: q.callerResent,
		Resent:    q.maybeSent,
		Attempts:  q.attempts,
		Shards:    q.shards,
		Replicas:  gen.Replicas(q.sent.Update()),
	}
	if q.route.Sharded() {
		d.ConfirmFirst, d.ShardsHash = q.mustConfirmFirst(), takeover.HashShards(q.searchedShards())
	}
	if d.Shards == nil {
		d.Shards = []string{}
	}
	return d
}

func toHeaders(h http.Header) []gen.Header {
	out := make([]gen.Header, 0, len(h))
	for name, values := range h {
		out = append(out, gen.Header{Name: name, Values: values})
	}
	return out
}

func fromHeaders(hs []gen.Header) http.Header {
	out := make(http.Header, len(hs))
	for _, h := range hs {
		out[h.Name] = h.Values
	}
	return out
}

// Handle runs a request that another VM delegates, by the version of the configuration by which that VM
// routed it. It does not take a request of a version that it does not know, one that has no route or a
// shard of another search, arrives after StopAccepting or while this VM reaches no upstream, or comes with a
// record of other shards, and no search while this VM's own view of the fleet does not make it a gatherer.
func (s *Server) Handle(ctx context.Context, from string, m *gen.Message) (reply *gen.Message) {
	d := m.Delegate
	if d == nil {
		return nil
	}
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	defer guard.Catch(func(err error) {
		o := s.failed(d.RequestId, err)
		delegated := toDelegated(&o)
		delegated.Version = d.Version
		reply = &gen.Message{Delegated: delegated}
	})
	c := s.o.Catalog()
	if !s.o.Reach().Reached || c == nil || s.stopping.Load() {
		return notTaken()
	}
	known := c.Config.Version
	if c = c.At(d.Version); c == nil {
		s.o.Log.Info("delegated request not taken", "id", d.RequestId, "from", from, "version", d.Version, "known", known)
		return notTaken()
	}
	now := time.Now()
	q := &request{
		id: d.RequestId, catalog: c, delegated: true, callerResent: d.Returning, maybeSent: d.Resent, attempts: d.Attempts,
		start:    now.Add(-time.Duration(d.ElapsedUs) * time.Microsecond),
		deadline: now.Add(time.Duration(d.GiveUpUs) * time.Microsecond),
		decideBy: now.Add(time.Duration(d.AnswerUs) * time.Microsecond),
		control:  control{finish: peer.FinishRequested(ctx), onDue: func(covered int) { peer.ReportDue(ctx, covered) }},
	}
	path, _, _ := strings.Cut(d.Target, "?")
	q.route = c.Table.Find(hostOf(d.Host), path)
	if q.route == nil {
		return notTaken()
	}
	if _, ends := s.endsInTime(q); !ends {
		return notTaken()
	}
	if len(d.Shards) > 0 {
		q.shards, q.isPart = d.Shards, true
		if !q.ownsShards(d.Shards) {
			return notTaken()
		}
	}
	if q.route.Sharded() && (!q.readSent(ctx, d) || !s.isGatherer()) {
		return notTaken()
	}
	p := &upstream.PassThroughRequest{
		Method: d.Method, Host: d.Host, Target: d.Target, Body: []byte(d.Body), ID: d.RequestId,
		Header: fromHeaders(d.Headers),
	}
	q.service = q.route.ChooseService(rand.Float64())
	o := s.run(ctx, q, p)
	decided := time.Since(q.start)
	if o.Kind != caller.OutcomeAnswered {
		s.o.Log.Info("request for another VM", "id", q.id, "from", from, "outcome", o.Kind, "reason", o.Reason,
			"detail", o.Detail, "took_ms", time.Since(now).Milliseconds(), "sent", o.Cost.Sent, "shed", o.Cost.Shed)
	}
	delegated := toDelegated(&o)
	delegated.DecidedUs, delegated.Version = int(decided.Microseconds()), d.Version
	return &gen.Message{Delegated: delegated}
}

func (s *Server) isGatherer() bool {
	_, self := s.o.Gatherers()
	return self
}

// ownsShards reports whether each shard is one of the route's, and a service that is published.
func (q *request) ownsShards(shards []string) bool {
	w := q.catalog.SearchWorkloads[q.route.Name]
	return w != nil && !slices.ContainsFunc(shards, func(shard string) bool {
		return w.NewestMap.ByName[shard] == nil || q.catalog.Manifest.Workloads[shard] == nil
	})
}

func notTaken() *gen.Message {
	return &gen.Message{Delegated: &gen.Delegated{Signatures: []string{}, Headers: []gen.Header{}}}
}
