package forward

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/internal/poison"
	policy "github.com/sardinespindle/sardinespindle/internal/policy/poison"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
)

// fixedPoison has the same verdict on each request, and records replies.
type fixedPoison struct {
	verdict policy.Verdict
	replied []poison.Request
}

func (p *fixedPoison) Check(string) (policy.Verdict, time.Duration) {
	return p.verdict, 7 * time.Second
}
func (*fixedPoison) Admit(poison.Request) poison.Admission { return poison.Admission{} }
func (p *fixedPoison) RecordReply(q poison.Request)        { p.replied = append(p.replied, q) }

// Each VM that ran a part of a search judged that part alone, and refused it alone.
var _ = Describe("A wide search that may end upstreams", func() {
	ask := func(verdict policy.Verdict) (*fixedPoison, *fakePeers, outcome.Outcome) {
		p := &fixedPoison{verdict: verdict}
		s, q, others, _ := newWideSearch(p, func() bool { return false })
		q.shards = q.route.Shards
		return p, others, s.runOrDelegate(context.Background(), q, &upstream.PassThroughRequest{})
	}

	It("is refused at once where it came in, if it is refused at all", func() {
		_, others, o := ask(policy.Refuse)
		Expect(o.Kind).To(Equal(caller.OutcomeNotRun))
		Expect(o.Reason).To(Equal(outcome.CrashSuspected))
		Expect(o.RetryAfter).To(Equal(7 * time.Second))
		Expect(others.delegated).To(BeEmpty())
	})

	It("is run by one VM if it is suspected", func() {
		_, others, o := ask(policy.Ask)
		Expect(o.Kind).To(Equal(caller.OutcomeAnswered))
		Expect(others.delegated).To(HaveLen(1))
		Expect(others.delegated[0].Shards).To(HaveLen(90))
	})

	It("is cleared by the replies to any of its parts", func() {
		p, others, _ := ask(policy.Allow)
		Expect(others.delegated).To(HaveLen(3))
		Expect(p.replied).To(HaveLen(1))
		Expect(p.replied[0].ID).To(Equal("id"))
	})
})
