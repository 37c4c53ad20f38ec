package daemon

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/admission"
	"github.com/sardinespindle/sardinespindle/internal/callers"
	"github.com/sardinespindle/sardinespindle/internal/claims"
	"github.com/sardinespindle/sardinespindle/internal/clock"
	"github.com/sardinespindle/sardinespindle/internal/facts"
	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/peer"
	"github.com/sardinespindle/sardinespindle/internal/platform"
	"github.com/sardinespindle/sardinespindle/internal/poison"
	"github.com/sardinespindle/sardinespindle/internal/policy/roster"
	"github.com/sardinespindle/sardinespindle/internal/rollout"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
	peergen "github.com/sardinespindle/sardinespindle/schema/gen/peer"
	"github.com/sardinespindle/sardinespindle/schema/gen/settings"
)

const (
	headerTimeout = 5 * time.Second
	// maxPeerHeaderBytes bounds the head of a request that opens a connection between VMs.
	maxPeerHeaderBytes = 8 << 10
	// leavingTTL is how long the other VMs know that this one is leaving.
	leavingTTL = 60 * time.Second
	// drainMargin is added to the longest deadline to wait for requests in flight.
	drainMargin = 5 * time.Second
	// leaveTimeout bounds the withdrawal from votes on claims.
	leaveTimeout = time.Second
)

// wireFleet creates the parts that communicate with the platform and with other VMs.
func (d *Daemon) wireFleet() error {
	ip, err := netip.ParseAddrPort(string(d.s.Listen.Peers))
	if err != nil {
		return err
	}
	d.platform = platform.New(platform.Options{
		Addresses:  addresses(d.s.Platform.Addresses),
		LocalIP:    net.IP(ip.Addr().AsSlice()),
		Registerer: d.registry,
	})
	d.node = peer.New(peer.Options{
		Name:        d.s.Name,
		Zone:        d.s.Zone,
		Incarnation: d.incarnation,
		Started:     d.started,
		ListenIP:    ip.Addr().String(),
		Generation:  func() (int, string) { return d.keeper.Head() },
		Log:         d.log,
		Registerer:  d.registry,
	})
	d.keeper = rollout.New(rollout.Options{
		Peers:      peers{d},
		Source:     d.platform,
		Relay:      d.relay,
		Wait:       time.Duration(d.s.Platform.WatchSeconds) * time.Second,
		Apply:      d.apply,
		Unchecked:  !d.mechanisms.On(settings.ExperimentDisableElemGeneration),
		Log:        d.log,
		Registerer: d.registry,
	})
	d.claims = claims.New(claims.Options{
		VM:          d.s.Name,
		Incarnation: d.incarnation,
		Started:     time.Now(),
		Call:        d.node.Call,
		Roster:      d.claimants,
		ListAge:     d.listAge,
		Generation:  func() int { n, _ := d.keeper.Head(); return n },
		Mechanisms:  d.mechanisms,
		Log:         d.log,
		Registerer:  d.registry,
	})
	d.poison = poison.New(poison.Options{
		VM:         d.s.Name,
		Fleet:      d.node,
		Now:        clock.Boot,
		Disabled:   !d.mechanisms.On(settings.ExperimentDisableElemPoison),
		Log:        d.log,
		Registerer: d.registry,
		Hears: func(ctx context.Context, since time.Duration, except []string) bool {
			return d.upstreams.Hears(ctx, since, except)
		},
	})
	return nil
}

// wireRequests creates the parts that serve callers and send requests to upstreams.
func (d *Daemon) wireRequests() error {
	var err error
	d.upstreams, err = upstream.New(upstream.Options{
		VM:            d.s.Name,
		Zone:          d.s.Zone,
		Mechanisms:    d.mechanisms,
		VMs:           d.countVMs,
		Members:       d.memberNames,
		Log:           d.log,
		Registerer:    d.registry,
		OnDrainChange: d.report,
	})
	if err != nil {
		return err
	}
	d.admission = admission.New(admission.Options{
		VMs:        d.countVMs,
		Disabled:   d.mechanisms.Baseline(),
		Registerer: d.registry,
	})
	d.callers = callers.New(callers.Options{
		Manifest:   d.keeper.Current,
		Ready:      d.ready,
		Searcher:   d.newSearcher(),
		Runner:     d.newRunner(),
		Admission:  d.admission,
		Log:        d.log,
		Registerer: d.registry,
	})
	return nil
}

// subscribe registers the handlers of requests and facts from other VMs.
func (d *Daemon) subscribe() {
	d.node.Handle(d.keeper.Handle)
	d.node.Handle(d.claims.Handle)
	d.node.Facts().Watch(rollout.HeadFact, func(f facts.Fact) {
		d.keeper.ReceiveFact(context.Background(), f.VM(), f.Value)
	})
	d.node.Facts().Watch(drainPrefix, d.learnDrain)
	d.node.Facts().Watch(notDrainingPrefix, d.learnNotDraining)
}

// apply puts a manifest into force.
func (d *Daemon) apply(m *manifest.Manifest) {
	d.upstreams.Apply(m)
	d.admission.Apply(m)
}

func addresses(as []settings.Address) []string {
	out := make([]string, len(as))
	for i, a := range as {
		out[i] = string(a)
	}
	return out
}

// countVMs returns how many VMs may be alive: live, leaving or lately removed.
func (d *Daemon) countVMs() int { return max(1, len(d.node.Roster())) }

// relay reports whether this VM watches the platform: as a relay, or because it knows of no
// other VM.
func (d *Daemon) relay() bool { return d.node.Relay() || d.countVMs() == 1 }

func (d *Daemon) memberNames() []string {
	var names []string
	for _, m := range d.node.Roster() {
		names = append(names, m.Name)
	}
	return names
}

func (d *Daemon) claimants() []claims.Member {
	var out []claims.Member
	for _, m := range d.node.Roster() {
		out = append(out, claims.Member{Name: m.Name})
	}
	return out
}

// peers gives the keeper of manifests access to the other VMs.
type peers struct{ d *Daemon }

// Call sends a message to a VM and returns its reply.
func (p peers) Call(ctx context.Context, vm string, m *peergen.Message) (*peergen.Message, error) {
	return p.d.node.Call(ctx, vm, m)
}

// Names returns the other live VMs, those of this VM's zone first.
func (p peers) Names() []string {
	var sameZone, otherZones []string
	for _, m := range p.d.node.Roster() {
		switch {
		case m.Name == p.d.s.Name || m.State != roster.Live:
		case m.Zone == p.d.s.Zone:
			sameZone = append(sameZone, m.Name)
		default:
			otherZones = append(otherZones, m.Name)
		}
	}
	return append(sameZone, otherZones...)
}

// Put publishes a fact of this VM, which expires after ttl.
func (p peers) Put(key, value string, ttl time.Duration) { p.d.node.Facts().Put(key, value, ttl) }
