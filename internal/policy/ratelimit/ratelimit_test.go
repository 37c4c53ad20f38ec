package ratelimit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sardinespindle/sardinespindle/internal/policy/connbudget"
	"github.com/sardinespindle/sardinespindle/internal/policy/ratelimit"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

func TestRateLimit(t *testing.T) { testkit.Run(t, "policy/ratelimit") }

// Bounds of the users for the sum over all VMs in any window.
const (
	window    = 4 * time.Second
	allowance = 1.5
	slack     = 5
)

func names(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("10.0.%d.%d", i/250, i%250)
	}
	return out
}

// most returns the most of the sorted times in any window.
func most(at []time.Duration) (n int) {
	slices.Sort(at)
	first := 0
	for i := range at {
		for at[i]-at[first] >= window {
			first++
		}
		n = max(n, i-first+1)
	}
	return n
}

var _ = Describe("VMs that share the limit of an upstream", func() {
	const address = "10.9.0.1:80"

	// Load pattern: 1 to 300 VMs, each with many times its share to send, or idle for seconds and
	// then all at once.
	It("send no more together than it allows, and use most of it if all have enough to send", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			vms := names(rapid.IntRange(2, 300).Draw(t, "VMs"))
			perSecond := rapid.Float64Range(0.1, 200).Draw(t, "limit")
			interval := time.Duration(rapid.IntRange(20, 5000).Draw(t, "interval ms")) * time.Millisecond
			steady := interval < 100*time.Millisecond
			rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
			var sent []time.Duration
			start, end := time.Hour, time.Hour+20*time.Second
			for _, vm := range vms {
				var s ratelimit.State
				s.Replied(start, start, perSecond)
				s.SetShare(start, ratelimit.Share(perSecond, address, vm, vms), rng.Float64())
				for now := start + time.Duration(rng.Int64N(int64(interval))); now < end; now += interval {
					for {
						if _, ok := s.Take(now); !ok {
							break
						}
						sent = append(sent, now)
					}
				}
			}
			if n, allowed := most(sent), allowance*perSecond*window.Seconds()+slack; float64(n) > allowed {
				t.Fatalf("%d requests in %v at a limit of %g a second, allowed %g", n, window, perSecond, allowed)
			}
			if n := float64(len(sent)); steady && n < 0.6*perSecond*20-2 {
				t.Fatalf("%g requests in 20 s at a limit of %g a second", n, perSecond)
			}
		})
	})

	It("stay within what the users allow while each view misses a quarter of the VMs", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			vms := names(rapid.IntRange(8, 120).Draw(t, "VMs"))
			perSecond := rapid.Float64Range(0.1, 100).Draw(t, "limit")
			rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
			sum, holders := 0.0, 0
			for _, vm := range vms {
				view := slices.DeleteFunc(slices.Clone(vms), func(other string) bool { return other != vm && rng.IntN(4) == 0 })
				if share := ratelimit.Share(perSecond, address, vm, view); share > 0 {
					sum += share
					holders++
				}
			}
			// Each holder may send one request besides its share of the window.
			if n, allowed := sum*window.Seconds(), allowance*perSecond*window.Seconds()+slack; n > allowed {
				t.Fatalf("%g requests in %v from %d holders at a limit of %g, allowed %g", n, window, holders, perSecond, allowed)
			}
		})
	})

	// Each of the three VMs of the highest rank takes itself for the first.
	It("stay within what the users allow though several take themselves for the only holder", func() {
		vms, sum := names(60), 0.0
		for i, vm := range connbudget.Top(address, vms, 3) {
			better := connbudget.Top(address, vms, i)
			sum += ratelimit.Share(1, address, vm, slices.DeleteFunc(slices.Clone(vms), func(other string) bool { return slices.Contains(better, other) }))
		}
		Expect(sum * window.Seconds()).To(BeNumerically("<=", allowance*window.Seconds()+slack))
	})

	It("stay within what the users allow though each of a few knows half of the others", func() {
		vms, sum := names(8), 0.0
		for i, vm := range vms {
			sum += ratelimit.Share(100, address, vm, slices.Concat(vms, vms)[i:i+5])
		}
		Expect(sum * window.Seconds()).To(BeNumerically("<=", 100*allowance*window.Seconds()+slack))
	})

	It("leave no share of a limit unused in a fleet that is not small", func() {
		for _, perSecond := range []float64{0.1, 1, 2, 5, 25, 100} {
			for _, n := range []int{30, 60, 295} {
				vms, sum := names(n), 0.0
				for _, vm := range vms {
					sum += ratelimit.Share(perSecond, address, vm, vms)
				}
				Expect(sum).To(BeNumerically("~", perSecond, 1e-9*perSecond), "%d VMs", n)
			}
		}
	})

	It("know from each other who may send", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			vms := names(rapid.IntRange(2, 50).Draw(t, "VMs"))
			perSecond := rapid.Float64Range(0.1, 100).Draw(t, "limit")
			holders := ratelimit.Holders(perSecond, address, vms)
			for _, vm := range vms {
				if slices.Contains(holders, vm) != (ratelimit.Share(perSecond, address, vm, vms) > 0) {
					t.Fatalf("%s", vm)
				}
			}
		})
	})

	It("assume a fleet of the default size while they know no other", func() {
		Expect(ratelimit.Share(64, address, "a", nil)).To(Equal(64.0 / connbudget.DefaultFleetSize))
		Expect(ratelimit.Share(64, address, "a", []string{"a"})).To(Equal(64.0 / connbudget.DefaultFleetSize))
		Expect(ratelimit.Share(64, address, "a", []string{"b"})).To(BeZero())
	})
})

var _ = Describe("State", func() {
	var s ratelimit.State
	const t0 = time.Hour
	BeforeEach(func() { s = ratelimit.State{} })

	It("has no limit until a reply names one, and none from a reply without it on", func() {
		Expect(s.Wait(t0)).To(BeZero())
		Expect(s.Replied(t0-time.Second, t0, 5)).To(BeTrue())
		Expect(s.Replied(t0-time.Second, t0, 5)).To(BeFalse())
		Expect(s.Wait(t0)).To(Equal(200*time.Millisecond), "another VM may send then")
		Expect(s.Replied(t0-time.Millisecond, t0+time.Second, 0)).To(BeFalse(), "sent before the limit was last confirmed")
		Expect(s.PerSecond()).To(Equal(5.0))
		Expect(s.Replied(t0+time.Millisecond, t0+time.Second, 0)).To(BeTrue())
		Expect(s.Wait(t0 + time.Second)).To(BeZero())
	})

	It("takes the newest reply, whichever VM got it", func() {
		s.Replied(t0, t0, 5)
		Expect(s.Announced(t0-time.Second, 0)).To(BeFalse())
		Expect(s.Announced(t0+time.Second, 0)).To(BeTrue())
		Expect(s.Announced(t0+time.Second/2, 9)).To(BeFalse())
		Expect(s.PerSecond()).To(BeZero())
		Expect(s.Announced(t0+2*time.Second, 9)).To(BeTrue())
		Expect(s.PerSecond()).To(Equal(9.0))
	})

	It("is to be told once, when it differs by a tenth, ends, or has lasted", func() {
		Expect(s.AnnounceDue(t0)).To(BeFalse())
		s.Replied(t0, t0, 10)
		Expect(s.AnnounceDue(t0)).To(BeTrue())
		s.Announced(t0+time.Millisecond, 10.5)
		Expect(s.AnnounceDue(t0 + time.Second)).To(BeFalse())
		s.Replied(t0, t0+time.Second, 12)
		Expect(s.AnnounceDue(t0 + time.Second)).To(BeTrue())
		s.RecordAnnounced(t0 + time.Second)
		Expect(s.AnnounceDue(t0 + 2*time.Second)).To(BeFalse())
		Expect(s.AnnounceDue(t0 + time.Minute)).To(BeTrue())
		s.RecordAnnounced(t0 + time.Minute)
		s.Replied(t0+time.Minute, t0+time.Minute, 0)
		Expect(s.AnnounceDue(t0 + time.Minute)).To(BeTrue())
	})

	It("gives back a request that was not sent, and keeps to a lower share at once", func() {
		s.Replied(t0, t0, 40)
		s.SetShare(t0, 40, 0)
		now := t0 + 10*time.Second
		taken := 0
		for {
			if _, ok := s.Take(now); !ok {
				break
			}
			taken++
		}
		Expect(taken).To(Equal(10), "a quarter of a second")
		s.Return()
		got, ok := s.Take(now)
		Expect(got && ok).To(BeTrue())
		now += time.Second
		s.SetShare(now, 0.5, 0)
		_, _ = s.Take(now)
		Expect(s.Wait(now)).To(BeNumerically("~", 2*time.Second, 10*time.Millisecond))
	})

	It("loses no part of a share of a few a second while a request comes every 91 ms", func() {
		s.Replied(t0, t0, 3.65)
		s.SetShare(t0, 3.65, 0)
		sent := 0
		for now := t0; now < t0+20*time.Second; now += 91 * time.Millisecond {
			if _, ok := s.Take(now); ok {
				sent++
			}
		}
		Expect(sent).To(BeNumerically("~", 3.65*20, 2))
	})
})
