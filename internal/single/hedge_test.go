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

// stalledUpstream replies to its first attempt late and to every other at once.
type stalledUpstream struct {
	attempts, canceled atomic.Int32
	// firstDelay is how long the first attempt takes if it is not cancelled.
	firstDelay time.Duration
}

func (u *stalledUpstream) Pick(*manifest.Workload, string, []string, bool) (gather.Ticket, error) {
	return fakeTicket{}, nil
}

func (u *stalledUpstream) LatencyQuantile(string, string) (time.Duration, bool) {
	return 5 * time.Millisecond, true
}

func (u *stalledUpstream) Do(ctx context.Context, _ gather.Ticket, _ upstream.Attempt) upstream.Result {
	if u.attempts.Add(1) > 1 {
		return upstream.Result{Class: upstream.OK, Status: 200}
	}
	select {
	case <-ctx.Done():
		u.canceled.Add(1)
		return upstream.Result{Class: upstream.Canceled, Err: ctx.Err()}
	case <-time.After(u.firstDelay):
		return upstream.Result{Class: upstream.OK, Status: 200}
	}
}

var _ = Describe("an attempt that is late", func() {
	run := func(idempotent bool, percent float64) (*stalledUpstream, caller.Outcome) {
		up := &stalledUpstream{firstDelay: 100 * time.Millisecond}
		r := single.New(single.Options{Upstream: up, Claims: newClaims(), Poison: &fakePoison{limit: 2}})
		q := request(idempotent)
		q.HedgePercent = percent
		return up, r.Run(context.Background(), q).Kind
	}

	// Without cancellation, the late attempt would go on using its upstream.
	It("is hedged and then cancelled if the request is idempotent and the hedge replies first", func() {
		up, kind := run(true, 3)
		Expect(kind).To(Equal(caller.OutcomeAnswered))
		Expect(up.attempts.Load()).To(BeEquivalentTo(2))
		Eventually(up.canceled.Load).Should(BeEquivalentTo(1))
	})

	// A request that ends its upstream would end a second one.
	It("is not hedged if the request is on trial", func() {
		up := &stalledUpstream{firstDelay: 100 * time.Millisecond}
		r := single.New(single.Options{Upstream: up, Claims: newClaims(), Poison: &fakePoison{limit: 2, trial: true}})
		q := request(true)
		q.HedgePercent = 3
		Expect(r.Run(context.Background(), q).Kind).To(Equal(caller.OutcomeAnswered))
		Expect(up.attempts.Load()).To(BeEquivalentTo(1))
	})

	// A hedge could run the request twice.
	It("is not hedged if the request is not idempotent", func() {
		up, kind := run(false, 3)
		Expect(kind).To(Equal(caller.OutcomeAnswered))
		Expect(up.attempts.Load()).To(BeEquivalentTo(1))
	})

	// Hedges without a limit would add load when upstreams are slow because of load.
	It("is not hedged once the hedge budget is used up", func() {
		up := &stalledUpstream{firstDelay: 50 * time.Millisecond}
		r := single.New(single.Options{Upstream: up, Claims: newClaims(), Poison: &fakePoison{limit: 2}})
		extra := 0
		for range 20 {
			up.attempts.Store(0)
			Expect(r.Run(context.Background(), request(true)).Kind).To(Equal(caller.OutcomeAnswered))
			extra += int(up.attempts.Load()) - 1
		}
		Expect(extra).To(BeNumerically("<=", 10))
	})
})

func (u *stalledUpstream) PickPassThrough(w *manifest.Workload, _ string, exclude []string) (gather.Ticket, time.Duration, error) {
	t, err := u.Pick(w, "", exclude, false)
	return t, 0, err
}
