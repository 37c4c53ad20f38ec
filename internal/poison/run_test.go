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
	"github.com/sardinespindle/sardinespindle/internal/upstream"
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

// modelRun is a run of a request on a VM.
type modelRun struct {
	poison.Admission
	vm       *modelVM
	id       string
	attempts []upstream.WatchedAttempt
}

// admit has a VM decide on a request.
func (v *modelVM) admit(fingerprint, id string, search bool) *modelRun {
	return &modelRun{Admission: v.Admit(poison.Request{Fingerprint: fingerprint, ID: id, Search: search, Slow: slow}), vm: v, id: id}
}

// send sends an attempt to another upstream.
func (r *modelRun) send(shard string) upstream.WatchedAttempt {
	u := fakeUpstream(fmt.Sprint(r.id, "-", len(r.attempts)))
	r.attempts = append(r.attempts, r.Run.Sending(u, shard, r.vm.fleet.clock()))
	return r.attempts[len(r.attempts)-1]
}

// ends ends an attempt with a fate.
func (r *modelRun) ends(a upstream.WatchedAttempt, f policy.Fate) { a.Sent(f, r.vm.fleet.clock()) }

func (r *modelRun) end() { r.Run.End(context.Background()) }

// start starts a run with n attempts.
func (v *modelVM) start(fingerprint, id string, n int) *modelRun {
	r := v.admit(fingerprint, id, false)
	for range n {
		r.send("")
	}
	return r
}

// run runs a request on a VM. Its attempts, sent at once, end after a while with the given fates.
func (v *modelVM) run(fingerprint, id string, after time.Duration, fates ...policy.Fate) *modelRun {
	r := v.admit(fingerprint, id, false)
	if r.Refused {
		return r
	}
	for range fates {
		r.send("")
	}
	v.fleet.now.Add(int64(after))
	for i, fate := range fates {
		r.ends(r.attempts[i], fate)
	}
	r.end()
	return r
}

var _ = Describe("a run of a request", func() {
	It("counts upstreams that end at the same time as one loss, those that end in turn as more", func() {
		f := newFleet(3)
		f.vms[0].run(fp, "r1", 0, policy.Ended, policy.Ended, policy.Ended)
		Expect(f.vms[1].suspects(fp)).To(BeTrue())
		r := f.vms[1].admit("other", "r2", false)
		for range policy.SuspicionLimit {
			f.now.Add(int64(time.Millisecond))
			a := r.send("")
			f.now.Add(int64(time.Millisecond))
			r.ends(a, policy.Ended)
		}
		r.end()
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
			r := f.vms[i].start(fp, fmt.Sprint("r", i), 3)
			f.now.Add(int64(time.Second))
			r.end()
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

	// On a fleet of 116 VMs, a quiet day had 27 slow single requests, each told to 63 guards.
	It("tells the guards of many silent upstreams at once, and of few by gossip", func() {
		f := newFleet(3)
		f.vms[0].run(fp, "r1", time.Second, policy.Unknown, policy.Unknown, policy.Unknown)
		Expect(f.vms[1].suspects(fp)).To(BeTrue())
		f.vms[0].run("few", "r2", time.Second, policy.Unknown)
		Expect(f.vms[0].spreads.Load()).To(BeEquivalentTo(1))
		f.gossip()
		Expect(f.vms[1].suspects("few")).To(BeTrue())
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
		r := f.vms[1].start(fp, "r1", 1)
		f.vms[0].run(fp, "r2", 0, policy.Ended, policy.Ended)
		r.ends(r.attempts[0], policy.Ran)
		r.end()
		f.gossip()
		Expect(f.vms[2].suspects(fp)).To(BeTrue())
		Expect(f.vms[2].run(fp, "r3", 0, policy.Ran).Trial).To(BeTrue())
		f.gossip()
		Expect(f.vms[0].suspects(fp)).To(BeFalse())
	})

	It("counts upstreams that are found to have ended after it", func() {
		f := newFleet(3)
		r := f.vms[0].start(fp, "r1", 3)
		r.end()
		Expect(f.vms[1].suspects(fp)).To(BeFalse())
		r.ends(r.attempts[0], policy.Ended)
		f.gossip()
		Expect(f.vms[1].suspects(fp)).To(BeTrue())
	})

	It("counts an unanswered trial, however short", func() {
		f := newFleet(3)
		f.vms[0].run(fp, "r1", 0, policy.Ended)
		r := f.vms[1].start(fp, "r2", 1)
		Expect(r.Trial).To(BeTrue())
		r.end()
		Expect(f.vms[2].run(fp, "r3", 0).Refused).To(BeTrue())
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
		r := f.vms[0].start(fp, "r1", 3)
		f.now.Add(int64(3 * time.Second))
		Eventually(func() bool { f.gossip(); return f.vms[1].suspects(fp) }, 5*time.Second, 50*time.Millisecond).Should(BeTrue())
		r.ends(r.attempts[0], policy.Ran)
		r.end()
		f.gossip()
		Expect(f.vms[1].suspects(fp)).To(BeFalse(), "one of them has replied after all")
	})
})

var _ = Describe("a run of a search of which some shards reply", func() {
	// search runs a search on a VM: two upstreams of each shard of ends end in turn, and one of each of replies replies.
	search := func(v *modelVM, id string, ends, replies []string) *modelRun {
		r := v.admit(fp, id, true)
		for _, shard := range replies {
			r.ends(r.send(shard), policy.Ran)
		}
		for range 2 {
			for _, shard := range ends {
				v.fleet.now.Add(int64(time.Millisecond))
				a := r.send(shard)
				v.fleet.now.Add(int64(time.Millisecond))
				r.ends(a, policy.Ended)
			}
		}
		r.end()
		v.fleet.gossip()
		return r
	}
	ended, replied := []string{"s0", "s1"}, []string{"s2", "s3"}

	// It was answered in part, so nothing was recorded.
	It("suspects the shards whose upstreams end, and is not refused", func() {
		f := newFleet(3)
		Expect(search(f.vms[0], "r1", ended, replied).Suspects).To(BeEmpty())
		r := search(f.vms[1], "r2", nil, replied)
		Expect(r.Refused || r.Trial || r.TrySuspects).To(BeFalse())
		Expect(r.Suspects).To(Equal(ended))
		f.now.Add(int64(11 * time.Second))
		Expect(search(f.vms[2], "r3", nil, append(replied, "s0")).TrySuspects).To(BeTrue())
		Expect(search(f.vms[0], "r4", nil, replied).Suspects).To(BeEmpty(), "one of them has replied")
	})

	It("tries one of its suspects at one VM at a time, and pauses for longer if that ends another upstream", func() {
		f := newFleet(3)
		search(f.vms[0], "r1", ended, replied)
		f.now.Add(int64(11 * time.Second))
		r := f.vms[1].admit(fp, "r2", true)
		Expect(r.TrySuspects).To(BeTrue())
		Expect(search(f.vms[2], "r3", nil, replied).TrySuspects).To(BeFalse())
		r.send("s0")
		r.ends(r.send("s2"), policy.Ran)
		r.end()
		f.gossip()
		f.now.Add(int64(30 * time.Second))
		Expect(search(f.vms[2], "r4", nil, replied).TrySuspects).To(BeFalse())
		f.now.Add(int64(31 * time.Second))
		Expect(search(f.vms[2], "r5", nil, replied).TrySuspects).To(BeTrue())
	})

	It("suspects shards whose upstreams turn out to have ended after the search was answered", func() {
		f := newFleet(3)
		r := f.vms[0].admit(fp, "r1", true)
		silent := r.send("s0")
		r.ends(r.send("s1"), policy.Ran)
		r.end()
		r.ends(silent, policy.Unknown)
		f.gossip()
		Expect(search(f.vms[1], "r2", nil, replied).Suspects).To(BeEmpty())
		silent.Gone(f.clock())
		f.gossip()
		Expect(search(f.vms[1], "r3", nil, replied).Suspects).To(Equal([]string{"s0"}))
	})

	// Reports of upstreams that ended at the same time replaced each other.
	It("suspects all shards whose upstreams are found to have ended at the same time", func() {
		for range 20 {
			f := newFleet(2)
			r := f.vms[0].admit(fp, "r1", true)
			r.ends(r.send("other"), policy.Ran)
			for i := range 8 {
				r.send(fmt.Sprint("s", i))
			}
			r.end()
			var found sync.WaitGroup
			for _, a := range r.attempts[1:] {
				found.Go(func() { a.Gone(f.clock()) })
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
