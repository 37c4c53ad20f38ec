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

var _ = Describe("Claims", func() {
	var u *upstream
	BeforeEach(func() { u = &upstream{runs: map[string]int{}} })

	It("lets one of many concurrent attempts run, and gives the others its outcome", func() {
		f := newFleet(7)
		f.delay = 2 * time.Millisecond
		for range 20 {
			key := newKey()
			var group sync.WaitGroup
			for i := range 7 {
				group.Go(func() {
					defer GinkgoRecover()
					d := order(f.node(i), u, key, 5*time.Second)
					Expect(d.Verdict).To(BeElementOf(Won, Recorded), d.Detail)
					Expect(d.Outcome).To(Equal(`{"run":1}`))
				})
			}
			group.Wait()
		}
	})

	It("replays an outcome through the VMs of the smaller side and through a VM younger than the key", func() {
		f := newFleet(7)
		key := newKey()
		Expect(order(f.node(0), u, key, time.Second).Verdict).To(Equal(Won))
		// The outcome is recorded once a quorum holds it; the others hear of it meanwhile.
		Eventually(func() peer.VoteVerdict { return f.vote(6, key) }).Should(Equal(peer.VoteVerdictRecorded))
		f.split(0, 1, 2, 3, 4, 5, 6)
		Expect(order(f.node(6), u, key, time.Second).Verdict).To(Equal(Recorded))
		f.split(0, 0, 0, 0, 0, 0, 0)
		f.start("vm3", time.Now())
		Expect(order(f.node(3), u, key, time.Second).Outcome).To(Equal(`{"run":1}`))
	})

	It("accepts new keys on the larger side of a cut only, and refuses at once", func() {
		f := newFleet(7)
		f.split(0, 0, 0, 0, 0, 1, 1)
		key := newKey()
		begin := time.Now()
		small := order(f.node(6), u, key, 5*time.Second)
		Expect(time.Since(begin)).To(BeNumerically("<", roundTime))
		Expect(small.Verdict).To(Equal(NoQuorum))
		Expect(small.NotRun(true)).To(BeTrue())
		Expect(small.NotRun(false)).To(BeFalse(), "an unmarked attempt may run elsewhere")
		Expect(order(f.node(0), u, key, time.Second).Verdict).To(Equal(Won))
		Expect(order(f.node(6), u, key, time.Second).NotRun(false)).To(BeFalse())
	})

	It("never passes on the claim of a dead VM, and says so at once", func() {
		f := newFleet(7)
		key := newKey()
		Expect(f.node(0).Claim(within(time.Second), request(key)).Verdict).To(Equal(Won))
		f.split(9, 0, 0, 0, 0, 0, 0)
		d := order(f.node(1), u, key, 5*time.Second)
		Expect(d.Verdict).To(Equal(InProgress))
		Expect(d.NotRun(true)).To(BeFalse(), "the mark is belied by the other claim")
		f.start("vm0", time.Now())
		f.split(0, 0, 0, 0, 0, 0, 0)
		Expect(order(f.node(1), u, key, 3*time.Second).Verdict).To(Equal(InProgress))
		Expect(u.runs[key]).To(BeZero())
	})

	It("refuses to run a key whose guards were all replaced", func() {
		f := newFleet(7)
		key := newKey()
		Expect(f.node(0).Claim(within(time.Second), request(key)).Verdict).To(Equal(Won))
		for i := range 7 {
			f.start(fmt.Sprint("vm", i), time.Now())
		}
		d := order(f.node(1), u, key, time.Second)
		Expect(d.Verdict).To(Equal(NoQuorum))
		Expect(d.NotRun(false)).To(BeFalse())
	})

	It("gives the votes back, also against a late copy of the claim", func() {
		f := newFleet(3)
		key := newKey()
		d := f.node(0).Claim(within(time.Second), request(key))
		Expect(d.Verdict).To(Equal(Won))
		born, _ := once.Birth(key)
		late := &peer.Message{Claim: &peer.Claim{
			Key: key, Fingerprint: "f", Claimant: d.Hold.claimant, BornMs: int(born.UnixMilli()), WindowMs: 60000, Generation: 1,
		}}
		d.Hold.Release(context.Background())
		Eventually(func() Verdict {
			Expect(f.node(1).Handle(context.Background(), "vm0", late).Vote.Verdict).NotTo(Equal(peer.VoteVerdictRecorded))
			return order(f.node(2), u, key, time.Second).Verdict
		}).Should(Equal(Won))
	})

	It("lets no write through after a freeze past the deadline, nor after a release", func() {
		f := newFleet(3)
		d := f.node(0).Claim(within(time.Second), request(newKey()))
		Expect(d.Hold.StillValid(clock.Boot())).To(BeTrue())
		Expect(d.Hold.StillValid(clock.Boot() + 2*time.Second)).To(BeFalse())
		d.Hold.Release(context.Background())
		Expect(d.Hold.StillValid(clock.Boot())).To(BeFalse())
	})

	It("refuses reuse with another body, old and future keys, and an older manifest", func() {
		f := newFleet(3)
		key := newKey()
		order(f.node(0), u, key, time.Second)
		r := request(key)
		r.Fingerprint = "g"
		Expect(f.node(1).Claim(within(time.Second), r).Verdict).To(Equal(Mismatch))
		r = request("till-1/0193a000-0000-7000-8000-000000000000")
		Expect(f.node(1).Claim(within(time.Second), r).Verdict).To(Equal(Expired))
		r = request("till-1/fff3a000-0000-7000-8000-000000000000")
		Expect(f.node(1).Claim(within(time.Second), r).Verdict).To(Equal(Future))
		f.node(0).o.Generation = func() int { return 2 }
		d := f.node(1).Claim(within(200*time.Millisecond), request(newKey()))
		Expect(d.Verdict).To(Equal(NoQuorum))
	})

	It("says that a result too large to keep was run", func() {
		f := newFleet(3)
		key := newKey()
		d := f.node(0).Claim(within(time.Second), request(key))
		Expect(d.Hold.Record(context.Background(), strings.Repeat("x", once.MaxOutcome+1))).To(Succeed())
		d = order(f.node(1), u, key, time.Second)
		Expect(d.Verdict).To(Equal(Recorded))
		Expect(d.Outcome).To(BeEmpty())
	})

	It("bounds its memory and drops garbage", func() {
		f := newFleet(1)
		p := once.Defaults()
		for range shards * p.MaxKeys * 5 / 4 {
			r := peer.Release{Key: newKey(), Claimant: "vm9/x/1"}
			f.node(0).Handle(context.Background(), "vm9", &peer.Message{Release: &r})
		}
		Expect(f.node(0).keys()).To(BeNumerically("<=", shards*p.MaxKeys))
		for _, m := range []*peer.Message{
			{}, {Claim: &peer.Claim{}}, {Claim: &peer.Claim{Key: newKey(), Claimant: "x", Fingerprint: "f", WindowMs: 1}},
			{Release: &peer.Release{Key: "x"}}, {Record: &peer.Record{Key: newKey(), Claimant: "x"}},
		} {
			Expect(f.node(0).Handle(context.Background(), "vm9", m)).To(BeNil())
		}
	})

	It("runs no key twice while calls are lost and late, links cut and VMs replaced", func() {
		chaos(newFleet(7), u)
		ran := 0
		for key, n := range u.runs {
			Expect(n).To(Equal(1), key)
			ran++
		}
		Expect(ran).To(BeNumerically(">", 20))
	})

	It("runs keys twice once the mechanism is off", func() {
		f := newFleet(0)
		f.off = mechanism.New(&settings.Experiment{Disable: []settings.ExperimentDisableElem{settings.ExperimentDisableElemClaims}})
		for i := range 7 {
			f.names = append(f.names, Member{fmt.Sprint("vm", i)})
			f.start(f.names[i].Name, time.Now().Add(-time.Minute))
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

// chaos sends each of many orders through several VMs under faults.
func chaos(f *fleet, u *upstream) {
	rng := rand.New(rand.NewPCG(uint64(testkit.Seed()), 1))
	f.delay, f.loss = 3*time.Millisecond, 0.05
	var group sync.WaitGroup
	for i := range 120 {
		switch i % 40 {
		case 5, 25:
			f.split(rng.IntN(2), 0, rng.IntN(2), 0, rng.IntN(2), 0, 0)
		case 10, 30:
			f.split(0, 0, 0, 0, 0, 0, 0)
		case 39: // a fresh guard votes on no key for the first seconds
			f.start(f.names[rng.IntN(len(f.names))].Name, time.Now())
		}
		key, first, second := newKey(), rng.IntN(len(f.names)), rng.IntN(len(f.names))
		group.Go(func() { order(f.node(first), u, key, 300*time.Millisecond) })
		group.Go(func() { order(f.node(second), u, key, 300*time.Millisecond) })
		time.Sleep(5 * time.Millisecond)
	}
	group.Wait()
}
