package single

import (
	"context"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/gather"
	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/internal/policy/hedge"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
)

// sendHedged sends an idempotent request to the picked upstream and, if the reply is
// late and the hedge budget allows, also to another one. It returns the first usable
// reply and cancels the other attempt.
func (r *Runner) sendHedged(ctx context.Context, q Request, t gather.Ticket, state *attemptState) upstream.Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan upstream.Result, 2)
	start := func(t gather.Ticket) {
		number := state.start(t)
		go func() { results <- r.send(ctx, q, t, number, nil) }()
	}
	start(t)
	timer := r.hedgeTimer(q)
	defer timer.Stop()
	running := 1
	var failed *upstream.Result
	for running > 0 {
		select {
		case <-timer.C:
			if t, ok := r.pickHedge(q, state); ok {
				start(t)
				running++
			}
		case res := <-results:
			running--
			state.recordResult(res)
			if res.Class == upstream.OK {
				return res
			}
			failed = preferMayHaveRun(failed, res)
		}
	}
	return *failed
}

// hedgeTimer returns a timer that fires when a hedge is due, and adds the attempt's share
// to the hedge budget. Without hedging or latency data it fires only at the deadline.
func (r *Runner) hedgeTimer(q Request) *time.Timer {
	remaining := time.Until(q.Deadline)
	if r.o.NoHedge {
		return time.NewTimer(remaining)
	}
	quantile, ok := r.o.Upstream.LatencyQuantile(string(q.Workload.Name), "")
	if !ok {
		return time.NewTimer(remaining)
	}
	fill := 0.0
	r.budgets.Update(string(q.Workload.Name), func(b *hedge.Bucket) {
		b.Earn(1, q.HedgePercent)
		fill = b.Fill()
	})
	return time.NewTimer(min(hedge.Delay(quantile, fill), remaining))
}

// pickHedge takes a token from the hedge budget and picks an upstream that was not tried
// yet. It reports false if the deadline has passed, the budget is used up or no such
// upstream exists; in the last case the token is refunded. A request that lost a
// connection is not hedged, because the request may have crashed the upstream.
func (r *Runner) pickHedge(q Request, state *attemptState) (gather.Ticket, bool) {
	name := string(q.Workload.Name)
	paid := false
	if time.Now().Before(q.Deadline) && state.losses == 0 {
		r.budgets.Update(name, func(b *hedge.Bucket) { paid = b.Take() })
	}
	if !paid {
		return nil, false
	}
	t, err := r.o.Upstream.Pick(q.Workload, "", state.excluded, true)
	if err != nil {
		r.budgets.Update(name, (*hedge.Bucket).Refund)
		return nil, false
	}
	return t, true
}

// preferMayHaveRun returns the later result b, unless only a's attempt may have run.
func preferMayHaveRun(a *upstream.Result, b upstream.Result) *upstream.Result {
	if a != nil && a.Class.MayHaveRun() && !b.Class.MayHaveRun() {
		return a
	}
	return &b
}

// attemptState holds the attempts of one request and what they cost. Only the request's
// own goroutine uses it.
type attemptState struct {
	excluded   []string
	started    int
	losses     int
	mayHaveRun bool
	cost       outcome.Cost
}

// start records that an attempt was started and returns its number, counted from 1.
func (s *attemptState) start(t gather.Ticket) int {
	s.excluded = append(s.excluded, t.Address())
	s.started++
	return s.started
}

// recordResult records the result of a finished attempt.
func (s *attemptState) recordResult(res upstream.Result) {
	if res.Class != upstream.NotSent {
		s.cost.Sent++
	}
	if res.Class == upstream.Shed {
		s.cost.Shed++
	}
	if res.Class == upstream.Lost {
		s.losses++
	}
	s.mayHaveRun = s.mayHaveRun || res.Class.MayHaveRun()
}
