package daemon

import (
	"context"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/peer"
	"github.com/sardinespindle/sardinespindle/internal/policy/delegate"
	peergen "github.com/sardinespindle/sardinespindle/schema/gen/peer"
)

// VMs of the build before this one ignore evacuations: what they are given, they send on to the zone.
var _ = Describe("A VM whose fleet has VMs of an earlier build", func() {
	const fleetSize, earlier = 5, 2 // the VM at this index is of the earlier build
	var fleets []*fleet
	var stops []func()
	start := func(i int, incarnation string) { fleets[i], stops[i] = startFleetVM(i, 2, incarnation) }
	inZones := func(byZone map[string][]string) (names []string) {
		for _, vms := range byZone {
			names = append(names, vms...)
		}
		return names
	}
	gatherers := func() []string { byZone, _ := fleets[0].gatherers(); return inZones(byZone) }
	receivers := func() []string { return inZones(fleets[0].reach().Others) }
	delegates := func(to int) error {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := fleets[0].node.Delegate(ctx, fleets[to].self.Name, &peergen.Delegate{Shards: []string{}, Headers: []peergen.Header{}}, peer.Watch{})
		return err
	}
	BeforeEach(func() {
		fleets, stops = make([]*fleet, fleetSize), make([]func(), fleetSize)
		for i := range fleets {
			incarnation := "2-3-" + string(rune('a'+i))
			if i == earlier {
				incarnation = "2-c"
			}
			start(i, incarnation)
			fleets[i].node.Handle(func(context.Context, string, *peergen.Message) *peergen.Message {
				return &peergen.Message{Delegated: &peergen.Delegated{Signatures: []string{}, Headers: []peergen.Header{}}}
			})
		}
		Eventually(func() int { return knowing(fleets, fleetSize) }, 10*time.Second, 20*time.Millisecond).Should(Equal(fleetSize))
	})

	It("gives them no request and learns nothing from them while a zone is evacuated", func() {
		name := fleets[earlier].self.Name
		Expect(gatherers()).To(ContainElement(name))
		Expect(receivers()).To(ContainElement(name))
		Expect(delegates(earlier)).To(Succeed())
		fleets[0].setEvacuating(true)
		Expect(gatherers()).To(And(HaveLen(fleetSize-2), Not(ContainElement(name))))
		Expect(receivers()).To(And(HaveLen(fleetSize-2), Not(ContainElement(name))))
		Expect(fleets[0].sources().VMs).NotTo(ContainElement(name))
		Expect(delegates(earlier)).To(MatchError(peer.ErrNotSent))
		Expect(delegates(earlier + 1)).To(Succeed())
		fleets[0].setEvacuating(false)
		Expect(gatherers()).To(ContainElement(name))
		Expect(delegates(earlier)).To(Succeed())
	})

	// The announcement of the process before lasts for two minutes.
	It("does so as well if one returns to the earlier build", func() {
		fleets[0].setEvacuating(true)
		name := fleets[earlier+1].self.Name
		Expect(gatherers()).To(ContainElement(name))
		stops[earlier+1]()
		start(earlier+1, "2-x")
		Eventually(func() int { return knowing(fleets[earlier+1:earlier+2], fleetSize) }, 10*time.Second, 20*time.Millisecond).Should(Equal(1))
		Eventually(func() bool {
			fleets[0].update()
			isLive := func(vm delegate.VM) bool { return vm.Name == name && !vm.KnowsEvacuations }
			return slices.ContainsFunc(fleets[0].view.Load().vms, isLive)
		}, 10*time.Second, 20*time.Millisecond).Should(BeTrue())
		Expect(gatherers()).NotTo(ContainElement(name))
		Expect(receivers()).NotTo(ContainElement(name))
		Expect(delegates(earlier + 1)).To(MatchError(peer.ErrNotSent))
	})
})
