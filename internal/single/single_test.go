package single_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/claims"
	"github.com/sardinespindle/sardinespindle/internal/gather"
	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/internal/policy/once"
	"github.com/sardinespindle/sardinespindle/internal/single"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
	"github.com/sardinespindle/sardinespindle/schema/gen/peer"
)

func TestSingle(t *testing.T) { testkit.Run(t, "single") }

// fakeUpstream gives one class after the other and counts what may have run.
type fakeUpstream struct {
	classes []upstream.Class
	sent    int
	ran     int
	during  func()
	late    time.Duration
}

func (f *fakeUpstream) HedgeDelay(string, string) (time.Duration, bool) { return f.late, f.late > 0 }

type fakeTicket struct{}

func (fakeTicket) Address() string { return "127.2.0.1:1" }
func (fakeTicket) Cancel()         {}

func (f *fakeUpstream) Pick(*manifest.Workload, string, []string, bool) (gather.Ticket, error) {
	if f.sent == len(f.classes) {
		return nil, errors.New("no upstream left")
	}
	return fakeTicket{}, nil
}

func (f *fakeUpstream) Do(_ context.Context, _ gather.Ticket, a upstream.Attempt) upstream.Result {
	if a.Check != nil && a.Check() != nil {
		return upstream.Result{Class: upstream.NotSent}
	}
	c := f.classes[f.sent]
	f.sent++
	if c.MayHaveRun() {
		f.ran++
	}
	if f.during != nil {
		f.during()
	}
	return upstream.Result{Class: c, Status: 200, Body: []byte("done")}
}

// fakePoison refuses from a number of crashes on.
type fakePoison struct{ crashes, most int }

func (p *fakePoison) Crashes(string) bool    { return p.crashes >= p.most }
func (p *fakePoison) Crashed(string, string) { p.crashes++ }

// guard is one VM whose own vote is a quorum.
func guard() *claims.Claims {
	params := once.Defaults()
	params.Drift = 0
	params.FutureSkew, params.ClockSkew = 0, 0 // one clock: the VM may vote at once
	var c *claims.Claims
	c = claims.New(claims.Options{
		VM:          "vm-01",
		Incarnation: "i",
		Started:     time.Now().Add(-time.Hour),
		Call: func(ctx context.Context, vm string, m *peer.Message) (*peer.Message, error) {
			return c.Handle(ctx, vm, m), nil
		},
		Roster:     func() []claims.Member { return []claims.Member{{Name: "vm-01"}} },
		Generation: func() int { return 1 },
		Params:     params,
	})
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go c.Run(ctx)
	Eventually(c.Votes).WithPolling(time.Millisecond).Should(BeTrue())
	time.Sleep(2 * time.Millisecond) // a key's birth is cut to whole milliseconds
	return c
}

func request(idempotent bool) single.Request {
	return single.Request{
		ID:          "r",
		Fingerprint: "f",
		Workload: &manifest.Workload{Workload: gen.Workload{
			Name: "order-desk", Kind: gen.WorkloadKindSingle, Idempotent: idempotent, ResendWindowMs: 600_000,
		}},
		Caller:   "workshops",
		Key:      uuid.Must(uuid.NewV7()).String(),
		Deadline: time.Now().Add(2 * time.Second),
	}
}

var _ = Describe("a request that is not idempotent", func() {
	DescribeTable("runs at most once, whatever becomes of it",
		func(classes []upstream.Class, want caller.Outcome, ran int) {
			up := &fakeUpstream{classes: classes}
			r := single.New(single.Options{Upstream: up, Claims: guard(), Poison: &fakePoison{most: 2}})
			q := request(false)
			first := r.Run(context.Background(), q)
			Expect(first.Kind).To(Equal(want))
			up.classes = append(up.classes, upstream.OK)
			again := r.Run(context.Background(), q)
			Expect(again.Kind).To(Equal(want))
			Expect(again.Replayed).To(BeTrue())
			Expect(up.ran).To(Equal(ran))
		},
		Entry("answered", []upstream.Class{upstream.OK}, caller.OutcomeAnswered, 1),
		Entry("refused, then answered elsewhere", []upstream.Class{upstream.Shed, upstream.OK}, caller.OutcomeAnswered, 1),
		Entry("never sent", []upstream.Class{upstream.NotSent}, caller.OutcomeNotRun, 0),
		Entry("refused everywhere", []upstream.Class{upstream.Shed, upstream.Shed}, caller.OutcomeNotRun, 0),
		Entry("connection lost", []upstream.Class{upstream.Lost}, caller.OutcomeUnknown, 1),
		Entry("refused, then timed out", []upstream.Class{upstream.Shed, upstream.TimedOut}, caller.OutcomeUnknown, 1),
		Entry("garbled reply", []upstream.Class{upstream.Garbled}, caller.OutcomeUnknown, 1),
		Entry("upstream error", []upstream.Class{upstream.Failed}, caller.OutcomeUnknown, 1),
	)

	It("finishes and is recorded when its caller hangs up", func() {
		ctx, hangUp := context.WithCancel(context.Background())
		up := &fakeUpstream{classes: []upstream.Class{upstream.OK}, during: hangUp}
		r := single.New(single.Options{Upstream: up, Claims: guard(), Poison: &fakePoison{most: 2}})
		q := request(false)
		Expect(r.Run(ctx, q).Kind).To(Equal(caller.OutcomeAnswered))
		Expect(r.Run(context.Background(), q).Replayed).To(BeTrue())
	})

	It("is refused with another body under the same key", func() {
		r := single.New(single.Options{Upstream: &fakeUpstream{classes: []upstream.Class{upstream.OK}}, Claims: guard(), Poison: &fakePoison{most: 2}})
		q := request(false)
		r.Run(context.Background(), q)
		q.Fingerprint = "other"
		o := r.Run(context.Background(), q)
		Expect(o.Kind).To(Equal(caller.OutcomeRejected))
		Expect(o.Reason).To(Equal(outcome.KeyReused))
	})
})

var _ = Describe("an idempotent request", func() {
	It("is tried again elsewhere, but costs a crashing request one retry at most", func() {
		up := &fakeUpstream{classes: []upstream.Class{upstream.Lost, upstream.Lost, upstream.Lost, upstream.OK}}
		r := single.New(single.Options{Upstream: up, Claims: guard(), Poison: &fakePoison{most: 2}})
		o := r.Run(context.Background(), request(true))
		Expect(o.Kind).To(Equal(caller.OutcomeUnknown))
		Expect(up.ran).To(Equal(2))
		Expect(r.Run(context.Background(), request(true)).Reason).To(Equal(outcome.CrashSuspected))
		Expect(up.ran).To(Equal(2))
	})

	It("never says not_run after an attempt that may have run", func() {
		up := &fakeUpstream{classes: []upstream.Class{upstream.Failed, upstream.Shed}}
		r := single.New(single.Options{Upstream: up, Claims: guard(), Poison: &fakePoison{most: 2}})
		Expect(r.Run(context.Background(), request(true)).Kind).To(Equal(caller.OutcomeUnknown))
	})
})

func (f *fakeUpstream) PickPassed(w *manifest.Workload, _ string, exclude []string) (gather.Ticket, time.Duration, error) {
	t, err := f.Pick(w, "", exclude, false)
	return t, 0, err
}
