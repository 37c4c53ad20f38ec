package slopes

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/policy/once"
)

const (
	resendWindow = 10 * time.Minute
	orderEvery   = 250 * time.Millisecond
)

// CutResult is the share of orders accepted on both sides of a cut, by a quorum
// of guards and by one home VM a key.
type CutResult struct {
	VMs, Larger                 int
	QuorumLarger, QuorumSmaller float64
	HomeVMLarger, HomeVMSmaller float64
	// Twice counts orders that both sides accepted; it must be 0.
	Twice int
}

// RollingResult is what callers meet while the whole fleet is replaced once.
type RollingResult struct {
	// VMs in the fleet, replaced one after the other.
	VMs   int
	Every time.Duration
	// Renamed says that a newcomer has a name of its own.
	Renamed bool
	// Graceful says that a VM tells the others that it leaves.
	Graceful bool
	// Orders sent with fresh keys, and the share accepted.
	Orders   int
	Accepted float64
	// Resends of accepted orders at the end, and the share that got the outcome.
	Resends  int
	Replayed float64
	// Twice counts resends that won a claim on a key that had run; it must be 0.
	Twice int
}

// guardVM is one modelled VM.
type guardVM struct {
	name  string
	side  int
	guard *once.Guard
	view  *once.View
}

// claimModel is a fleet with an exact clock and instant messages.
type claimModel struct {
	p    once.Params
	now  time.Time
	vms  []*guardVM
	next int
}

func newClaimModel(n int) *claimModel {
	p := once.Defaults()
	p.MaxKeys = 1 << 20
	p.MaxBytes = 1 << 30
	m := &claimModel{p: p, now: time.UnixMilli(1_700_000_000_000)}
	for range n {
		m.vms = append(m.vms, m.start(fmt.Sprintf("vm%d", len(m.vms))))
	}
	m.now = m.now.Add(time.Hour)
	m.observe()
	return m
}

func (m *claimModel) start(name string) *guardVM {
	return &guardVM{name: name, guard: once.NewGuard(m.p, m.now), view: once.NewView(m.p, 1<<16)}
}

// observe lets every VM see the whole list.
func (m *claimModel) observe() {
	names := make([]string, 0, len(m.vms))
	for _, v := range m.vms {
		names = append(names, v.name)
	}
	for _, v := range m.vms {
		v.view.Observe(m.now, names)
	}
}

func (m *claimModel) members(v *guardVM, born time.Time) []string {
	names, _ := v.view.Members(born)
	return names
}

// replace ends a VM, with a word of leaving or without, and admits another.
func (m *claimModel) replace(i int, name string, graceful bool) {
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

// claim is one round through a VM; where it wins, the outcome is recorded.
func (m *claimModel) claim(at *guardVM, key string, born time.Time) once.Result {
	m.next++
	claimant := fmt.Sprintf("%s/1/%d", at.name, m.next)
	b := once.NewBallot(m.p, m.members(at, born), len(m.vms))
	for _, v := range m.vms {
		if v.side != at.side {
			b.Miss(v.name)
			continue
		}
		c := once.Claim{Key: key, Fingerprint: "f", Claimant: claimant, Born: born, Window: resendWindow}
		b.Add(v.name, v.guard.Claim(m.now, c, once.Standing{Votes: true}), m.members(v, born))
	}
	for _, v := range m.vms {
		switch {
		case v.side != at.side:
		case b.Result() == once.Won:
			v.guard.Record(m.now, key, claimant, "f", "{}", born)
		default:
			v.guard.Release(m.now, key, claimant, born)
		}
	}
	return b.Result()
}

// ClaimsCut measures fresh orders on both sides of a cut that leaves larger of n
// VMs together; each is resent through the other side.
func ClaimsCut(n, larger, orders int, seed uint64) CutResult {
	m := newClaimModel(n)
	rng := rand.New(rand.NewPCG(seed, uint64(n)))
	for _, v := range m.vms[larger:] {
		v.side = 1
	}
	sides := [2][]*guardVM{m.vms[:larger], m.vms[larger:]}
	var quorum, home [2]float64
	r := CutResult{VMs: n, Larger: larger}
	for i := range 2 * orders {
		side := i % len(sides)
		if len(sides[side]) == 0 {
			continue
		}
		m.now = m.now.Add(orderEvery)
		m.observe()
		key := "till/" + keyAt(m.now, i)
		wins := 0
		if m.claim(anyOf(rng, sides[side]), key, m.now) == once.Won {
			quorum[side]++
			wins++
		}
		if anyOf(rng, m.vms).side == side {
			home[side]++
		}
		if other := sides[1-side]; len(other) > 0 && m.claim(anyOf(rng, other), key, m.now) == once.Won {
			wins++
		}
		r.Twice += max(0, wins-1)
	}
	each := float64(orders)
	r.QuorumLarger, r.QuorumSmaller = quorum[0]/each, quorum[1]/each
	r.HomeVMLarger, r.HomeVMSmaller = home[0]/each, home[1]/each
	return r
}

func anyOf(rng *rand.Rand, vms []*guardVM) *guardVM { return vms[rng.IntN(len(vms))] }

// ClaimsRolling measures fresh orders, and resends at the end, while each of n
// VMs is replaced in turn by a process that remembers nothing.
func ClaimsRolling(n int, every time.Duration, renamed, graceful bool, seed uint64) RollingResult {
	m := newClaimModel(n)
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
		for end := m.now.Add(every); m.now.Before(end); m.now = m.now.Add(orderEvery) {
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
			r.Twice++
		}
	}
	r.Replayed /= float64(max(1, r.Resends))
	return r
}
