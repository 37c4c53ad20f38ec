package single_test

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/gather"
	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/single"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
)

// stuckUpstream never answers its first attempt and answers every other at once.
type stuckUpstream struct {
	sent, canceled atomic.Int32
	// rest is how long the first attempt takes where it is not cancelled.
	rest time.Duration
}

func (u *stuckUpstream) Pick(*manifest.Workload, string, []string, bool) (gather.Ticket, error) {
	return fakeTicket{}, nil
}

func (u *stuckUpstream) HedgeDelay(string, string) (time.Duration, bool) {
	return 5 * time.Millisecond, true
}

func (u *stuckUpstream) Do(ctx context.Context, _ gather.Ticket, _ upstream.Attempt) upstream.Result {
	if u.sent.Add(1) > 1 {
		return upstream.Result{Class: upstream.OK, Status: 200}
	}
	select {
	case <-ctx.Done():
		u.canceled.Add(1)
		return upstream.Result{Class: upstream.Canceled, Err: ctx.Err()}
	case <-time.After(u.rest):
		return upstream.Result{Class: upstream.OK, Status: 200}
	}
}

var _ = Describe("a late attempt", func() {
	hedged := func(idempotent bool, percent float64) (*stuckUpstream, caller.Outcome) {
		up := &stuckUpstream{rest: 100 * time.Millisecond}
		r := single.New(single.Options{Upstream: up, Claims: guard(), Poison: &fakePoison{most: 2}})
		q := request(idempotent)
		q.HedgePercent = percent
		return up, r.Run(context.Background(), q).Kind
	}

	It("of an idempotent request is hedged, and the loser cancelled", func() {
		up, kind := hedged(true, 3)
		Expect(kind).To(Equal(caller.OutcomeAnswered))
		Expect(up.sent.Load()).To(BeEquivalentTo(2))
		Eventually(up.canceled.Load).Should(BeEquivalentTo(1))
	})

	It("of any other request is never hedged", func() {
		up, kind := hedged(false, 3)
		Expect(kind).To(Equal(caller.OutcomeAnswered))
		Expect(up.sent.Load()).To(BeEquivalentTo(1))
	})

	It("is hedged only as far as the budget goes", func() {
		up := &stuckUpstream{rest: 50 * time.Millisecond}
		r := single.New(single.Options{Upstream: up, Claims: guard(), Poison: &fakePoison{most: 2}})
		extra := 0
		for range 20 {
			up.sent.Store(0)
			Expect(r.Run(context.Background(), request(true)).Kind).To(Equal(caller.OutcomeAnswered))
			extra += int(up.sent.Load()) - 1
		}
		Expect(extra).To(BeNumerically("<=", 10))
	})
})

func (u *stuckUpstream) PickPassed(w *manifest.Workload, _ string, exclude []string) (gather.Ticket, time.Duration, error) {
	t, err := u.Pick(w, "", exclude, false)
	return t, 0, err
}
