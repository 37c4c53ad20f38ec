package slopes

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/policy/once"
)

const (
	resendWindow  = 10 * time.Minute
	orderInterval = 250 * time.Millisecond
)

// CutResult holds the shares of orders accepted on each side of a network partition: by
// a quorum of guards, and, for comparison, by one home VM per key.
type CutResult struct {
	// Larger is the number of VMs on the larger side.
	VMs, Larger                 int
	QuorumLarger, QuorumSmaller float64
	HomeVMLarger, HomeVMSmaller float64
	// RanTwice counts orders that both sides accepted; it must be 0.
	RanTwice int
}

// RollingResult is the outcome of orders while every VM is replaced once.
type RollingResult struct {
	VMs int
	// Every is the time between two replacements.
	Every time.Duration
	// Renamed says that a replacement has a new name.
	Renamed bool
	// Graceful says that a VM announces that it leaves. It has no effect on a VM whose
	// replacement has the same name.
	Graceful bool
	// Orders counts orders with new keys; Accepted is the share accepted.
	Orders   int
	Accepted float64
	// Resends counts accepted orders sent again at the end, within their resend
	// window; Replayed is the share that received the recorded outcome.
	Resends  int
	Replayed float64
	// RanTwice counts resends that won a claim although their order had run; it must
	// be 0.
	RanTwice int
}

// simulatedVM is one VM of a simulation. Only VMs of the same side can communicate.
type simulatedVM struct {
	name  string
	side  int
	guard *once.Guard
	view  *once.View
}

// claimSimulation simulates a fleet that shares one exact clock and delivers
// messages at once. It is not safe for concurrent use.
type claimSimulation struct {
	p      once.Params
	now    time.Time
	vms    []*simulatedVM
	claims int
}

func newClaimSimulation(n int) *claimSimulation {
	p := once.DefaultParams()
	p.MaxKeys = 1 << 20
	p.MaxBytes = 1 << 30
	m := &claimSimulation{p: p, now: time.UnixMilli(1_700_000_000_000)}
	for range n {
		m.vms = append(m.vms, m.start(fmt.Sprintf("vm%d", len(m.vms))))
	}
	m.now = m.now.Add(time.Hour)
	m.observe()
	return m
}

func (m *claimSimulation) start(name string) *simulatedVM {
	return &simulatedVM{name: name, guard: once.NewGuard(m.p, m.now), view: once.NewView(m.p, 1<<16)}
}

// observe gives every VM the whole VM list.
func (m *claimSimulation) observe() {
	names := make([]string, 0, len(m.vms))
	for _, v := range m.vms {
		names = append(names, v.name)
	}
	for _, v := range m.vms {
		v.view.Observe(m.now, names)
	}
}

func (m *claimSimulation) members(v *simulatedVM, born time.Time) []string {
	names, _ := v.view.Members(born)
	return names
}

// replace ends the i-th VM and admits a new process under the given name. With
// graceful, the old VM announces that it leaves, unless the new one has its name.
func (m *claimSimulation) replace(i int, name string, graceful bool) {
	old := m.vms[i]
	m.vms[i] = m.start(name)
	known := old.view.Present(m.now)
	m.vms[i].view.Observe(m.now, append(known, name))
	m.vms[i].guard.Admit(m.now)
	for _, v := range m.vms {
		v.view.Join(m.now, name, name)
		if graceful && name != old.name {
			v.view.Leave(m.now, old.name, "")
		}
	}
}

// claim claims a key through one VM. Every guard on its side then records the outcome
// if the claim won, and releases the key otherwise.
func (m *claimSimulation) claim(via *simulatedVM, key string, born time.Time) once.Result {
	m.claims++
	claimant := fmt.Sprintf("%s/1/%d", via.name, m.claims)
	b := once.NewBallot(m.p, m.members(via, born), len(m.vms))
	for _, v := range m.vms {
		if v.side != via.side {
			b.NoReply(v.name)
			continue
		}
		c := once.Claim{Key: key, Fingerprint: "f", Claimant: claimant, Born: born, Window: resendWindow}
		b.Add(v.name, v.guard.Claim(m.now, c, once.GuardState{Votes: true}), m.members(v, born))
	}
	for _, v := range m.vms {
		switch {
		case v.side != via.side:
		case b.Result() == once.Won:
			v.guard.Record(m.now, key, claimant, "f", "{}", born)
		default:
			v.guard.Release(m.now, key, claimant, born)
		}
	}
	return b.Result()
}

// ClaimsCut simulates a partition of n VMs into sides of larger and n-larger VMs. The
// given number of new orders is sent to each side, alternately, and every order is
// resent through the other side.
func ClaimsCut(n, larger, orders int, seed uint64) CutResult {
	m := newClaimSimulation(n)
	rng := rand.New(rand.NewPCG(seed, uint64(n)))
	for _, v := range m.vms[larger:] {
		v.side = 1
	}
	sides := [2][]*simulatedVM{m.vms[:larger], m.vms[larger:]}
	var quorum, home [2]float64
	r := CutResult{VMs: n, Larger: larger}
	for i := range 2 * orders {
		side := i % len(sides)
		if len(sides[side]) == 0 {
			continue
		}
		m.now = m.now.Add(orderInterval)
		m.observe()
		key := "till/" + keyAt(m.now, i)
		wins := 0
		if m.claim(randomVM(rng, sides[side]), key, m.now) == once.Won {
			quorum[side]++
			wins++
		}
		// The home VM of a key may be any VM, and accepts orders from its own side only.
		if randomVM(rng, m.vms).side == side {
			home[side]++
		}
		if other := sides[1-side]; len(other) > 0 && m.claim(randomVM(rng, other), key, m.now) == once.Won {
			wins++
		}
		r.RanTwice += max(0, wins-1)
	}
	each := float64(orders)
	r.QuorumLarger, r.QuorumSmaller = quorum[0]/each, quorum[1]/each
	r.HomeVMLarger, r.HomeVMSmaller = home[0]/each, home[1]/each
	return r
}

func randomVM(rng *rand.Rand, vms []*simulatedVM) *simulatedVM { return vms[rng.IntN(len(vms))] }

// ClaimsRolling simulates new orders while each of n VMs is replaced in turn by a
// process without state, and resends of the accepted orders at the end.
func ClaimsRolling(n int, every time.Duration, renamed, graceful bool, seed uint64) RollingResult {
	m := newClaimSimulation(n)
	rng := rand.New(rand.NewPCG(seed, uint64(n)))
	r := RollingResult{VMs: n, Every: every, Renamed: renamed, Graceful: graceful}
	type order struct {
		key  string
		born time.Time
	}
	var accepted []order
	for i := range n {
		name := m.vms[i].name
		if renamed {
			name = fmt.Sprintf("new%d", i)
		}
		m.replace(i, name, graceful)
		for end := m.now.Add(every); m.now.Before(end); m.now = m.now.Add(orderInterval) {
			m.observe()
			o := order{"till/" + keyAt(m.now, r.Orders), m.now}
			r.Orders++
			if m.claim(m.vms[rng.IntN(n)], o.key, o.born) == once.Won {
				accepted = append(accepted, o)
			}
		}
	}
	r.Accepted = float64(len(accepted)) / float64(r.Orders)
	for _, o := range accepted {
		if m.now.Sub(o.born) > resendWindow {
			continue
		}
		r.Resends++
		switch m.claim(m.vms[rng.IntN(n)], o.key, o.born) {
		case once.Known:
			r.Replayed++
		case once.Won:
			r.RanTwice++
		}
	}
	r.Replayed /= float64(max(1, r.Resends))
	return r
}
