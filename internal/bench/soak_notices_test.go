package bench

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Servers of the soak", func() {
	It("have ids of their own, whichever service they take over", func() {
		const addresses, starts = 15, 5
		ids := map[string]bool{}
		for address := range addresses {
			sv := &soakServer{index: address}
			for n := range starts {
				ids[sv.nextID((address+n*soakReplicas)%addresses)] = true
			}
		}
		Expect(ids).To(HaveLen(addresses * starts))
	})
})

var _ = Describe("checkNotices", func() {
	const name = "10.0.0.1"
	start := time.Now().Add(-time.Minute)
	var (
		s  *soak
		sv *soakServer
		n  *notice
	)
	BeforeEach(func() {
		s = &soak{vms: []*soakVM{{name: name}}, evidence: newEvidence(DefaultSoakShards)}
		sv = &soakServer{s: s}
		n = &notice{server: "i", at: sv, pause: 2 * time.Second, told: map[string][]time.Time{name: {start}}, endedAt: start.Add(3 * time.Second)}
		s.notices = []*notice{n}
		for i := range noticePauseSlack + 1 {
			s.evidence.recordArrival(arrival{id: fmt.Sprint(i), server: "i", vm: name, at: start.Add(time.Second), deadline: time.Second})
		}
	})

	It("reports requests in the pause that a server asked for", func() {
		s.checkNotices()
		Expect(s.evidence.violations).To(HaveKeyWithValue(sentInPause, 1))
	})

	It("accepts them from a VM that the reply did not reach: the server's link was broken", func() {
		sv.broken.spans = []Span{{From: start.Add(-time.Second), To: start.Add(1500 * time.Millisecond)}}
		s.checkNotices()
		Expect(s.evidence.violations).To(BeEmpty())
	})

	It("accepts them from a VM that the reply did not reach: it was cut off from all servers", func() {
		s.strandings = []stranding{{Span: Span{From: start.Add(-time.Second), To: start.Add(3 * time.Second)}, vms: s.vms}}
		s.checkNotices()
		Expect(s.evidence.violations).To(BeEmpty())
	})

	It("reports them if the link broke after the reply had arrived", func() {
		sv.broken.spans = []Span{{From: start.Add(noticeDelay), To: start.Add(1500 * time.Millisecond)}}
		s.checkNotices()
		Expect(s.evidence.violations).To(HaveKeyWithValue(sentInPause, 1))
	})
})
