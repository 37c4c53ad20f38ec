package claims

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/clock"
	"github.com/sardinespindle/sardinespindle/internal/mechanism"
	"github.com/sardinespindle/sardinespindle/internal/policy/once"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
	"github.com/sardinespindle/sardinespindle/schema/gen/peer"
	"github.com/sardinespindle/sardinespindle/schema/gen/settings"
)

func TestClaims(t *testing.T) { testkit.Run(t, "claims") }

var _ = Describe("claims", func() {
	var u *upstream
	BeforeEach(func() { u = &upstream{runs: map[string]int{}} })

	// Attempts that split the votes among them must still end with one winner.
	It("let one of several concurrent attempts run and give its outcome to the others", func() {
		f := newFleet(7)
		f.delay = 2 * time.Millisecond
		for range 20 {
			key := newKey()
			var group sync.WaitGroup
			for i := range 7 {
				group.Go(func() {
					defer GinkgoRecover()
					d := runOnce(f.node(i), u, key, 5*time.Second)
					Expect(d.Verdict).To(BeElementOf(Won, Recorded), d.Detail)
					Expect(d.Outcome).To(Equal(`{"run":1}`))
				})
			}
			group.Wait()
		}
	})

	// A resend can reach any VM, also one that did not see the claim.
	It("replay an outcome on a VM without a quorum and on a VM started after the key was born", func() {
		f := newFleet(7)
		key := newKey()
		Expect(runOnce(f.node(0), u, key, time.Second).Verdict).To(Equal(Won))
		// Record returns once a quorum has stored the outcome; the other VMs receive it later.
		Eventually(func() peer.VoteVerdict { return f.vote(6, key) }).Should(Equal(peer.VoteVerdictRecorded))
		f.setPartitions(0, 1, 2, 3, 4, 5, 6)
		Expect(runOnce(f.node(6), u, key, time.Second).Verdict).To(Equal(Recorded))
		f.setPartitions(0, 0, 0, 0, 0, 0, 0)
		f.startVM("vm3", time.Now())
		Expect(runOnce(f.node(3), u, key, time.Second).Outcome).To(Equal(`{"run":1}`))
	})

	// Both partitions granting a key would run its request twice.
	It("are won on new keys only in the larger partition, and lost in the smaller one within one round", func() {
		f := newFleet(7)
		f.setPartitions(0, 0, 0, 0, 0, 1, 1)
		key := newKey()
		start := time.Now()
		small := runOnce(f.node(6), u, key, 5*time.Second)
		Expect(time.Since(start)).To(BeNumerically("<", roundTimeout))
		Expect(small.Verdict).To(Equal(NoQuorum))
		Expect(small.NotRun(true)).To(BeTrue())
		Expect(small.NotRun(false)).To(BeFalse(), "without the first mark, an earlier attempt may run on another VM")
		Expect(runOnce(f.node(0), u, key, time.Second).Verdict).To(Equal(Won))
		Expect(runOnce(f.node(6), u, key, time.Second).NotRun(false)).To(BeFalse())
	})

	// The unreachable VM may still run the request, or may have run it.
	It("are not granted to another VM if the VM that won them is unreachable or restarts", func() {
		f := newFleet(7)
		key := newKey()
		Expect(f.node(0).Claim(withTimeout(time.Second), request(key)).Verdict).To(Equal(Won))
		f.setPartitions(9, 0, 0, 0, 0, 0, 0)
		d := runOnce(f.node(1), u, key, 5*time.Second)
		Expect(d.Verdict).To(Equal(InProgress))
		Expect(d.NotRun(true)).To(BeFalse(), "the other claim contradicts the first mark")
		f.startVM("vm0", time.Now())
		f.setPartitions(0, 0, 0, 0, 0, 0, 0)
		Expect(runOnce(f.node(1), u, key, 3*time.Second).Verdict).To(Equal(InProgress))
		Expect(u.runs[key]).To(BeZero())
	})

	// Guards that restarted have lost their votes. If they voted on the key again, its
	// request could run twice.
	It("are not won on a key whose guards all restarted after its birth", func() {
		f := newFleet(7)
		key := newKey()
		Expect(f.node(0).Claim(withTimeout(time.Second), request(key)).Verdict).To(Equal(Won))
		for i := range 7 {
			f.startVM(fmt.Sprint("vm", i), time.Now())
		}
		d := runOnce(f.node(1), u, key, time.Second)
		Expect(d.Verdict).To(Equal(NoQuorum))
		Expect(d.NotRun(false)).To(BeFalse())
	})

	// A copy of a claim that arrives after the release must not take the vote again.
	It("can be won by another attempt after a release, even if a late copy of the claim arrives", func() {
		f := newFleet(3)
		key := newKey()
		d := f.node(0).Claim(withTimeout(time.Second), request(key))
		Expect(d.Verdict).To(Equal(Won))
		born, _ := once.Birth(key)
		late := &peer.Message{Claim: &peer.Claim{
			Key: key, Fingerprint: "f", Claimant: d.Hold.claimant, BornMs: int(born.UnixMilli()), WindowMs: 60000, Generation: 1,
		}}
		d.Hold.Release(context.Background())
		Eventually(func() Verdict {
			Expect(f.node(1).Handle(context.Background(), "vm0", late).Vote.Verdict).NotTo(Equal(peer.VoteVerdictRecorded))
			return runOnce(f.node(2), u, key, time.Second).Verdict
		}).Should(Equal(Won))
	})

	// A process that was paused past the deadline must not write when it resumes.
	It("do not permit a write after the deadline or after a release", func() {
		f := newFleet(3)
		d := f.node(0).Claim(withTimeout(time.Second), request(newKey()))
		Expect(d.Hold.StillValid(clock.Boot())).To(BeTrue())
		Expect(d.Hold.StillValid(clock.Boot() + 2*time.Second)).To(BeFalse())
		d.Hold.Release(context.Background())
		Expect(d.Hold.StillValid(clock.Boot())).To(BeFalse())
	})

	// Each of these keys may belong to a request that ran, or be claimed under outdated rules.
	It("are refused for another body, an old key, a future key and an older manifest", func() {
		f := newFleet(3)
		key := newKey()
		runOnce(f.node(0), u, key, time.Second)
		r := request(key)
		r.Fingerprint = "g"
		Expect(f.node(1).Claim(withTimeout(time.Second), r).Verdict).To(Equal(Mismatch))
		r = request("till-1/0193a000-0000-7000-8000-000000000000")
		Expect(f.node(1).Claim(withTimeout(time.Second), r).Verdict).To(Equal(Expired))
		r = request("till-1/fff3a000-0000-7000-8000-000000000000")
		Expect(f.node(1).Claim(withTimeout(time.Second), r).Verdict).To(Equal(Future))
		f.node(0).o.Generation = func() int { return 2 }
		d := f.node(1).Claim(withTimeout(200*time.Millisecond), request(newKey()))
		Expect(d.Verdict).To(Equal(NoQuorum))
	})

	// A key whose outcome can't be stored must still not run again.
	It("report an outcome as recorded and empty if it is too large to store", func() {
		f := newFleet(3)
		key := newKey()
		d := f.node(0).Claim(withTimeout(time.Second), request(key))
		Expect(d.Hold.Record(context.Background(), strings.Repeat("x", once.MaxOutcome+1))).To(Succeed())
		d = runOnce(f.node(1), u, key, time.Second)
		Expect(d.Verdict).To(Equal(Recorded))
		Expect(d.Outcome).To(BeEmpty())
	})

	// An outcome that fewer guards hold than a quorum can be forgotten while another claim on
	// the key wins.
	It("do not count a full guard of the claimant among those that stored an outcome", func() {
		f := newFleet(5)
		for range numShards * once.DefaultParams().MaxKeys * 5 / 4 {
			r := peer.Release{Key: newKey(), Claimant: "vm9/x/1"}
			f.node(0).Handle(context.Background(), "vm9", &peer.Message{Release: &r})
		}
		d := f.node(0).Claim(withTimeout(time.Second), request(newKey()))
		Expect(d.Verdict).To(Equal(Won))
		f.mu.Lock()
		f.partition["vm4"] = 1
		f.mu.Unlock()
		Expect(d.Hold.Record(context.Background(), "done")).To(MatchError(ErrQuorumNotStored))
	})

	// A peer that sends many keys or garbage must not exhaust or crash a guard.
	It("keep a bounded number of keys and do not reply to malformed messages", func() {
		f := newFleet(1)
		p := once.DefaultParams()
		for range numShards * p.MaxKeys * 5 / 4 {
			r := peer.Release{Key: newKey(), Claimant: "vm9/x/1"}
			f.node(0).Handle(context.Background(), "vm9", &peer.Message{Release: &r})
		}
		Expect(f.node(0).countKeys()).To(BeNumerically("<=", numShards*p.MaxKeys))
		for _, m := range []*peer.Message{
			{}, {Claim: &peer.Claim{}}, {Claim: &peer.Claim{Key: newKey(), Claimant: "x", Fingerprint: "f", WindowMs: 1}},
			{Release: &peer.Release{Key: "x"}}, {Record: &peer.Record{Key: newKey(), Claimant: "x"}},
		} {
			Expect(f.node(0).Handle(context.Background(), "vm9", m)).To(BeNil())
		}
	})

	// Late claims, lost votes and lost releases must not add up to two quorums for a key.
	It("let no request run twice while calls are lost or late, the fleet is partitioned and VMs restart", func() {
		chaos(newFleet(7), u)
		ran := 0
		for key, n := range u.runs {
			Expect(n).To(Equal(1), key)
			ran++
		}
		Expect(ran).To(BeNumerically(">", 20))
	})

	// Shows that the faults above would cause double runs without the votes.
	It("let requests run twice if the mechanism is turned off", func() {
		f := newFleet(0)
		f.mechanisms = mechanism.New(&settings.Experiment{Disable: []settings.ExperimentDisableElem{settings.ExperimentDisableElemClaims}})
		for i := range 7 {
			f.names = append(f.names, Member{fmt.Sprint("vm", i)})
			f.startVM(f.names[i].Name, time.Now().Add(-time.Minute))
		}
		f.admit()
		chaos(f, u)
		twice := 0
		for _, n := range u.runs {
			twice += max(0, n-1)
		}
		Expect(twice).To(BeNumerically(">", 0))
	})
})

// chaos sends 120 requests through two VMs each while calls are lost or delayed, the fleet
// is partitioned and VMs restart.
func chaos(f *fleet, u *upstream) {
	rng := rand.New(rand.NewPCG(uint64(testkit.Seed()), 1))
	f.delay, f.loss = 3*time.Millisecond, 0.05
	var group sync.WaitGroup
	for i := range 120 {
		switch i % 40 {
		case 5, 25:
			f.setPartitions(rng.IntN(2), 0, rng.IntN(2), 0, rng.IntN(2), 0, 0)
		case 10, 30:
			f.setPartitions(0, 0, 0, 0, 0, 0, 0)
		case 39: // not admitted again in this test, so it no longer votes
			f.startVM(f.names[rng.IntN(len(f.names))].Name, time.Now())
		}
		key, first, second := newKey(), rng.IntN(len(f.names)), rng.IntN(len(f.names))
		group.Go(func() { runOnce(f.node(first), u, key, 300*time.Millisecond) })
		group.Go(func() { runOnce(f.node(second), u, key, 300*time.Millisecond) })
		time.Sleep(5 * time.Millisecond)
	}
	group.Wait()
}
