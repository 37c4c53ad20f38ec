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
	"github.com/sardinespindle/sardinespindle/internal/poison"
	"github.com/sardinespindle/sardinespindle/internal/policy/once"
	"github.com/sardinespindle/sardinespindle/internal/single"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
	"github.com/sardinespindle/sardinespindle/schema/gen/peer"
)

func TestSingle(t *testing.T) { testkit.Run(t, "single") }

// fakeUpstream ends its attempts with the given classes, in order, and counts those that
// may have run.
type fakeUpstream struct {
	classes         []upstream.Class
	sent            int
	mayHaveRun      int
	onAttempt       func()
	latencyQuantile time.Duration
}

func (f *fakeUpstream) LatencyQuantile(string, string) (time.Duration, bool) {
	return f.latencyQuantile, f.latencyQuantile > 0
}

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
	if a.BeforeWrite != nil && a.BeforeWrite() != nil {
		return upstream.Result{Class: upstream.NotSent}
	}
	c := f.classes[f.sent]
	f.sent++
	if c.MayHaveRun() {
		f.mayHaveRun++
	}
	if f.onAttempt != nil {
		f.onAttempt()
	}
	return upstream.Result{Class: c, Status: 200, Body: []byte("done")}
}

// fakePoison refuses requests once as many losses as its limit were recorded.
type fakePoison struct {
	losses, limit int
	trial         bool
}

func (p *fakePoison) Admit(poison.Request) poison.Admission {
	return poison.Admission{Refused: p.losses >= p.limit, Trial: p.trial}
}
func (p *fakePoison) Refused(string) bool       { return p.losses >= p.limit }
func (p *fakePoison) RecordLoss(string, string) { p.losses++ }

// newClaims returns the claims of a fleet of one VM, whose vote alone is a quorum.
func newClaims() *claims.Claims {
	params := once.DefaultParams()
	params.UnknownVoters = 0
	params.FutureSkew, params.ClockSkew = 0, 0 // with a single clock there is no skew to wait for
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
	time.Sleep(2 * time.Millisecond) // a UUIDv7 has its creation time in whole milliseconds; rounded down, that time must not precede the admission
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
	// A retry or resend after an attempt that may have run would run the request twice.
	DescribeTable("runs at most once, and a resend gets the recorded outcome, if its attempts end as",
		func(classes []upstream.Class, want caller.Outcome, ran int) {
			up := &fakeUpstream{classes: classes}
			r := single.New(single.Options{Upstream: up, Claims: newClaims(), Poison: &fakePoison{limit: 2}})
			q := request(false)
			original := r.Run(context.Background(), q)
			Expect(original.Kind).To(Equal(want))
			up.classes = append(up.classes, upstream.OK)
			resend := r.Run(context.Background(), q)
			Expect(resend.Kind).To(Equal(want))
			Expect(resend.Replayed).To(BeTrue())
			Expect(up.mayHaveRun).To(Equal(ran))
		},
		Entry("answered", []upstream.Class{upstream.OK}, caller.OutcomeAnswered, 1),
		Entry("shed, then answered by another upstream", []upstream.Class{upstream.Shed, upstream.OK}, caller.OutcomeAnswered, 1),
		Entry("not sent", []upstream.Class{upstream.NotSent}, caller.OutcomeNotRun, 0),
		Entry("shed by every upstream", []upstream.Class{upstream.Shed, upstream.Shed}, caller.OutcomeNotRun, 0),
		Entry("connection lost", []upstream.Class{upstream.Lost}, caller.OutcomeUnknown, 1),
		Entry("shed, then timed out", []upstream.Class{upstream.Shed, upstream.TimedOut}, caller.OutcomeUnknown, 1),
		Entry("invalid reply", []upstream.Class{upstream.InvalidReply}, caller.OutcomeUnknown, 1),
		Entry("upstream error", []upstream.Class{upstream.Failed}, caller.OutcomeUnknown, 1),
	)

	// If the request were cancelled with its caller, a resend could not learn its outcome.
	It("finishes and is recorded if its caller disconnects", func() {
		ctx, disconnect := context.WithCancel(context.Background())
		up := &fakeUpstream{classes: []upstream.Class{upstream.OK}, onAttempt: disconnect}
		r := single.New(single.Options{Upstream: up, Claims: newClaims(), Poison: &fakePoison{limit: 2}})
		q := request(false)
		Expect(r.Run(ctx, q).Kind).To(Equal(caller.OutcomeAnswered))
		Expect(r.Run(context.Background(), q).Replayed).To(BeTrue())
	})

	// The recorded outcome belongs to another request and must not be replayed.
	It("is rejected if its key was used with another body", func() {
		r := single.New(single.Options{Upstream: &fakeUpstream{classes: []upstream.Class{upstream.OK}}, Claims: newClaims(), Poison: &fakePoison{limit: 2}})
		q := request(false)
		r.Run(context.Background(), q)
		q.Fingerprint = "other"
		o := r.Run(context.Background(), q)
		Expect(o.Kind).To(Equal(caller.OutcomeRejected))
		Expect(o.Reason).To(Equal(outcome.KeyReused))
	})
})

var _ = Describe("an idempotent request", func() {
	// A request that crashes upstreams would crash another one with each retry.
	It("is retried at most once if its connections are lost", func() {
		up := &fakeUpstream{classes: []upstream.Class{upstream.Lost, upstream.Lost, upstream.Lost, upstream.OK}}
		r := single.New(single.Options{Upstream: up, Claims: newClaims(), Poison: &fakePoison{limit: 2}})
		o := r.Run(context.Background(), request(true))
		Expect(o.Kind).To(Equal(caller.OutcomeUnknown))
		Expect(up.mayHaveRun).To(Equal(2))
		Expect(r.Run(context.Background(), request(true)).Reason).To(Equal(outcome.CrashSuspected))
		Expect(up.mayHaveRun).To(Equal(2))
	})

	// The last attempt was shed, but an earlier one may have run.
	It("is not reported as not_run if one of its attempts may have run", func() {
		up := &fakeUpstream{classes: []upstream.Class{upstream.Failed, upstream.Shed}}
		r := single.New(single.Options{Upstream: up, Claims: newClaims(), Poison: &fakePoison{limit: 2}})
		Expect(r.Run(context.Background(), request(true)).Kind).To(Equal(caller.OutcomeUnknown))
	})
})

func (f *fakeUpstream) PickPassThrough(w *manifest.Workload, _ string, exclude []string) (gather.Ticket, time.Duration, error) {
	t, err := f.Pick(w, "", exclude, false)
	return t, 0, err
}
