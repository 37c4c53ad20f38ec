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

	"github.com/sardinespindle/sardinespindle/internal/catalog"
	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/internal/peer"
	"github.com/sardinespindle/sardinespindle/internal/policy/delegate"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/peer"
)

// Peers are the other VMs.
type Peers interface {
	// Delegate hands a request to a VM and waits while that VM runs it. An error that is
	// peer.ErrNotSent says that nothing was sent to upstreams.
	Delegate(ctx context.Context, vm string, d *gen.Delegate) (*gen.Message, error)
}

// hopSlack is added to a search's age for each hop between VMs, so that its answer is
// back in time.
const hopSlack = 4 * time.Millisecond

// mostHandOvers is how many VMs a request is handed to, one after the other: as many as
// can be silent for their first notice within the time of a search.
const mostHandOvers = 3

var errOtherKind = errors.New("reply of another kind")

// peerTable holds what is known of other VMs as gatherers.
type peerTable struct {
	mu    sync.Mutex // guards peers
	peers map[string]*delegate.Peer
}

// take chooses one of the VMs, those excepted left out, and counts a search to it.
func (t *peerTable) take(names, except []string, now time.Duration) (string, bool) {
	names = slices.DeleteFunc(slices.Clone(names), func(name string) bool { return slices.Contains(except, name) })
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
	i := delegate.Choose(states, now, rand.Float64)
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

// done records how a search at a VM ended.
func (t *peerTable) done(name string, now time.Duration, answered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[name]
	p.InFlight--
	if answered {
		p.Answered()
	} else {
		p.Failed(now)
	}
}

// place runs a request here or hands it to a VM that is near its upstreams.
func (s *Server) place(ctx context.Context, q *request, p *upstream.Passed) outcome.Outcome {
	for range mostHandOvers {
		vm, ok := s.choose(q)
		if !ok {
			break
		}
		o, done := s.handOver(ctx, q, p, vm)
		if done {
			return o
		}
	}
	return q.asResent(s.run(ctx, q, p))
}

// choose returns the VM that a request is handed to; false where it runs here. A request
// to one service is handed over only where that is a shard of others, to whose upstreams
// this VM has no connections.
func (s *Server) choose(q *request) (vm string, ok bool) {
	if s.o.Peers == nil || q.delegated {
		return "", false
	}
	gatherers, self := s.o.Gatherers()
	near := q.catalog.Near[q.route.Name]
	if !q.route.Sharded() {
		if _, shard := q.catalog.ShardLimits[q.service]; !shard || self {
			return "", false
		}
	}
	zone, ok := delegate.Home(s.o.Zone, near, gatherers, rand.Float64)
	if !ok || self && zone == s.o.Zone {
		return "", false
	}
	vm, ok = s.peers.take(gatherers[zone], q.tried, s.o.Now())
	if !ok && !self {
		vm, ok = s.peers.take(slices.Concat(slices.Collect(maps.Values(gatherers))...), q.tried, s.o.Now())
	}
	return vm, ok
}

// handOver sends a request to a VM. It is done with an outcome, or where no other VM may
// have the request; else the request notes whether that VM may have sent it to upstreams.
func (s *Server) handOver(ctx context.Context, q *request, p *upstream.Passed, vm string) (o outcome.Outcome, done bool) {
	cctx, cancel := context.WithDeadline(ctx, q.deadline.Add(hopSlack))
	defer cancel()
	reply, err := s.o.Peers.Delegate(cctx, vm, describe(q, p))
	if err == nil && reply.Delegated == nil {
		err = errOtherKind
	}
	late := cctx.Err() != nil // the VM still runs it, or it would have been found silent
	s.peers.done(vm, s.o.Now(), err == nil || late)
	if err == nil && reply.Delegated.Taken {
		return q.asResent(fromDelegated(reply.Delegated)), true
	}
	q.tried = append(q.tried, vm)
	if err == nil {
		return outcome.Outcome{}, false
	}
	s.o.Log.Info("request taken back", "id", q.id, "by", vm, "err", err, "age_ms", time.Since(q.begun).Milliseconds())
	if errors.Is(err, peer.ErrNotSent) {
		return q.asResent(outcome.NotRun(outcome.DeadlineExceeded, err.Error(), startWait)), late
	}
	q.resent = true
	if late {
		return outcome.Unknown(outcome.DeadlineExceeded, err.Error(), startWait), true
	}
	// A request that is not a search may only be sent again where this is known to be safe.
	return outcome.Unknown(outcome.ConnectionLost, err.Error(), startWait), !q.route.Sharded()
}

// asResent returns an outcome that does not say that a request has not run where another VM
// may have run it.
func (q *request) asResent(o outcome.Outcome) outcome.Outcome {
	if !q.resent || o.Kind != caller.OutcomeNotRun {
		return o
	}
	unknown := outcome.Unknown(o.Reason, o.Detail, o.RetryAfter)
	unknown.Coverage, unknown.Cost = o.Coverage, o.Cost
	return unknown
}

func describe(q *request, p *upstream.Passed) *gen.Delegate {
	d := &gen.Delegate{
		RequestId: q.id, Method: p.Method, Host: p.Host, Target: p.Target, Body: string(p.Body),
		Headers:   toHeaders(p.Header),
		Version:   q.catalog.Config.Version,
		ElapsedUs: int((time.Since(q.begun) + hopSlack).Microseconds()),
		GiveUpUs:  int((time.Until(q.deadline) - hopSlack).Microseconds()),
		Returning: q.returning,
		Resent:    q.resent,
		Shards:    q.shards,
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

// Handle runs the requests that other VMs hand over.
func (s *Server) Handle(ctx context.Context, from string, m *gen.Message) *gen.Message {
	d := m.Delegate
	if d == nil {
		return nil
	}
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	c := s.o.Catalog()
	if c == nil || c.Config.Version < d.Version || s.closing.Load() {
		return notTaken()
	}
	now := time.Now()
	q := &request{
		id: d.RequestId, catalog: c, delegated: true, returning: d.Returning, resent: d.Resent,
		begun:    now.Add(-time.Duration(d.ElapsedUs) * time.Microsecond),
		deadline: now.Add(time.Duration(d.GiveUpUs) * time.Microsecond),
	}
	path, _, _ := strings.Cut(d.Target, "?")
	q.route = c.Table.Find(hostOf(d.Host), path)
	if q.route == nil {
		return notTaken()
	}
	if len(d.Shards) > 0 {
		q.shards, q.part = d.Shards, true
		if !s.knows(c, d.Shards) {
			return notTaken()
		}
	}
	p := &upstream.Passed{
		Method: d.Method, Host: d.Host, Target: d.Target, Body: []byte(d.Body), ID: d.RequestId,
		Header: fromHeaders(d.Headers),
	}
	q.service = q.route.Choose(rand.Float64())
	o := s.run(ctx, q, p)
	if o.Kind != caller.OutcomeAnswered {
		s.o.Log.Info("request for another VM", "id", q.id, "from", from, "outcome", o.Kind, "reason", o.Reason,
			"detail", o.Detail, "took_ms", time.Since(now).Milliseconds())
	}
	return &gen.Message{Delegated: toDelegated(&o)}
}

// knows reports whether each shard is a service of the configuration in force.
func (s *Server) knows(c *catalog.Catalog, shards []string) bool {
	return !slices.ContainsFunc(shards, func(shard string) bool { return c.Manifest.Workloads[shard] == nil })
}

func notTaken() *gen.Message {
	return &gen.Message{Delegated: &gen.Delegated{Signatures: []string{}, Headers: []gen.Header{}}}
}

func toDelegated(o *outcome.Outcome) *gen.Delegated {
	d := &gen.Delegated{
		Taken: true, Outcome: string(o.Kind), Reason: string(o.Reason), Detail: o.Detail,
		RetryAfterUs: int(o.RetryAfter.Microseconds()), Records: string(o.Result), Signatures: o.Signatures,
		Sent: o.Cost.Sent, Shed: o.Cost.Shed, Status: o.ResultStatus, Headers: toHeaders(o.Header),
	}
	if d.Signatures == nil {
		d.Signatures = []string{}
	}
	if o.Coverage != nil {
		d.Shards, d.Covered = o.Coverage.ShardsTotal, o.Coverage.ShardsCovered
	}
	return d
}

func fromDelegated(d *gen.Delegated) outcome.Outcome {
	o := outcome.Outcome{
		Kind: caller.Outcome(d.Outcome), Reason: outcome.Reason(d.Reason), Detail: d.Detail,
		RetryAfter: time.Duration(d.RetryAfterUs) * time.Microsecond,
		Result:     []byte(d.Records), Signatures: d.Signatures,
		Cost: outcome.Cost{Sent: d.Sent, Shed: d.Shed},
	}
	if d.Status != 0 {
		o.ResultStatus, o.Header = d.Status, fromHeaders(d.Headers)
	}
	if d.Shards > 0 {
		o.Coverage = &caller.Coverage{
			ShardsTotal: d.Shards, ShardsCovered: d.Covered, Complete: d.Covered == d.Shards,
		}
	}
	return o
}
