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
	// directMembers is the size of a fleet that a spread reaches as a whole.
	directMembers = 64
	// maxSpreading bounds the calls that one spread has under way.
	maxSpreading = 128
)

// Spread states a fact directly to every member of the fleet and returns how many
// acknowledged it, this VM not counted, before ctx ended.
func (n *Node) Spread(ctx context.Context, f facts.Fact) int {
	var peers []string
	for _, m := range n.Roster() {
		if m.Name != n.name {
			peers = append(peers, m.Name)
		}
	}
	return n.SpreadTo(ctx, f, peers)
}

// SpreadTo states a fact directly to some VMs and returns how many acknowledged it
// before ctx ended. What they know under the same prefix is merged on the way.
func (n *Node) SpreadTo(ctx context.Context, f facts.Fact, peers []string) int {
	m := &gen.Message{Facts: toWire(n.now(), []rules.Fact{f})}
	acks := make(chan bool, len(peers))
	slots := make(chan struct{}, maxSpreading)
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
			n.gossip.queue(f.Key).heardAgain(f, vm)
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
		n.stateAgain(f)
	}
	return count
}

// stateAgain states a fact of this VM's own once more, for those that a spread did not
// reach: a new version is passed on by all who get it.
func (n *Node) stateAgain(f facts.Fact) {
	held, ok := n.facts.Get(f.ID())
	if ok && held.Version == f.Version && f.Origin == n.facts.Origin() {
		n.facts.Put(f.Key, f.Value, held.Expires-n.now())
	}
}

// acknowledge merges a spread fact and answers with what other VMs stated under its
// prefix.
func (n *Node) acknowledge(from string, m *gen.Facts) *gen.Message {
	if len(m.Facts) != 1 {
		n.metrics.dropped.WithLabelValues("spread").Inc()
		return nil
	}
	n.learnSpread(from, m)
	n.handlersMu.RLock()
	hooks := n.onSpread
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
	chosen, _ := rules.Select(known, pushFacts, repairBytes)
	return &gen.Message{Facts: toWire(n.now(), chosen)}
}

// learnSpread merges facts that a spread brought. Where a spread reaches the whole
// fleet they are not passed on: its origin sees whom it missed and restates them.
func (n *Node) learnSpread(from string, m *gen.Facts) {
	if n.memberCount() > directMembers {
		n.learn(from, m)
		return
	}
	n.facts.Merge(fromWire(n.now(), m))
}
