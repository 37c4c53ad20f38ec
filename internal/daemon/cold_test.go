package daemon

import (
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/clock"
	"github.com/sardinespindle/sardinespindle/internal/facts"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
	manifestgen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/settings"
)

var _ = Describe("VMs that tell each other of a cold upstream", func() {
	const address = "10.0.0.1:80"
	incarnation := upstream.Incarnation{Address: address, Identity: "i 1", StartedMs: 7}

	It("are told once, with the time left as of then, and again if it is cold for longer", func() {
		fleets := startFleet(2)
		Eventually(func() int { return knowing(fleets, 2) }, 10*time.Second, 20*time.Millisecond).Should(Equal(2))
		var mu sync.Mutex
		var until []time.Duration
		fleets[1].watchCold(func(i upstream.Incarnation, left, age time.Duration) {
			mu.Lock()
			defer mu.Unlock()
			Expect(i).To(Equal(incarnation))
			until = append(until, clock.Boot()-age+left)
		})
		told := func() []time.Duration {
			mu.Lock()
			defer mu.Unlock()
			return until
		}
		end := clock.Boot() + 3*time.Second
		fleets[0].announceCold(incarnation, 3*time.Second)
		Eventually(told, 3*time.Second).Should(HaveLen(1))
		Expect(told()[0]).To(BeNumerically("~", end, 200*time.Millisecond))
		own := func() int { return len(fleets[1].node.Facts().List(coldPrefix)) }
		fleets[1].announceCold(incarnation, end-clock.Boot())
		Expect(own()).To(Equal(1), "it was told")
		fleets[1].announceCold(incarnation, 5*time.Second)
		Expect(own()).To(Equal(2), "it is cold for longer")
	})

	It("take no malformed statement", func() {
		f := startFleet(1)[0]
		read := func(value string) (left time.Duration) {
			fact := facts.Fact{Key: coldPrefix + address, Origin: "10.1.0.1/3-x", Version: 1, Value: value, Expires: clock.Boot() + coldTTL}
			f.readCold(fact, func(_ upstream.Incarnation, l, _ time.Duration) { left = l })
			return left
		}
		Expect(read("3000 7 i")).To(Equal(3 * time.Second))
		for _, value := range []string{"", "3000", "x 7 i", "-1 7 i", "0 7 i", "9223372036854775807 7 i", "3000 x i"} {
			Expect(read(value)).To(BeZero(), value)
		}
	})
})

// VMs that start at once each know few others at first: shares by what they know would add up to a
// multiple of what a cold upstream survives.
var _ = Describe("The VMs that may send to a cold upstream", func() {
	entry := &manifestgen.Upstream{Workload: "s"}

	It("are not known to a VM that has just started, nor to one that reaches no VM that its seeds name", func() {
		f := &Forwarder{fleet: startFleet(1)[0]}
		Expect(f.coldSenders(entry)).To(BeEmpty())
		time.Sleep(convergeTime)
		Expect(f.coldSenders(entry)).To(Equal([]string{f.fleet.self.Name}), "its seeds name no other VM")
		f.fleet.setSeeds([]gen.Address{"127.32.0.9:21900"})
		Expect(f.coldSenders(entry)).To(BeEmpty())
	})

	It("are all that may be alive", func() {
		fleets := startFleet(3)
		Eventually(func() int { return knowing(fleets, 3) }, 10*time.Second, 20*time.Millisecond).Should(Equal(3))
		f := &Forwarder{fleet: fleets[1]}
		Eventually(func() int { return len(f.coldSenders(entry)) }, 3*time.Second).Should(Equal(3))
	})
})
