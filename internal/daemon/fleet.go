package daemon

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/clock"
	"github.com/sardinespindle/sardinespindle/internal/pause"
	"github.com/sardinespindle/sardinespindle/internal/peer"
	"github.com/sardinespindle/sardinespindle/internal/policy/connbudget"
	"github.com/sardinespindle/sardinespindle/internal/policy/delegate"
	"github.com/sardinespindle/sardinespindle/internal/policy/roster"
	"github.com/sardinespindle/sardinespindle/schema/gen/settings"
)

const (
	// memberKey is the fact by which a VM tells that it is there; its value holds the zone
	// and the capacity.
	memberKey = "member/"
	// memberTTL is how long a VM counts that is not heard of, restated each memberRefresh.
	// The facts of all VMs reach all VMs, so the interval sets the bytes of a large fleet.
	memberTTL     = 30 * time.Second
	memberRefresh = 9 * time.Second
	// memberLook is the time between two looks at the members; newcomerLook is the same for
	// a VM that started lately, to which each member is news.
	memberLook   = 500 * time.Millisecond
	newcomerLook = 100 * time.Millisecond
	// settleTime is how long after its start a VM knows too little of the fleet to open
	// connections ahead of need: of 60 VMs that start at once each knows nine tenths after
	// 1 s (docs/MEASUREMENTS.md).
	settleTime = time.Second
	// mostReaders is the number of VMs that read the platform's store for all.
	mostReaders = 2
	// blindKey is the fact by which a VM tells that the store does not answer it; others
	// read in its place for blindTTL, after which it is asked to try again.
	blindKey = "blind/"
	blindTTL = 4 * time.Second
	isBlind  = "yes"
)

// fleet knows the VMs by seeds and by what they say of themselves. What requests ask of
// it is computed at each look, so that they take no lock.
type fleet struct {
	node  *peer.Node
	self  delegate.VM
	port  uint16
	begun time.Duration
	seeds atomic.Pointer[[]settings.Address]
	limit atomic.Int64 // fewest connections that an upstream of a shard accepts; 0 for none known
	view  atomic.Pointer[fleetView]

	updating   sync.Mutex    // held while the view is computed
	blindUntil time.Duration // this VM's word that the store does not answer it; one goroutine's
}

// fleetView is the fleet at one look. It is immutable.
type fleetView struct {
	vms       []delegate.VM // live, this one included
	names     []string      // those that may be alive
	gatherers map[string][]string
	gathering int
	self      bool // this VM gathers
}

func newFleet(node *peer.Node, self delegate.VM, port uint16, seeds []settings.Address) *fleet {
	f := &fleet{node: node, self: self, port: port, begun: clock.Boot()}
	f.setSeeds(seeds)
	f.update()
	return f
}

func (f *fleet) setSeeds(seeds []settings.Address) { f.seeds.Store(&seeds) }

// setLimit takes the connections that upstreams of shards accept.
func (f *fleet) setLimit(limits map[string]int) {
	least := 0
	for _, l := range limits {
		if l > 0 && (least == 0 || l < least) {
			least = l
		}
	}
	if f.limit.Swap(int64(least)) != int64(least) {
		f.update()
	}
}

func (f *fleet) run(ctx context.Context) {
	var stated time.Duration
	for {
		if now := clock.Boot(); stated == 0 || now-stated >= memberRefresh {
			stated = now
			f.node.Facts().Put(memberKey+f.self.Name, fmt.Sprintf("%g %s", f.self.Capacity, f.self.Zone), memberTTL)
		}
		f.update()
		look := memberLook
		if f.node.Newcomer() {
			look = newcomerLook
		}
		if !pause.For(ctx, look) {
			return
		}
	}
}

// update makes the roster and the view of what is known.
func (f *fleet) update() {
	f.updating.Lock()
	defer f.updating.Unlock()
	known := map[string]delegate.VM{f.self.Name: f.self}
	for _, fact := range f.node.Facts().List(memberKey) {
		vm := delegate.VM{Name: fact.VM()}
		if _, err := fmt.Sscanf(fact.Value, "%g %s", &vm.Capacity, &vm.Zone); err == nil {
			known[vm.Name] = vm
		}
	}
	zones := make(map[string]string, len(known))
	for name, vm := range known {
		zones[name] = vm.Zone
	}
	for _, seed := range *f.seeds.Load() {
		if ap, err := netip.ParseAddrPort(string(seed)); err == nil && zones[ap.Addr().String()] == "" {
			zones[ap.Addr().String()] = ""
		}
	}
	f.node.SetMembers(zones, func(name string) string { return net.JoinHostPort(name, strconv.Itoa(int(f.port))) })
	f.look(known)
}

// look computes the view.
func (f *fleet) look(known map[string]delegate.VM) {
	v := &fleetView{gatherers: map[string][]string{}, names: slices.Sorted(maps.Keys(known))}
	for _, m := range f.node.Roster() {
		if vm, ok := known[m.Name]; ok && m.State == roster.Live {
			v.vms = append(v.vms, vm)
		}
	}
	limit := int(f.limit.Load())
	if limit == 0 {
		limit = len(v.vms) * len(v.vms) // no shard known: all may gather
	}
	for _, vm := range delegate.Gatherers(v.vms, max(limit, 1)) {
		v.gathering++
		if vm.Name == f.self.Name {
			v.self = true
			continue
		}
		v.gatherers[vm.Zone] = append(v.gatherers[vm.Zone], vm.Name)
	}
	if v.self && len(v.gatherers[f.self.Zone]) == 0 {
		v.gatherers[f.self.Zone] = []string{f.self.Name}
	}
	f.view.Store(v)
}

func (f *fleet) leave() { f.node.Facts().Put("vm/"+f.self.Name, "leaving", leavingTTL) }

// size returns how many VMs may be alive; the unknown fleet's while none was heard of.
func (f *fleet) size() int {
	if n := len(f.names()); n > 1 {
		return n
	}
	return connbudget.UnknownFleet
}

// settled reports whether this VM has had time to hear of the others.
func (f *fleet) settled() bool { return clock.Boot()-f.begun >= settleTime }

func (f *fleet) names() []string { return f.view.Load().names }

// gatherers names the VMs that run searches, by zone.
func (f *fleet) gatherers() (byZone map[string][]string, self bool) {
	v := f.view.Load()
	return v.gatherers, v.self
}

// gatherCount returns how many VMs run searches and whether this one does.
func (f *fleet) gatherCount() (n int, self bool) {
	v := f.view.Load()
	if len(v.names) <= 1 {
		return connbudget.UnknownFleet, true
	}
	return v.gathering, v.self
}

// setBlind tells the fleet whether the store answers this VM.
func (f *fleet) setBlind(blind bool) {
	now := clock.Boot()
	switch {
	case blind && f.blindUntil-now < blindTTL/2:
		f.blindUntil = now + blindTTL
		f.node.Facts().Put(blindKey+f.self.Name, isBlind, blindTTL)
	case !blind && f.blindUntil > now:
		f.blindUntil = 0
		f.node.Facts().Put(blindKey+f.self.Name, "", blindTTL)
	}
}

// sources returns the VMs that this one learns from what is published, and whether it reads
// the store itself. VMs that the store does not answer come into it only where it answers
// none.
func (f *fleet) sources() (vms []string, self bool) {
	blind := map[string]bool{}
	for _, fact := range f.node.Facts().List(blindKey) {
		blind[fact.VM()] = fact.Value == isBlind
	}
	all := f.view.Load().vms
	seeing := slices.DeleteFunc(slices.Clone(all), func(vm delegate.VM) bool { return blind[vm.Name] })
	if len(seeing) == 0 {
		seeing = all
	}
	return delegate.Sources(f.self, seeing, mostReaders)
}
