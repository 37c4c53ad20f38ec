package poison_test

import (
	"context"
	"fmt"
	"sync"
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
		a.Run.Sending(fakeUpstream(fmt.Sprint(id, "-upstream-", i)), "")
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
			a.Run.Sending(u, "")
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

	It("counts upstreams that are found to have ended after it", func() {
		f := newFleet(3)
		a := f.vms[0].start(fp, "r1", 3)
		a.Run.End(context.Background())
		Expect(f.vms[1].suspects(fp)).To(BeFalse())
		a.Run.Sent(fakeUpstream("r1-upstream-0"), policy.Ended)
		f.gossip()
		Expect(f.vms[1].suspects(fp)).To(BeTrue())
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

var _ = Describe("a run of a search of which some shards reply", func() {
	// search runs a search on a VM: two upstreams of each shard of ends end in turn, and one of each of replies replies.
	search := func(v *modelVM, id string, ends, replies []string) poison.Admission {
		a := v.Admit(poison.Request{Fingerprint: fp, ID: id, Slow: slow, Search: true})
		for _, shard := range replies {
			u := fakeUpstream(id + shard)
			a.Run.Sending(u, shard)
			a.Run.Sent(u, policy.Ran)
		}
		for _, replica := range []string{"-a", "-b"} {
			for _, shard := range ends {
				u := fakeUpstream(id + shard + replica)
				v.fleet.now.Add(int64(time.Millisecond))
				a.Run.Sending(u, shard)
				v.fleet.now.Add(int64(time.Millisecond))
				a.Run.Sent(u, policy.Ended)
			}
		}
		a.Run.End(context.Background())
		v.fleet.gossip()
		return a
	}
	ended, replied := []string{"s0", "s1"}, []string{"s2", "s3"}

	// It was answered in part, so nothing was recorded.
	It("suspects the shards whose upstreams end, and is not refused", func() {
		f := newFleet(3)
		Expect(search(f.vms[0], "r1", ended, replied).Suspects).To(BeEmpty())
		a := search(f.vms[1], "r2", nil, replied)
		Expect(a.Refused || a.Trial || a.TrySuspects).To(BeFalse())
		Expect(a.Suspects).To(Equal(ended))
		f.now.Add(int64(11 * time.Second))
		Expect(search(f.vms[2], "r3", nil, append(replied, "s0")).TrySuspects).To(BeTrue())
		Expect(search(f.vms[0], "r4", nil, replied).Suspects).To(BeEmpty(), "one of them has replied")
	})

	It("tries one of its suspects at one VM at a time, and pauses for longer if that ends another upstream", func() {
		f := newFleet(3)
		search(f.vms[0], "r1", ended, replied)
		f.now.Add(int64(11 * time.Second))
		a := f.vms[1].Admit(poison.Request{Fingerprint: fp, ID: "r2", Slow: slow, Search: true})
		Expect(a.TrySuspects).To(BeTrue())
		Expect(search(f.vms[2], "r3", nil, replied).TrySuspects).To(BeFalse())
		a.Run.Sending(fakeUpstream("r2-s0"), "s0")
		a.Run.Sending(fakeUpstream("r2-s2"), "s2")
		a.Run.Sent(fakeUpstream("r2-s2"), policy.Ran)
		a.Run.End(context.Background())
		f.gossip()
		f.now.Add(int64(30 * time.Second))
		Expect(search(f.vms[2], "r4", nil, replied).TrySuspects).To(BeFalse())
		f.now.Add(int64(31 * time.Second))
		Expect(search(f.vms[2], "r5", nil, replied).TrySuspects).To(BeTrue())
	})

	It("suspects shards whose upstreams turn out to have ended after the search was answered", func() {
		f := newFleet(3)
		a := f.vms[0].Admit(poison.Request{Fingerprint: fp, ID: "r1", Slow: slow, Search: true})
		silent := fakeUpstream("silent")
		a.Run.Sending(silent, "s0")
		a.Run.Sending(fakeUpstream("other"), "s1")
		a.Run.Sent(fakeUpstream("other"), policy.Ran)
		a.Run.End(context.Background())
		a.Run.Sent(silent, policy.Unknown)
		f.gossip()
		Expect(search(f.vms[1], "r2", nil, replied).Suspects).To(BeEmpty())
		a.Run.Gone(silent)
		f.gossip()
		Expect(search(f.vms[1], "r3", nil, replied).Suspects).To(Equal([]string{"s0"}))
	})

	// Reports of upstreams that ended at the same time replaced each other.
	It("suspects all shards whose upstreams are found to have ended at the same time", func() {
		for range 20 {
			f := newFleet(2)
			a := f.vms[0].Admit(poison.Request{Fingerprint: fp, ID: "r1", Slow: slow, Search: true})
			a.Run.Sending(fakeUpstream("other"), "other")
			a.Run.Sent(fakeUpstream("other"), policy.Ran)
			for i := range 8 {
				a.Run.Sending(fakeUpstream(fmt.Sprint(i)), fmt.Sprint("s", i))
			}
			a.Run.End(context.Background())
			var found sync.WaitGroup
			for i := range 8 {
				found.Go(func() { a.Run.Gone(fakeUpstream(fmt.Sprint(i))) })
			}
			found.Wait()
			f.gossip()
			Expect(search(f.vms[1], "r2", nil, replied).Suspects).To(HaveLen(8))
		}
	})

	It("suspects no shard of which another upstream replied", func() {
		f := newFleet(3)
		search(f.vms[0], "r1", ended, append(replied, ended...))
		Expect(search(f.vms[1], "r2", nil, replied).Suspects).To(BeEmpty())
	})
})
