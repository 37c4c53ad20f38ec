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
	It("counts whoever was listed or said hello within the lag", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			now := time.Hour
			r := roster.New()
			listed := map[string]bool{}         // the oracle: the last list,
			left := map[string]time.Duration{}  // when each VM was last in a list
			heard := map[string]time.Duration{} // and when it last said hello
			name := rapid.SampledFrom([]string{"a", "b", "c", "d"})
			t.Repeat(map[string]func(*rapid.T){
				"list": func(t *rapid.T) {
					names := rapid.SliceOfDistinct(name, rapid.ID[string]).Draw(t, "names")
					var vms []roster.Listed
					for n := range listed {
						left[n] = now
					}
					clear(listed)
					for _, n := range names {
						listed[n] = true
						vms = append(vms, roster.Listed{Name: n})
					}
					r.List(now, vms)
				},
				"hello": func(t *rapid.T) {
					n := name.Draw(t, "name")
					heard[n] = now
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
						want := listed[n] || within(left) || within(heard)
						if got := roster.Has(r.Members(now), n); got != want {
							t.Fatalf("%s is a member: %v, want %v", n, got, want)
						}
					}
				},
			})
		})
	})

	It("believes a leaving word of the running incarnation only", func() {
		r := roster.New()
		r.List(0, []roster.Listed{{Name: "a"}})
		r.Hello(0, roster.Hello{Name: "a", Incarnation: "2"})
		r.Leaves("a", "1", time.Minute)
		m, _ := r.Get(0, "a")
		Expect(m.State).To(Equal(roster.Live))
		r.Leaves("a", "2", time.Minute)
		m, _ = r.Get(0, "a")
		Expect(m.State).To(Equal(roster.Leaving))
		r.Hello(0, roster.Hello{Name: "a", Incarnation: "3"})
		m, _ = r.Get(0, "a")
		Expect(m.State).To(Equal(roster.Live))
	})

	It("believes a leaving word before any hello, for its time", func() {
		r := roster.New()
		r.List(0, []roster.Listed{{Name: "a"}})
		r.Leaves("a", "1", time.Minute)
		m, _ := r.Get(0, "a")
		Expect(m.State).To(Equal(roster.Leaving))
		m, _ = r.Get(time.Minute, "a")
		Expect(m.State).To(Equal(roster.Live))
	})
})

var _ = Describe("Neighbours", func() {
	DescribeTable("connect the fleet with a constant degree", func(n, zones int) {
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
		most := 0
		for queue := []string{"vm0"}; len(queue) > 0; queue = queue[1:] {
			most = max(most, len(edges[queue[0]]))
			for _, next := range edges[queue[0]] {
				if !seen[next] {
					seen[next] = true
					queue = append(queue, next)
				}
			}
		}
		Expect(seen).To(HaveLen(n))
		Expect(chosenBy).To(HaveLen(n), "somebody is chosen by nobody")
		Expect(most).To(BeNumerically("<", 32))
	},
		Entry("14 VMs in 3 zones", 14, 3), Entry("20 VMs in 4 zones", 20, 4),
		Entry("200 VMs in 10 zones", 200, 10), Entry("2100 VMs in 10 zones", 2100, 10),
	)

	It("move few links when a VM goes", func() {
		all := members(100, 5)
		moved := 0
		for _, m := range all[1:] {
			before := roster.Neighbours(all, m.Name, m.Zone)
			for _, b := range roster.Neighbours(all[1:], m.Name, m.Zone) {
				if !roster.Has(before, b.Name) {
					moved++
				}
			}
		}
		Expect(moved).To(BeNumerically("<=", 20))
	})
})

// relays runs the relay role of each VM of one zone in rounds of one second, with
// word of a relay reaching the others a round later, and returns who is a relay.
func relays(all []roster.Member, up func(name string, now time.Duration) bool, rounds int) (now []string, most int) {
	roles := map[string]roster.RelayRole{}
	var heard map[string]bool
	for i := range rounds {
		at := time.Duration(i) * time.Second
		said := map[string]bool{}
		now = nil
		for _, m := range all {
			if !up(m.Name, at) {
				continue
			}
			r := roles[m.Name]
			r.Self, r.Zone, r.Count, r.Grace, r.Works = m.Name, "z0", 2, 3*time.Second, heard
			r = r.Decide(at, all)
			roles[m.Name] = r
			if r.Relay {
				said[m.Name] = true
				now = append(now, m.Name)
			}
		}
		heard = said
		most = max(most, len(now))
	}
	return now, most
}

var _ = Describe("RelayRole", func() {
	It("is taken over by the next VM, without a crowd, and given back", func() {
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

	It("is filled although half of the zone is down", func() {
		all := members(10, 1)
		half := func(name string, _ time.Duration) bool { return name > "vm4" }
		now, _ := relays(all, half, 30)
		Expect(now).To(HaveLen(2))
	})
})
