package poison_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/poison"
	policy "github.com/sardinespindle/sardinespindle/internal/policy/poison"
)

const slow = 80 * time.Millisecond

// fakeUpstream has not replied to any request.
type fakeUpstream string

func (u fakeUpstream) Address() string        { return string(u) }
func (fakeUpstream) RepliedAt() time.Duration { return 0 }
func (fakeUpstream) AskedAt() time.Duration   { return 0 }

// suspects reports whether a VM suspects a fingerprint, and would run it on trial.
func (v *modelVM) suspects(fingerprint string) bool {
	verdict, _ := v.Check(fingerprint)
	return verdict == policy.Ask
}

// start starts a run of a request on a VM, with n attempts, each at another upstream.
func (v *modelVM) start(fingerprint, id string, n int) poison.Admission {
	a := v.Admit(poison.Request{Fingerprint: fingerprint, ID: id, Slow: slow})
	for i := range n {
		a.Run.Sending(fakeUpstream(fmt.Sprint(id, "-upstream-", i)))
	}
	return a
}

// run runs a request on a VM. Its attempts end after a while with the given fates, each at another upstream.
func (v *modelVM) run(fingerprint, id string, after time.Duration, fates ...policy.Fate) poison.Admission {
	a := v.start(fingerprint, id, len(fates))
	if a.Refused {
		return a
	}
	v.fleet.now.Add(int64(after))
	for i, fate := range fates {
		a.Run.Sent(fakeUpstream(fmt.Sprint(id, "-upstream-", i)), fate)
	}
	a.Run.End(context.Background())
	return a
}

var _ = Describe("a run of a request", func() {
	It("counts upstreams that end at the same time as one loss, those that end in turn as more", func() {
		f := newFleet(3)
		f.vms[0].run(fp, "r1", 0, policy.Ended, policy.Ended, policy.Ended)
		Expect(f.vms[1].suspects(fp)).To(BeTrue())
		a := f.vms[1].start("other", "r2", 0)
		for i := range policy.SuspicionLimit {
			f.now.Add(int64(time.Millisecond))
			u := fakeUpstream(fmt.Sprint(i))
			a.Run.Sending(u)
			f.now.Add(int64(time.Millisecond))
			a.Run.Sent(u, policy.Ended)
		}
		a.Run.End(context.Background())
		Expect(f.vms[2].run("other", "r3", 0).Refused).To(BeTrue())
	})

	It("counts none if another upstream ran the request", func() {
		f := newFleet(3)
		f.vms[0].run(fp, "r1", 0, policy.Ended, policy.Ran, policy.Ended)
		f.vms[0].run(fp, "r2", time.Second, policy.Unknown, policy.Ran, policy.Unknown, policy.Unknown)
		Expect(f.vms[1].run(fp, "r3", 0).Refused).To(BeFalse())
		Expect(f.vms[0].spreads.Load()).To(BeZero())
	})

	// Servers without power close no connection, so nothing was recorded of them.
	It("counts upstreams that fell silent under it", func() {
		f := newFleet(3)
		for i := range policy.SuspicionLimit {
			f.vms[i].run(fp, fmt.Sprint("r", i), time.Second, policy.Unknown, policy.Unknown, policy.Unknown)
		}
		Expect(f.vms[2].run(fp, "r", 0).Refused).To(BeTrue())
	})

	It("counts upstreams that are silent at its end, with attempts under way", func() {
		f := newFleet(3)
		for i := range policy.SuspicionLimit {
			a := f.vms[i].start(fp, fmt.Sprint("r", i), 3)
			f.now.Add(int64(time.Second))
			a.Run.End(context.Background())
		}
		Expect(f.vms[2].run(fp, "r", 0).Refused).To(BeTrue())
	})

	It("counts no silent upstreams on a VM that hears of no other", func() {
		f := newFleet(3)
		f.vms[0].deaf.Store(true)
		for i := range policy.SuspicionLimit {
			f.vms[0].run(fp, fmt.Sprint("r", i), time.Second, policy.Unknown, policy.Unknown, policy.Unknown)
		}
		Expect(f.vms[1].suspects(fp)).To(BeFalse())
	})

	// A request may be harmless until the data that it asks for changes. Losses within 10 s of an answer did not count.
	It("counts upstreams that ended shortly after the request was answered", func() {
		f := newFleet(3)
		f.vms[0].run(fp, "r1", 0, policy.Ran)
		f.vms[0].run(fp, "r2", 0, policy.Ended, policy.Ended)
		Expect(f.vms[1].suspects(fp)).To(BeTrue())
	})

	It("is not cleared by a run that began before", func() {
		f := newFleet(3)
		a := f.vms[1].start(fp, "r1", 1)
		f.vms[0].run(fp, "r2", 0, policy.Ended, policy.Ended)
		a.Run.Sent(fakeUpstream("r1-upstream-0"), policy.Ran)
		a.Run.End(context.Background())
		f.gossip()
		Expect(f.vms[2].suspects(fp)).To(BeTrue())
		Expect(f.vms[2].run(fp, "r3", 0, policy.Ran).Trial).To(BeTrue())
		f.gossip()
		Expect(f.vms[0].suspects(fp)).To(BeFalse())
	})

	// Of a search that is divided, a VM may run a part of which no upstream replies: a zone that lost power.
	It("is cleared by replies to other parts of the request", func() {
		f := newFleet(3)
		f.vms[0].run(fp, "r1", time.Second, policy.Unknown, policy.Unknown, policy.Unknown)
		Expect(f.vms[1].suspects(fp)).To(BeTrue())
		f.vms[1].RecordReply(poison.Request{Fingerprint: fp, ID: "r2"})
		Expect(f.vms[1].suspects(fp)).To(BeTrue())
		f.vms[1].RecordReply(poison.Request{Fingerprint: fp, ID: "r1"})
		f.gossip()
		Expect(f.vms[2].suspects(fp)).To(BeFalse())
	})

	// A caller may wait for its answer for many seconds, and send the request again through another VM before.
	It("tells of silent upstreams before its end if it lasts for long", func() {
		f := newFleet(3)
		a := f.vms[0].start(fp, "r1", 3)
		f.now.Add(int64(3 * time.Second))
		Eventually(func() bool { f.gossip(); return f.vms[1].suspects(fp) }, 5*time.Second, 50*time.Millisecond).Should(BeTrue())
		a.Run.Sent(fakeUpstream("r1-upstream-0"), policy.Ran)
		a.Run.End(context.Background())
		f.gossip()
		Expect(f.vms[1].suspects(fp)).To(BeFalse(), "one of them has replied after all")
	})
})
