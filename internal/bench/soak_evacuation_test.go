package bench

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The soak's check of evacuations", func() {
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	second := func(n int) time.Time { return at.Add(time.Duration(n) * time.Second) }
	var s *soak
	BeforeEach(func() {
		s = &soak{evidence: newEvidence(1), vms: []*soakVM{{name: "vm"}}}
		s.evacuations = []evacuation{{zone: "zone-1", Span: Span{From: at, To: second(9)}}}
	})
	arrive := func(zone string, n int) {
		s.evidence.recordArrival(arrival{id: "x", server: "i", zone: zone, vm: "vm", at: second(n), deadline: time.Millisecond})
	}

	It("reports a request that reaches the zone after the bound", func() {
		arrive("zone-1", 6)
		s.checkEvacuations()
		Expect(s.evidence.violations).To(HaveKeyWithValue(sentToEvacuated, 1))
	})

	It("accepts one before the bound, after the end, and to another zone", func() {
		arrive("zone-1", 4)
		arrive("zone-1", 10)
		arrive("zone-0", 6)
		s.checkEvacuations()
		Expect(s.evidence.violations).NotTo(HaveKey(sentToEvacuated))
	})

	It("accepts one of a VM that was unavailable, or of a VM that could not learn of it in time", func() {
		arrive("zone-1", 6)
		s.vms[0].unavailable.spans = []Span{{From: second(1), To: second(2)}}
		s.checkEvacuations()
		s.vms[0].unavailable.spans = nil
		s.outages.spans = []Span{{From: second(4), To: second(5)}}
		s.checkEvacuations()
		Expect(s.evidence.violations).NotTo(HaveKey(sentToEvacuated))
	})
})
