package single

import (
	"context"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/gather"
	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/internal/policy/hedge"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
)

// race makes an attempt at the picked upstream and, where it is late and the budget
// allows, a second one at another. The first usable reply wins and the other attempt
// is cancelled. It serves idempotent requests only.
func (r *Runner) race(ctx context.Context, q Request, t gather.Ticket, tr *tries) upstream.Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan upstream.Result, 2)
	start := func(t gather.Ticket) {
		try := tr.next(t)
		go func() { results <- r.send(ctx, q, t, try, nil) }()
	}
	start(t)
	late := r.lateAfter(q)
	defer late.Stop()
	running := 1
	var failed *upstream.Result
	for running > 0 {
		select {
		case <-late.C:
			if t, ok := r.pickHedge(q, tr); ok {
				start(t)
				running++
			}
		case res := <-results:
			running--
			tr.count(res)
			if res.Class == upstream.OK {
				return res
			}
			failed = worse(failed, res)
		}
	}
	return *failed
}

// lateAfter returns a timer for the moment at which an attempt is late; one that
// never fires in this request's time where that is not known.
func (r *Runner) lateAfter(q Request) *time.Timer {
	left := time.Until(q.Deadline)
	if r.o.NoHedge {
		return time.NewTimer(left)
	}
	quantile, ok := r.o.Upstream.HedgeDelay(string(q.Workload.Name), "")
	if !ok {
		return time.NewTimer(left)
	}
	fill := 0.0
	r.budgets.Do(string(q.Workload.Name), func(b *hedge.Bucket) {
		b.Earn(1, q.HedgePercent)
		fill = b.Fill()
	})
	return time.NewTimer(min(hedge.Delay(quantile, fill), left))
}

// pickHedge pays for a hedge and picks another upstream; false where either fails.
func (r *Runner) pickHedge(q Request, tr *tries) (gather.Ticket, bool) {
	name := string(q.Workload.Name)
	paid := false
	if time.Now().Before(q.Deadline) && tr.losses == 0 {
		r.budgets.Do(name, func(b *hedge.Bucket) { paid = b.Take() })
	}
	if !paid {
		return nil, false
	}
	t, err := r.o.Upstream.Pick(q.Workload, "", tr.excluded, true)
	if err != nil {
		r.budgets.Do(name, (*hedge.Bucket).GiveBack)
		return nil, false
	}
	return t, true
}

// worse returns the result that says more of what may have run.
func worse(a *upstream.Result, b upstream.Result) *upstream.Result {
	if a != nil && a.Class.MayHaveRun() && !b.Class.MayHaveRun() {
		return a
	}
	return &b
}

// tries is what one request has tried so far. It has no lock: only the request's own
// goroutine uses it.
type tries struct {
	excluded []string
	made     int
	losses   int
	ran      bool
	cost     outcome.Cost
}

// next notes an attempt and returns its number.
func (tr *tries) next(t gather.Ticket) int {
	tr.excluded = append(tr.excluded, t.Address())
	tr.made++
	return tr.made
}

// count notes what became of an attempt.
func (tr *tries) count(res upstream.Result) {
	if res.Class != upstream.NotSent {
		tr.cost.Sent++
	}
	if res.Class == upstream.Shed {
		tr.cost.Shed++
	}
	if res.Class == upstream.Lost {
		tr.losses++
	}
	tr.ran = tr.ran || res.Class.MayHaveRun()
}
