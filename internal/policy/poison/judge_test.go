package poison_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/policy/poison"
)

const slow = 80 * time.Millisecond

// attempts returns attempts that were sent one after the other, each once the fate of the one before was known.
func attempts(fates ...poison.Fate) (out []poison.Attempt) {
	for i, f := range fates {
		sent := time.Hour + time.Duration(2*i)*time.Millisecond
		out = append(out, poison.Attempt{Fate: f, Sent: sent, Until: sent + time.Millisecond})
	}
	return out
}

// atOnce returns attempts that were sent at the same time.
func atOnce(fates ...poison.Fate) (out []poison.Attempt) {
	out = attempts(fates...)
	for i := range out {
		out[i].Sent = time.Hour
	}
	return out
}

// unanswered returns n attempts that waited for so long at upstreams that had not replied to any request for a while.
func unanswered(n int, waited, sinceReply time.Duration) (out []poison.Attempt) {
	for range n {
		out = append(out, poison.Attempt{Sent: time.Hour, Until: time.Hour + waited, RepliedAt: time.Hour + waited - sinceReply})
	}
	return out
}

// Load pattern: a search of 30 shards that ends each server, and one that runs while some servers end by themselves.
var _ = Describe("Judge", func() {
	losses := func(attempts []poison.Attempt) int { return poison.Judge(attempts, slow).Losses(true) }

	It("counts each upstream that ended after another had, up to the limit, if none ran the request", func() {
		Expect(losses(attempts(poison.Ended, poison.Lives, poison.Unknown))).To(Equal(1))
		Expect(losses(attempts(poison.Ended, poison.Ended, poison.Ended))).To(Equal(poison.SuspicionLimit))
	})

	// Ordinary searches that run at upstreams that end under another request were refused.
	It("counts upstreams that end at the same time as one", func() {
		Expect(losses(atOnce(poison.Ended, poison.Ended, poison.Ended))).To(Equal(1))
		retried := append(atOnce(poison.Ended, poison.Ended), poison.Attempt{Fate: poison.Ended, Sent: 2 * time.Hour, Until: 2 * time.Hour})
		Expect(losses(retried)).To(Equal(2))
	})

	It("counts none if an upstream ran the request and replied", func() {
		Expect(poison.Judge(attempts(poison.Ended, poison.Ran, poison.Ended), slow)).To(Equal(poison.Evidence{Ran: true}))
		Expect(losses(append(unanswered(30, time.Second, time.Second), poison.Attempt{Fate: poison.Ran}))).To(BeZero())
	})

	It("counts none if no upstream ended", func() {
		Expect(losses(attempts(poison.Lives, poison.Unknown))).To(BeZero())
	})

	// An upstream that loses power closes no connection. Other requests may wait at it, too.
	It("counts upstreams that fell silent as one: several at once, or one after a longer time", func() {
		Expect(losses(unanswered(3, slow, slow))).To(Equal(1))
		Expect(losses(unanswered(2, slow, slow))).To(BeZero())
		Expect(losses(unanswered(2, 2*slow, 2*slow))).To(Equal(1))
		Expect(losses(append(unanswered(1, 2*slow, 2*slow), attempts(poison.Ended)...))).To(Equal(2))
		Expect(poison.Judge(append(unanswered(3, slow, slow), attempts(poison.Lives)...), slow).ManySilent).To(BeTrue())
		Expect(poison.Judge(unanswered(2, 2*slow, 2*slow), slow).ManySilent).To(BeFalse())
	})

	It("counts no upstream that was silent before", func() {
		dark := unanswered(30, time.Second, time.Hour)
		for i := range dark {
			dark[i].SilentBefore = slow
		}
		Expect(losses(dark)).To(BeZero())
		dark[0].Fate = poison.Ended
		Expect(losses(dark)).To(BeZero())
	})

	It("counts no upstream that is only slow: it replies to others meanwhile", func() {
		Expect(losses(unanswered(30, time.Second, 400*time.Millisecond))).To(BeZero())
	})

	It("counts one that replied to others at first, while the request waited for a slot", func() {
		Expect(losses(unanswered(30, time.Second, 600*time.Millisecond))).To(Equal(1))
	})

	// Load pattern: a caller that leaves after half of its objective.
	It("counts no silence if the caller leaves early", func() {
		Expect(losses(unanswered(30, slow/2, time.Hour))).To(BeZero())
	})

	// Load pattern: a VM that is cut off from its upstreams.
	It("counts no silence if the VM hears of no other upstream", func() {
		Expect(poison.Judge(unanswered(30, time.Second, time.Second), slow).Losses(false)).To(BeZero())
		Expect(poison.Judge(attempts(poison.Ended, poison.Unknown), slow).Losses(false)).To(Equal(1))
	})
})
