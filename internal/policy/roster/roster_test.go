package roster_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sardinespindle/sardinespindle/internal/policy/roster"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

func TestRoster(t *testing.T) { testkit.Run(t, "policy/roster") }

func members(n, zones int) []roster.Member {
	out := make([]roster.Member, n)
	for i := range out {
		out[i] = roster.Member{Name: fmt.Sprint("vm", i), Zone: fmt.Sprint("z", i%zones), Listed: true}
	}
	return out
}

var _ = Describe("Roster", func() {
	It("has as members the VMs that were listed or sent a hello within the lag", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			now := time.Hour
			r := roster.New()
			listed := map[string]bool{}               // the oracle: the last list
			listedUntil := map[string]time.Duration{} // the time until which each VM was listed
			lastHello := map[string]time.Duration{}   // the time of its last hello
			name := rapid.SampledFrom([]string{"a", "b", "c", "d"})
			t.Repeat(map[string]func(*rapid.T){
				"list": func(t *rapid.T) {
					names := rapid.SliceOfDistinct(name, rapid.ID[string]).Draw(t, "names")
					var vms []roster.Listed
					for n := range listed {
						listedUntil[n] = now
					}
					clear(listed)
					for _, n := range names {
						listed[n] = true
						vms = append(vms, roster.Listed{Name: n})
					}
					r.SetListed(now, vms)
				},
				"hello": func(t *rapid.T) {
					n := name.Draw(t, "name")
					lastHello[n] = now
					r.Hello(now, roster.Hello{Name: n, Incarnation: "x"})
				},
				"wait": func(t *rapid.T) {
					now += time.Duration(rapid.IntRange(1, 40).Draw(t, "s")) * time.Second
				},
				"": func(t *rapid.T) {
					for _, n := range []string{"a", "b", "c", "d"} {
						within := func(m map[string]time.Duration) bool {
							at, ok := m[n]
							return ok && now-at < roster.Lag
						}
						want := listed[n] || within(listedUntil) || within(lastHello)
						if got := roster.Contains(r.Members(now), n); got != want {
							t.Fatalf("%s is a member: %v, want %v", n, got, want)
						}
					}
				},
			})
		})
	})

	It("shows a VM as leaving only if its running incarnation announced it", func() {
		r := roster.New()
		r.SetListed(0, []roster.Listed{{Name: "a"}})
		r.Hello(0, roster.Hello{Name: "a", Incarnation: "2"})
		r.SetLeaving("a", "1", time.Minute)
		m, _ := r.Get(0, "a")
		Expect(m.State).To(Equal(roster.Live))
		r.SetLeaving("a", "2", time.Minute)
		m, _ = r.Get(0, "a")
		Expect(m.State).To(Equal(roster.Leaving))
		r.Hello(0, roster.Hello{Name: "a", Incarnation: "3"})
		m, _ = r.Get(0, "a")
		Expect(m.State).To(Equal(roster.Live))
	})

	It("shows a VM as leaving before its first hello, until the announcement expires", func() {
		r := roster.New()
		r.SetListed(0, []roster.Listed{{Name: "a"}})
		r.SetLeaving("a", "1", time.Minute)
		m, _ := r.Get(0, "a")
		Expect(m.State).To(Equal(roster.Leaving))
		m, _ = r.Get(time.Minute, "a")
		Expect(m.State).To(Equal(roster.Live))
	})
})

// Facts reach every VM only if the graph of neighbours is connected.
var _ = Describe("Neighbours", func() {
	DescribeTable("connects the fleet, with a degree that does not grow with it", func(n, zones int) {
		all := members(n, zones)
		edges := map[string][]string{}
		chosenBy := map[string]int{}
		for _, m := range all {
			chosen := roster.Neighbours(all, m.Name, m.Zone)
			Expect(len(chosen)).To(BeNumerically("<=", roster.MaxNeighbours))
			for _, c := range chosen {
				chosenBy[c.Name]++
				edges[m.Name] = append(edges[m.Name], c.Name)
				edges[c.Name] = append(edges[c.Name], m.Name)
			}
		}
		seen := map[string]bool{"vm0": true}
		maxDegree := 0
		for queue := []string{"vm0"}; len(queue) > 0; queue = queue[1:] {
			maxDegree = max(maxDegree, len(edges[queue[0]]))
			for _, next := range edges[queue[0]] {
				if !seen[next] {
					seen[next] = true
					queue = append(queue, next)
				}
			}
		}
		Expect(seen).To(HaveLen(n))
		Expect(chosenBy).To(HaveLen(n), "some VM is chosen by no other")
		Expect(maxDegree).To(BeNumerically("<", 32))
	},
		Entry("14 VMs in 3 zones", 14, 3), Entry("20 VMs in 4 zones", 20, 4),
		Entry("200 VMs in 10 zones", 200, 10), Entry("2100 VMs in 10 zones", 2100, 10),
	)

	It("changes few links when a VM is removed", func() {
		all := members(100, 5)
		moved := 0
		for _, m := range all[1:] {
			before := roster.Neighbours(all, m.Name, m.Zone)
			for _, b := range roster.Neighbours(all[1:], m.Name, m.Zone) {
				if !roster.Contains(before, b.Name) {
					moved++
				}
			}
		}
		Expect(moved).To(BeNumerically("<=", 20))
	})
})

// relays runs the relay role of each VM of one zone in rounds of one second, where the
// others learn of a relay one round later. It returns the relays of the last round and the
// largest number in any round.
func relays(all []roster.Member, up func(name string, now time.Duration) bool, rounds int) (current []string, most int) {
	roles := map[string]roster.RelayRole{}
	var announced map[string]bool
	for i := range rounds {
		now := time.Duration(i) * time.Second
		announcing := map[string]bool{}
		current = nil
		for _, m := range all {
			if !up(m.Name, now) {
				continue
			}
			r := roles[m.Name]
			r.Self, r.Zone, r.Count, r.Grace, r.Working = m.Name, "z0", 2, 3*time.Second, announced
			r = r.Decide(now, all)
			roles[m.Name] = r
			if r.Relay {
				announcing[m.Name] = true
				current = append(current, m.Name)
			}
		}
		announced = announcing
		most = max(most, len(current))
	}
	return current, most
}

var _ = Describe("RelayRole", func() {
	It("passes to one other VM while a relay is down, and back once it is up", func() {
		all := members(10, 1)
		always := func(string, time.Duration) bool { return true }
		first, _ := relays(all, always, 10)
		Expect(first).To(HaveLen(2))

		dead := func(name string, at time.Duration) bool { return name != first[0] || at < 20*time.Second }
		second, most := relays(all, dead, 40)
		Expect(second).To(HaveLen(2))
		Expect(second).NotTo(ContainElement(first[0]))
		Expect(most).To(Equal(2))

		back := func(name string, at time.Duration) bool {
			return name != first[0] || at < 20*time.Second || at > 40*time.Second
		}
		third, most := relays(all, back, 60)
		slices.Sort(third)
		slices.Sort(first)
		Expect(third).To(Equal(first))
		Expect(most).To(BeNumerically("<=", 3))
	})

	It("is held by two VMs although half of the zone is down", func() {
		all := members(10, 1)
		half := func(name string, _ time.Duration) bool { return name > "vm4" }
		now, _ := relays(all, half, 30)
		Expect(now).To(HaveLen(2))
	})
})
