package single_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/gather"
	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/single"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
	manifestgen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
)

// scripted answers the attempts of a passed request one after the other.
type scripted struct {
	gather.Upstream

	mu      sync.Mutex // guards the rest
	results []upstream.Class
	done    int
}

// place is a ticket for an upstream.
type place string

func (p place) Address() string { return string(p) }
func (p place) Cancel()         {}

func (s *scripted) PickPassed(_ *manifest.Workload, _ string, exclude []string) (gather.Ticket, time.Duration, error) {
	return place(fmt.Sprint(len(exclude))), 0, nil
}

func (s *scripted) Do(context.Context, gather.Ticket, upstream.Attempt) upstream.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done++
	return upstream.Result{Class: s.results[s.done-1], Err: errors.New("scripted")}
}

var _ = Describe("A passed request", func() {
	paid := 0
	run := func(idempotent bool, results ...upstream.Class) caller.Outcome {
		paid = 0
		r := single.New(single.Options{Upstream: &scripted{results: results}})
		return r.Run(context.Background(), single.Request{
			ID: "id", Deadline: time.Now().Add(time.Second),
			Workload: &manifest.Workload{Workload: manifestgen.Workload{Name: "orders"}},
			Pass: &single.Pass{
				Request: &upstream.Passed{ID: "id"}, Idempotent: idempotent, HedgeAfter: time.Second, Attempts: 2,
				Repeat: func(bool) bool { paid++; return true },
			},
		}).Kind
	}
	DescribeTable("is attempted", func(idempotent bool, wantPaid int, want caller.Outcome, results ...upstream.Class) {
		Expect(run(idempotent, results...)).To(Equal(want))
		Expect(paid).To(Equal(wantPaid))
	},
		Entry("once where it is answered", false, 0, caller.OutcomeAnswered, upstream.OK),
		Entry("again, unpaid, where upstreams were not reached", false, 0, caller.OutcomeAnswered,
			upstream.NotSent, upstream.NotSent, upstream.NotSent, upstream.OK),
		Entry("again, paid, where it was refused", false, 1, caller.OutcomeAnswered, upstream.Shed, upstream.OK),
		Entry("no more once it may have run and is not idempotent", false, 0, caller.OutcomeUnknown, upstream.Lost),
		Entry("again, paid, where a lost one is idempotent", true, 1, caller.OutcomeAnswered, upstream.Lost, upstream.OK),
		Entry("at no more upstreams than it may reach", true, 1, caller.OutcomeUnknown, upstream.Lost, upstream.Lost),
		Entry("not for ever", false, 0, caller.OutcomeNotRun, upstream.NotSent, upstream.NotSent, upstream.NotSent,
			upstream.NotSent, upstream.NotSent, upstream.NotSent),
	)
})
