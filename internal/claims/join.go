package claims

import (
	"context"

	"github.com/sardinespindle/sardinespindle/internal/policy/once"
	"github.com/sardinespindle/sardinespindle/schema/gen/peer"
)

// Votes reports whether this VM gives votes: a quorum counts it, it is not
// leaving, and its VM list is not too old.
func (c *Claims) Votes() bool {
	return c.admitted.Load() && !c.left.Load() && c.o.ListAge() <= c.o.Params.MaxListAge
}

// join asks every VM known to count this one, and reports whether it is admitted.
func (c *Claims) join(ctx context.Context) bool {
	if c.observe() == nil {
		return false
	}
	known := c.present()
	a := once.NewAdmission(c.o.Params, known)
	a.Add(c.o.VM, false, nil)
	ctx, cancel := context.WithTimeout(ctx, roundTime)
	defer cancel()
	type reply struct {
		vm     string
		joined *peer.Joined
	}
	replies := make(chan reply, len(known))
	asked := 0
	for _, vm := range known {
		if vm == c.o.VM {
			continue
		}
		asked++
		go func() { replies <- reply{vm, c.askJoin(ctx, vm)} }()
	}
	for range asked {
		if r := <-replies; r.joined != nil {
			a.Add(r.vm, r.joined.Votes, r.joined.Members)
		}
	}
	c.know(a.Members())
	if !a.Admitted(c.o.Boot() - c.started) {
		return false
	}
	c.admit()
	return true
}

func (c *Claims) askJoin(ctx context.Context, vm string) *peer.Joined {
	m := &peer.Message{Join: &peer.Join{Name: c.o.VM, Incarnation: c.o.Incarnation}}
	r, err := c.o.Call(ctx, vm, m)
	if err != nil || r == nil {
		return nil
	}
	return r.Joined
}

func (c *Claims) know(names []string) {
	now := c.now()
	c.viewMu.Lock()
	defer c.viewMu.Unlock()
	c.view.Observe(now, names)
}

// admit lets this VM vote on keys born from now on.
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

// Leave stops voting for good and tells the other VMs, so that they need not
// count this one any longer. It is called once the last request has ended, and
// takes a bounded time.
func (c *Claims) Leave(ctx context.Context) {
	c.left.Store(true)
	known := c.present()
	m := peer.Join{Name: c.o.VM, Incarnation: c.o.Incarnation, Leaving: true}
	told := make(chan bool, len(known))
	for _, vm := range known {
		go func() { told <- vm == c.o.VM || c.push(ctx, vm, &peer.Message{Join: &m}) }()
	}
	for range known {
		select {
		case <-told:
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
