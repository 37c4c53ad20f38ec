package reach_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/policy/reach"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

func TestReach(t *testing.T) { testkit.Run(t, "policy/reach") }

var _ = Describe("A VM's path to its upstreams", func() {
	const t0 = time.Hour
	const ms = time.Millisecond
	var s reach.State
	BeforeEach(func() {
		s = reach.State{}
		s.Replied()
	})
	stranded := func() bool { is, _ := s.Stranded(); return is }

	// Load pattern: a VM restarts while it is cut off, and is given work before it has asked for anything.
	It("is checked first of all by a VM that starts, once it knows an upstream", func() {
		s = reach.State{}
		Expect(s.StartCheck(t0)).To(BeTrue())
		s.NotChecked()
		Expect(s.StartCheck(t0 + 100*ms)).To(BeFalse())
		Expect(s.StartCheck(t0 + 500*ms)).To(BeTrue())
		Expect(s.Checked(t0+600*ms, false)).To(BeTrue())
		Expect(stranded()).To(BeTrue())
	})

	It("is not checked while replies arrive, nor while nothing is asked", func() {
		for now := t0; now < t0+10*time.Second; now += 50 * ms {
			s.Asked(now)
			s.Replied()
			Expect(s.StartCheck(now)).To(BeFalse())
		}
		Expect(s.StartCheck(t0 + time.Hour)).To(BeFalse())
	})

	// Load pattern: a small VM of a large fleet sends a request to a single service each few seconds, of
	// which some take several hundred milliseconds.
	It("is checked each 400 ms at most if single replies are slow, and not doubted if a check connects", func() {
		checks := 0
		for now := t0; now < t0+10*time.Second; now += 100 * ms {
			s.Asked(now)
			if s.StartCheck(now) {
				checks++
				Expect(s.Checked(now, true)).To(BeFalse())
			}
		}
		Expect(checks).To(BeNumerically("<=", 25))
		Expect(stranded()).To(BeFalse())
	})

	It("is lost if no upstream replies and a check fails, and back at the first check that connects", func() {
		s.Asked(t0)
		Expect(s.StartCheck(t0 + 200*ms)).To(BeFalse())
		Expect(s.StartCheck(t0 + 250*ms)).To(BeTrue())
		Expect(s.StartCheck(t0+5*time.Second)).To(BeFalse(), "one runs")
		Expect(s.Checked(t0+550*ms, false)).To(BeTrue())
		Expect(stranded()).To(BeTrue())
		Expect(s.StartCheck(t0 + 700*ms)).To(BeFalse())
		Expect(s.StartCheck(t0 + 750*ms)).To(BeTrue())
		Expect(s.Checked(t0+800*ms, false)).To(BeFalse())
		Expect(s.StartCheck(t0 + 1250*ms)).To(BeTrue())
		Expect(s.Checked(t0+1260*ms, true)).To(BeTrue())
		Expect(stranded()).To(BeFalse())
		Expect(s.StartCheck(t0+10*time.Second)).To(BeFalse(), "nothing is asked")
	})

	// Load pattern: open connections live on and carry replies, new ones are refused.
	It("is checked if connections to three upstreams fail, though others reply, unless one is opened", func() {
		for i := range 3 {
			Expect(s.StartCheck(t0)).To(BeFalse())
			s.Asked(t0)
			s.Replied()
			s.ConnectFailed(t0, fmt.Sprint("upstream-", i))
			s.ConnectFailed(t0, fmt.Sprint("upstream-", i))
		}
		Expect(s.StartCheck(t0 + ms)).To(BeTrue())
		s.Checked(t0+ms, true)
		for i := range 10 {
			s.ConnectFailed(t0+2*time.Second, fmt.Sprint("upstream-", i%2))
		}
		Expect(s.StartCheck(t0 + 2*time.Second)).To(BeFalse())
		s.ConnectFailed(t0+2*time.Second, "upstream-2")
		s.Connected()
		Expect(s.StartCheck(t0 + 3*time.Second)).To(BeFalse())
	})

	It("is not doubted for connections that failed long ago", func() {
		for i := range 10 {
			now := t0 + time.Duration(i)*4*time.Second
			s.ConnectFailed(now, fmt.Sprint("upstream-", i))
			Expect(s.StartCheck(now)).To(BeFalse())
		}
	})

	It("is checked at upstreams of several zones, first those that replied last", func() {
		var all []reach.Candidate
		for i, address := range []string{"a1", "a2", "a3", "b1", "c1", "a4"} {
			all = append(all, reach.Candidate{Address: address, Zone: address[:1], RepliedAt: t0 - time.Duration(i)*ms})
		}
		Expect(reach.Sample(4, "vm", all)).To(Equal([]string{"a1", "b1", "c1", "a2"}))
		Expect(reach.Sample(4, "vm", all[:1])).To(Equal([]string{"a1"}))
	})

	// Load pattern: a fleet starts at once, or most VMs have no requests of their own and are warned.
	It("is checked by many VMs without replies at different upstreams", func() {
		const vms, upstreams = 300, 50
		var all []reach.Candidate
		for i := range upstreams {
			all = append(all, reach.Candidate{Address: fmt.Sprintf("10.0.0.%02d:80", i), Zone: fmt.Sprint("zone-", i%5)})
		}
		first := map[string]int{}
		for i := range vms {
			first[reach.Sample(4, fmt.Sprint("vm-", i), all)[0]]++
		}
		for address, n := range first {
			Expect(n).To(BeNumerically("<=", 4*vms/upstreams), address)
		}
	})

	// Load pattern: most VMs of a fleet are cut off at once; those without requests of their own are
	// then chosen as gatherers.
	It("is checked soon after another VM has lost its own, unless an upstream replies", func() {
		s.Warned(t0, "other")
		Expect(s.StartCheck(t0 + 50*ms)).To(BeFalse())
		Expect(s.StartCheck(t0 + 100*ms)).To(BeTrue())
		Expect(s.WarnedBy()).To(Equal("other"))
		Expect(s.Checked(t0+400*ms, false)).To(BeTrue())
		Expect(stranded()).To(BeTrue())
		Expect(s.WarnedBy()).To(BeEmpty())

		s = reach.State{}
		s.Replied()
		s.Warned(t0, "other")
		s.Replied()
		Expect(s.StartCheck(t0 + 100*ms)).To(BeFalse())
	})

	// Load pattern: VMs of a fleet lose their paths one after another, or raise false alarms for want of processor time.
	It("is checked once a second at most for warnings", func() {
		checks := 0
		for now := t0; now < t0+10*time.Second; now += 20 * ms {
			s.Warned(now, "other")
			if s.StartCheck(now) {
				checks++
				Expect(s.Checked(now+5*ms, true)).To(BeFalse())
			}
		}
		Expect(checks).To(BeNumerically("~", 9, 1))
	})
})
