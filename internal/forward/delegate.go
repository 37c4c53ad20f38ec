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

	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/internal/policy/delegate"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
	peer "github.com/sardinespindle/sardinespindle/schema/gen/peer"
)

// Peers are the other VMs.
type Peers interface {
	Call(ctx context.Context, vm string, m *peer.Message) (*peer.Message, error)
}

// hopSlack is added to a search's age for each hop between VMs, so that its answer is
// back in time.
const hopSlack = 4 * time.Millisecond

// lateSlack is how much later than the last moment of an answer in time a VM that was
// handed a search is given up.
const lateSlack = 25 * time.Millisecond

var errOtherKind = errors.New("reply of another kind")

// peerTable holds what is known of other VMs as gatherers.
type peerTable struct {
	mu    sync.Mutex // guards peers
	peers map[string]*delegate.Peer
}

// take chooses one of the VMs and counts a search to it.
func (t *peerTable) take(names []string, now time.Duration) (string, bool) {
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

// place runs a search here or hands it to a VM that is near its shards.
func (s *Server) place(ctx context.Context, q *request, p *upstream.Passed) outcome.Outcome {
	if s.o.Peers == nil {
		return s.search(ctx, q, p)
	}
	gatherers, self := s.o.Gatherers()
	zone, ok := delegate.Home(s.o.Zone, q.catalog.Near[q.route.Name], gatherers)
	if !ok || self && zone == s.o.Zone {
		return s.search(ctx, q, p)
	}
	vm, ok := s.peers.take(gatherers[zone], s.o.Now())
	if !ok && !self {
		vm, ok = s.peers.take(slices.Concat(slices.Collect(maps.Values(gatherers))...), s.o.Now())
	}
	if !ok {
		return s.search(ctx, q, p)
	}
	o, taken, err := s.handOver(ctx, q, p, vm)
	s.peers.done(vm, s.o.Now(), err == nil || ctx.Err() != nil)
	if taken || ctx.Err() != nil {
		return o
	}
	if err != nil {
		s.o.Log.Info("search taken back", "id", q.id, "vm", vm, "err", err, "age_ms", time.Since(q.begun).Milliseconds())
		q.resent = true
	}
	return s.search(ctx, q, p)
}

// handOver sends a search to a VM; taken is false where that VM did not run it or is not
// heard of.
func (s *Server) handOver(ctx context.Context, q *request, p *upstream.Passed, vm string) (o outcome.Outcome, taken bool, err error) {
	until := q.answerAt().Add(lateSlack)
	if q.returning || until.After(q.deadline) {
		until = q.deadline
	}
	cctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	reply, err := s.o.Peers.Call(cctx, vm, &peer.Message{Delegate: describe(q, p)})
	if err != nil {
		return outcome.Unknown(outcome.Canceled, err.Error(), 0), false, err
	}
	if reply.Delegated == nil {
		return outcome.Outcome{}, false, errOtherKind
	}
	return fromDelegated(reply.Delegated), reply.Delegated.Taken, nil
}

func describe(q *request, p *upstream.Passed) *peer.Delegate {
	d := &peer.Delegate{
		RequestId: q.id, Method: p.Method, Host: p.Host, Target: p.Target, Body: string(p.Body),
		Headers:   make([]peer.Header, 0, len(p.Header)),
		Version:   q.catalog.Config.Version,
		ElapsedUs: int((time.Since(q.begun) + hopSlack).Microseconds()),
		GiveUpUs:  int((time.Until(q.deadline) - hopSlack).Microseconds()),
		Returning: q.returning,
	}
	for name, values := range p.Header {
		d.Headers = append(d.Headers, peer.Header{Name: name, Values: values})
	}
	return d
}

// Handle runs the searches that other VMs hand over.
func (s *Server) Handle(ctx context.Context, from string, m *peer.Message) *peer.Message {
	d := m.Delegate
	if d == nil {
		return nil
	}
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	c := s.o.Catalog()
	if c == nil || c.Config.Version < d.Version || s.closing.Load() {
		return &peer.Message{Delegated: &peer.Delegated{Signatures: []string{}}}
	}
	now := time.Now()
	q := &request{
		id: d.RequestId, catalog: c, delegated: true, returning: d.Returning,
		begun:    now.Add(-time.Duration(d.ElapsedUs) * time.Microsecond),
		deadline: now.Add(time.Duration(d.GiveUpUs) * time.Microsecond),
	}
	path, _, _ := strings.Cut(d.Target, "?")
	q.route = c.Table.Find(hostOf(d.Host), path)
	if q.route == nil || !q.route.Sharded() {
		return &peer.Message{Delegated: &peer.Delegated{Signatures: []string{}}}
	}
	p := &upstream.Passed{
		Method: d.Method, Host: d.Host, Target: d.Target, Body: []byte(d.Body), ID: d.RequestId,
		Header: make(http.Header, len(d.Headers)),
	}
	for _, h := range d.Headers {
		p.Header[h.Name] = h.Values
	}
	o := s.search(ctx, q, p)
	if o.Kind != caller.OutcomeAnswered {
		s.o.Log.Info("search for another VM", "id", q.id, "from", from, "outcome", o.Kind, "reason", o.Reason,
			"detail", o.Detail, "took_ms", time.Since(now).Milliseconds())
	}
	return &peer.Message{Delegated: toDelegated(&o)}
}

func toDelegated(o *outcome.Outcome) *peer.Delegated {
	d := &peer.Delegated{
		Taken: true, Outcome: string(o.Kind), Reason: string(o.Reason), Detail: o.Detail,
		RetryAfterUs: int(o.RetryAfter.Microseconds()), Records: string(o.Result), Signatures: o.Signatures,
		Sent: o.Cost.Sent, Shed: o.Cost.Shed,
	}
	if d.Signatures == nil {
		d.Signatures = []string{}
	}
	if o.Coverage != nil {
		d.Shards, d.Covered = o.Coverage.ShardsTotal, o.Coverage.ShardsCovered
	}
	return d
}

func fromDelegated(d *peer.Delegated) outcome.Outcome {
	return outcome.Outcome{
		Kind: caller.Outcome(d.Outcome), Reason: outcome.Reason(d.Reason), Detail: d.Detail,
		RetryAfter: time.Duration(d.RetryAfterUs) * time.Microsecond,
		Result:     []byte(d.Records), Signatures: d.Signatures,
		Coverage: &caller.Coverage{ShardsTotal: d.Shards, ShardsCovered: d.Covered, Complete: d.Covered == d.Shards},
		Cost:     outcome.Cost{Sent: d.Sent, Shed: d.Shed},
	}
}
