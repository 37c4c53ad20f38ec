package upstream

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A pick whose replicas reach their limits while it runs", func() {
	// A caller told "no replica" gives the shard up; one told "limited" waits for a slot.
	It("fails with ErrLimited", func() {
		f := newFakeUpstream()
		m := newManifest(entry(f.address()))
		c := newClient(Options{}, m)
		s := c.current.Load().servers[f.address()]
		_, err := c.choose(c.current.Load().groups[groupKey{wlSearch, "s0"}], c.opts.Now(), nil, []*server{s}, false)
		Expect(err).To(MatchError(ErrLimited))
	})
})

var _ = Describe("A probe that finds too many attempts waiting for a connection", func() {
	It("does not make the replica suspect", func() {
		f := newFakeUpstream()
		c := newClient(Options{}, newManifest(entry(f.address())))
		s := c.current.Load().servers[f.address()]
		s.pool.setMaxOpen(1)
		s.pool.mu.Lock()
		s.pool.open, s.pool.waiters = 1, make([]*waiter, maxWaiters)
		s.pool.mu.Unlock()
		err := c.sendProbe(s, "/search/x")
		Expect(err).To(MatchError(errPoolFull))
		s.finishProbe(c.opts.Now(), err)
		Expect(s.health.Suspect()).To(BeFalse())
		s.pool.mu.Lock()
		s.pool.open, s.pool.waiters = 0, nil
		s.pool.mu.Unlock()
	})
})
