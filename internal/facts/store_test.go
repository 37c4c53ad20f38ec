package facts_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sardinespindle/sardinespindle/internal/facts"
	rules "github.com/sardinespindle/sardinespindle/internal/policy/facts"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

func TestFacts(t *testing.T) { testkit.Run(t, "facts") }

// message holds facts in flight to a VM of the model.
type message struct {
	to   int
	fs   []facts.Fact
	sent time.Duration
}

// stated is what an origin stated of one fact: its last version, and the value and
// expiry of every version.
type stated struct {
	version int
	values  map[int]string
	expires map[int]time.Duration
}

// model is a set of stores, a lossy network between them and an oracle that knows
// what each origin stated.
type model struct {
	now        time.Duration
	stores     []*facts.Store
	starts     int
	net        []message
	oracle     map[rules.ID]*stated
	totalDelay time.Duration // of all deliveries
}

func newModel(n int) *model {
	m := &model{oracle: map[rules.ID]*stated{}, now: time.Hour}
	for i := range n {
		m.stores = append(m.stores, nil)
		m.restart(i)
	}
	return m
}

func (m *model) restart(i int) {
	m.starts++
	m.stores[i] = facts.New(facts.Options{
		Name: fmt.Sprint("vm", i), Incarnation: fmt.Sprint(m.starts),
		Now: func() time.Duration { return m.now },
	})
}

func (m *model) put(i int, key, value string, ttl time.Duration) {
	f := m.stores[i].PutFact(key, value, ttl)
	o := m.oracle[f.ID()]
	if o == nil {
		o = &stated{values: map[int]string{}, expires: map[int]time.Duration{}}
		m.oracle[f.ID()] = o
	}
	o.version = f.Version
	o.values[f.Version], o.expires[f.Version] = value, f.Expires
}

// send puts facts on the network. As in a message, their remaining TTL does not shrink
// while they are in flight.
func (m *model) send(to int, fs []facts.Fact) {
	m.net = append(m.net, message{to, slices.Clone(fs), m.now})
}

func (m *model) deliver(i int) {
	p := m.net[i]
	delay := m.now - p.sent
	m.totalDelay += delay

	for k := range p.fs {
		p.fs[k].Expires += delay
	}
	m.stores[p.to].Merge(p.fs)
}

// exchange lets each pair of stores repair each other by digest, in as many rounds as
// there are stores.
func (m *model) exchange() {
	for range len(m.stores) {
		for i, a := range m.stores {
			for j, b := range m.stores {
				if i != j {
					a.Merge(b.Missing(a.Digest()))
				}
			}
		}
	}
}

func (m *model) check(t *rapid.T) {
	for i, s := range m.stores {
		for _, f := range s.List("") {
			o := m.oracle[f.ID()]
			if o == nil || f.Version > o.version || o.values[f.Version] != f.Value {
				t.Fatalf("vm%d holds %v, which no origin stated", i, f)
			}
		}
	}
}

// converged checks that every store holds the same version of each fact: the last one
// that its origin stated, or, if that incarnation is gone, the last one that any store
// holds. It skips versions that have expired at their origin: copies that were long in
// flight expire later and may still be held.
func (m *model) converged(t *rapid.T) {
	for id, o := range m.oracle {
		last := 0
		held := make([]int, len(m.stores))
		for i, s := range m.stores {
			for _, f := range s.List(id.Key) {
				if f.ID() == id {
					held[i] = f.Version
				}
			}
			last = max(last, held[i])
			if s.Origin() == id.Origin {
				last = o.version
			}
		}
		if o.expires[last] <= m.now {
			continue
		}
		for _, v := range held {
			if v != last {
				t.Fatalf("%v is held in versions %v, not %d everywhere", id, held, last)
			}
		}
	}
}

var _ = Describe("stores that exchange facts", func() {
	It("converge although messages are lost, duplicated or late and VMs restart", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			const vms = 4
			m := newModel(vms)
			vm := rapid.IntRange(0, vms-1)
			t.Repeat(map[string]func(*rapid.T){
				"state": func(t *rapid.T) {
					key := fmt.Sprint("drain/", rapid.IntRange(0, 3).Draw(t, "key"))
					ttl := time.Duration(rapid.IntRange(0, 40).Draw(t, "ttl")) * time.Second
					m.put(vm.Draw(t, "vm"), key, fmt.Sprint(m.starts, m.now, t), ttl)
				},
				"push": func(t *rapid.T) {
					m.send(vm.Draw(t, "to"), m.stores[vm.Draw(t, "from")].List(""))
				},
				"repair": func(t *rapid.T) {
					a, b := vm.Draw(t, "a"), vm.Draw(t, "b")
					m.send(a, m.stores[b].Missing(m.stores[a].Digest()))
				},
				"deliver one, maybe twice": func(t *rapid.T) {
					if len(m.net) == 0 {
						return
					}
					i := rapid.IntRange(0, len(m.net)-1).Draw(t, "which")
					m.deliver(i)
					if !rapid.Bool().Draw(t, "again") {
						m.net = slices.Delete(m.net, i, i+1)
					}
				},
				"drop one": func(t *rapid.T) {
					if len(m.net) == 0 {
						return
					}
					i := rapid.IntRange(0, len(m.net)-1).Draw(t, "which")
					m.net = slices.Delete(m.net, i, i+1)
				},
				"wait": func(t *rapid.T) {
					m.now += time.Duration(rapid.IntRange(1, 20_000).Draw(t, "ms")) * time.Millisecond
					m.stores[vm.Draw(t, "sweeps")].Sweep()
				},
				"restart": func(t *rapid.T) { m.restart(vm.Draw(t, "vm")) },
				"":        m.check,
			})
			for _, s := range m.stores {
				s.Sweep()
			}
			m.exchange()
			m.check(t)
			m.converged(t)
		})
	})

	It("do not take an expired fact again while its tombstone is held", func() {
		m := newModel(2)
		m.put(0, "drain/a", "1", time.Second)
		late := m.stores[0].List("")
		m.stores[1].Merge(late)
		m.now += 2 * time.Second
		late[0].Expires = m.now + time.Second // as sent by a VM that was paused
		Expect(m.stores[1].Merge(late)).To(Equal(0))
		m.stores[1].Sweep()
		Expect(m.stores[1].Merge(late)).To(Equal(0))
		Expect(m.stores[1].List("")).To(BeEmpty())
	})
})

var _ = Describe("Store", func() {
	var now time.Duration
	var s *facts.Store
	BeforeEach(func() {
		now = time.Hour
		s = facts.New(facts.Options{Name: "vm0", Incarnation: "a", Now: func() time.Duration { return now }})
	})

	It("ignores facts of its own origin that others send", func() {
		s.Put("vm/vm0", "", time.Minute)
		forged := facts.Fact{Key: "vm/vm0", Origin: s.Origin(), Version: 1000, Value: "leaving", Expires: now + time.Minute}
		Expect(s.Merge([]facts.Fact{forged})).To(Equal(0))
		Expect(s.List("vm/")[0].Value).To(BeEmpty())
	})

	It("bounds the facts of one origin and the bytes of all origins together", func() {
		flood := func(origin string, n int) (taken int) {
			for i := range n {
				taken += s.Merge([]facts.Fact{{
					Key: fmt.Sprint("alive/", i), Origin: origin, Version: 1,
					Value: string(make([]byte, rules.MaxValueBytes)), Expires: now + time.Minute,
				}})
			}
			return taken
		}
		Expect(flood("vm1/x", 5000)).To(BeNumerically("<=", facts.MaxPerOrigin))
		for i := range 100 {
			flood(fmt.Sprint("vm", i, "/y"), 300)
		}
		size := 0
		for _, f := range s.List("") {
			size += f.Size()
		}
		Expect(size).To(BeNumerically("<=", 8<<20))
		By("evicting less urgent facts for an urgent one")
		Expect(s.Merge([]facts.Fact{{Key: "crash/f/1", Origin: "vm9/z", Version: 1, Expires: now + time.Minute}})).To(Equal(1))
	})

	It("notifies watchers of each change once, also of a change made by a watcher", func() {
		var seen []string
		s.Watch("a/", func(f facts.Fact) {
			seen = append(seen, f.Key+f.Value)
			if f.Value == "1" {
				s.Put("a/2", "2", time.Minute)
			}
		})
		s.Put("b/1", "0", time.Minute)
		s.Put("a/1", "1", time.Minute)
		other := facts.Fact{Key: "a/3", Origin: "vm1/x", Version: 1, Value: "3", Expires: now + time.Minute}
		s.Merge([]facts.Fact{other, other})
		Expect(seen).To(Equal([]string{"a/11", "a/22", "a/33"}))
	})
})
