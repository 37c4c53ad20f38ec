package connbudget_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/policy/connbudget"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

// idleModel is one VM's connections to one upstream that closes idle ones. Of several idle
// connections the one used last is taken.
type idleModel struct {
	demand connbudget.Demand
	idle   []time.Duration // since when each connection has been idle, the longest first
	usedAt time.Duration
	dials  int // all
	waits  int // requests that waited for a dial
}

// run plays requests at the given rate for a minute.
func (m *idleModel) run(rng *rand.Rand, perSecond float64) {
	const (
		tick         = 10 * time.Millisecond
		upstreamIdle = 4 * time.Second
		maintenance  = 25 // ticks
	)
	for n := range int(time.Minute / tick) {
		now := time.Duration(n) * tick
		for len(m.idle) > 0 && now-m.idle[0] >= upstreamIdle {
			m.idle = m.idle[1:]
		}
		m.demand.SinceUse = now - m.usedAt
		if n%maintenance == 0 {
			for len(m.idle) < connbudget.Warm(m.demand, 9) {
				m.idle = append([]time.Duration{now}, m.idle...)
				m.dials++
				m.demand.Dialed = true
			}
		}
		if rng.Float64() < perSecond*tick.Seconds() {
			if len(m.idle) == 0 {
				m.waits++
				m.dials++
				m.idle = append(m.idle, now)
			}
			m.idle[len(m.idle)-1] = now
			m.demand.Used, m.demand.Dialed, m.demand.Peak, m.usedAt = true, true, 1, now
		}
	}
}

// Load pattern: a gatherer of a large fleet, connected to 540 upstreams, 180 of them in its own
// zone. It asks these four times a second and the others twice a minute; upstreams close
// connections that were idle for 4 s. Keeping two connections to each open took 2.5 dials a
// second of every 10 upstreams, each of which holds a slot of the upstream for 6 ms.
var _ = Describe("Connections kept open to upstreams that are seldom used", func() {
	It("are opened for fewer than one in 10 requests, and hardly any request waits for one", func() {
		rng := rand.New(rand.NewPCG(uint64(testkit.Seed()), 1))
		near, far := &idleModel{}, &idleModel{}
		for range 180 {
			m := &idleModel{demand: connbudget.Demand{Near: true}}
			m.run(rng, 4)
			near.dials, near.waits = near.dials+m.dials, near.waits+m.waits
		}
		for range 360 {
			m := &idleModel{}
			m.run(rng, 0.033)
			far.dials, far.waits = far.dials+m.dials, far.waits+m.waits
		}
		const requests = 180 * 4 * 60
		Expect(near.dials).To(BeNumerically("<", requests/100))
		Expect(near.waits).To(BeNumerically("<", requests/1000))
		Expect(near.dials + far.dials).To(BeNumerically("<", requests/10))
	})

	It("are not opened again ahead of need once the upstream closed them unused", func() {
		Expect(connbudget.Warm(connbudget.Demand{Near: true}, 9)).To(Equal(2))
		Expect(connbudget.Warm(connbudget.Demand{Near: true, Dialed: true}, 9)).To(BeZero())
		Expect(connbudget.Warm(connbudget.Demand{Near: true, Dialed: true, Used: true, SinceUse: time.Minute, Peak: 3}, 9)).To(BeZero())
		Expect(connbudget.Warm(connbudget.Demand{Used: true, Peak: 3}, 2)).To(Equal(2))
	})
})
