package peer

import (
	"context"
	"slices"
	"strings"

	"github.com/sardinespindle/sardinespindle/internal/facts"
	rules "github.com/sardinespindle/sardinespindle/internal/policy/facts"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/peer"
)

// Bounds of spreads.
const (
	// maxDirectMembers is the largest fleet in which facts received by a spread are not
	// passed on by gossip as well.
	maxDirectMembers = 64
	// maxConcurrentCalls bounds the concurrent calls of one spread.
	maxConcurrentCalls = 128
)

// Spread sends a fact directly to every other member of the fleet and returns how many of
// them acknowledged it before ctx ended.
func (n *Node) Spread(ctx context.Context, f facts.Fact) int {
	var peers []string
	for _, m := range n.Roster() {
		if m.Name != n.name {
			peers = append(peers, m.Name)
		}
	}
	return n.SpreadTo(ctx, f, peers)
}

// SpreadTo sends a fact directly to the given VMs and returns how many acknowledged it
// before ctx ended. It merges the facts in their replies: those of other origins whose keys
// share f's prefix up to the last slash.
func (n *Node) SpreadTo(ctx context.Context, f facts.Fact, peers []string) int {
	m := &gen.Message{Facts: toWire(n.now(), []rules.Fact{f})}
	acks := make(chan bool, len(peers))
	slots := make(chan struct{}, maxConcurrentCalls)
	for _, vm := range peers {
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			r, err := n.Call(ctx, vm, m)
			if err != nil || r.Facts == nil {
				acks <- false
				return
			}
			n.learnSpread(vm, r.Facts)
			n.gossip.queue(f.Key).markKnown(f, vm)
			acks <- true
		}()
	}
	count := 0
	for range peers {
		if <-acks {
			count++
		}
	}
	if count < len(peers) {
		n.restate(f)
	}
	return count
}

// restate puts a fact of this VM again, for VMs that a spread did not reach. Whoever
// receives the new version by gossip passes it on.
func (n *Node) restate(f facts.Fact) {
	held, ok := n.facts.Get(f.ID())
	if ok && held.Version == f.Version && f.Origin == n.facts.Origin() {
		n.facts.Put(f.Key, f.Value, held.Expires-n.now())
	}
}

// acknowledge merges a fact received by a spread. It replies with the facts of other
// origins whose keys share its prefix up to the last slash.
func (n *Node) acknowledge(from string, m *gen.Facts) *gen.Message {
	if len(m.Facts) != 1 {
		n.metrics.dropped.WithLabelValues("spread").Inc()
		return nil
	}
	n.learnSpread(from, m)
	n.handlersMu.RLock()
	hooks := n.spreadHooks
	n.handlersMu.RUnlock()
	var known []rules.Fact
	for _, f := range fromWire(n.now(), m) {
		for _, hook := range hooks {
			hook(f)
		}
		if i := strings.LastIndexByte(f.Key, '/'); i > 0 {
			known = append(known, n.facts.List(f.Key[:i+1])...)
		}
		known = slices.DeleteFunc(known, func(k rules.Fact) bool { return k.Origin == f.Origin })
	}
	chosen, _ := rules.Select(known, maxPushFacts, maxRepairBytes)
	return &gen.Message{Facts: toWire(n.now(), chosen)}
}

// learnSpread merges facts received by a spread or in its replies. In a fleet of at most
// maxDirectMembers they are not passed on: the VM that spread a fact restates it if an
// acknowledgement is missing.
func (n *Node) learnSpread(from string, m *gen.Facts) {
	if n.memberCount() > maxDirectMembers {
		n.learn(from, m)
		return
	}
	n.facts.Merge(fromWire(n.now(), m))
}
