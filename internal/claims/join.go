package claims

import (
	"context"

	"github.com/sardinespindle/sardinespindle/internal/policy/once"
	"github.com/sardinespindle/sardinespindle/schema/gen/peer"
)

// Votes reports whether this VM votes: it was admitted, it has not left, and its VM list
// is not too old.
func (c *Claims) Votes() bool {
	return c.admitted.Load() && !c.left.Load() && c.o.ListAge() <= c.o.Params.MaxListAge
}

// join asks every known VM to count this one as a voter, and reports whether this VM is
// admitted.
func (c *Claims) join(ctx context.Context) bool {
	if c.observe() == nil {
		return false
	}
	known := c.present()
	a := once.NewAdmission(c.o.Params, known)
	a.Add(c.o.VM, false, nil)
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	type reply struct {
		vm     string
		joined *peer.Joined
	}
	replies := make(chan reply, len(known))
	sent := 0
	for _, vm := range known {
		if vm == c.o.VM {
			continue
		}
		sent++
		go func() { replies <- reply{vm, c.requestJoin(ctx, vm)} }()
	}
	for range sent {
		if r := <-replies; r.joined != nil {
			a.Add(r.vm, r.joined.Votes, r.joined.Members)
		}
	}
	c.addMembers(a.Members())
	if !a.Admitted(c.o.Boot() - c.started) {
		return false
	}
	c.admit()
	return true
}

// requestJoin returns a VM's reply to a join; nil if there is none.
func (c *Claims) requestJoin(ctx context.Context, vm string) *peer.Joined {
	m := &peer.Message{Join: &peer.Join{Name: c.o.VM, Incarnation: c.o.Incarnation}}
	r, err := c.o.Call(ctx, vm, m)
	if err != nil || r == nil {
		return nil
	}
	return r.Joined
}

// addMembers records VMs that other VMs count as voters.
func (c *Claims) addMembers(names []string) {
	now := c.now()
	c.viewMu.Lock()
	defer c.viewMu.Unlock()
	c.view.Observe(now, names)
}

// admit lets this VM vote on keys that are born later than now by at least FutureSkew and
// ClockSkew together.
func (c *Claims) admit() {
	now := c.now()
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		s.guard.Admit(now)
		s.mu.Unlock()
	}
	c.admitted.Store(true)
}

// Leave stops voting for good and notifies the other VMs, so that they no longer count
// this one as a voter. It must be called after the last request has ended. It returns
// after deliveryTimeout or when ctx ends, at the latest.
func (c *Claims) Leave(ctx context.Context) {
	c.left.Store(true)
	known := c.present()
	m := peer.Join{Name: c.o.VM, Incarnation: c.o.Incarnation, Leaving: true}
	delivered := make(chan bool, len(known))
	for _, vm := range known {
		go func() { delivered <- vm == c.o.VM || c.deliver(ctx, vm, &peer.Message{Join: &m}) }()
	}
	for range known {
		select {
		case <-delivered:
		case <-ctx.Done():
			return
		}
	}
}

func (c *Claims) handleJoin(m *peer.Join) *peer.Message {
	if m.Name == "" || m.Incarnation == "" {
		return nil
	}
	now := c.now()
	c.viewMu.Lock()
	if m.Leaving {
		c.view.Leave(now, m.Name, m.Incarnation)
	} else {
		c.view.Join(now, m.Name, m.Incarnation)
	}
	c.viewMu.Unlock()
	known := c.present()
	return &peer.Message{Joined: &peer.Joined{Votes: c.Votes(), Members: known}}
}
