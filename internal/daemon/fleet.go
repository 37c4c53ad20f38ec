package daemon

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/clock"
	"github.com/sardinespindle/sardinespindle/internal/facts"
	"github.com/sardinespindle/sardinespindle/internal/pause"
	"github.com/sardinespindle/sardinespindle/internal/peer"
	"github.com/sardinespindle/sardinespindle/internal/policy/connbudget"
	"github.com/sardinespindle/sardinespindle/internal/policy/delegate"
	"github.com/sardinespindle/sardinespindle/internal/policy/liveness"
	"github.com/sardinespindle/sardinespindle/internal/policy/roster"
	"github.com/sardinespindle/sardinespindle/schema/gen/settings"
)

const (
	// memberPrefix starts the key of the fact by which a VM announces itself; its name follows.
	// The value is a liveness.Announcement.
	memberPrefix = "member/"
	// memberTTL is how long a VM counts as a member after its last announcement. It announces
	// itself each announceInterval on average. Every announcement reaches every VM, so this
	// interval determines the traffic of a large fleet.
	memberTTL        = 2 * time.Minute
	announceInterval = 40 * time.Second
	// lostPrefix starts the key of the fact by which a VM states that another one, whose name
	// follows, is unreachable. The value is a liveness.Statement. It lasts as long as the
	// announcement that it contradicts.
	lostPrefix = "lost/"
	lostTTL    = memberTTL
	// backPrefix starts the key of the fact by which a VM refutes such statements. The value is
	// a liveness.Statement with the number of its new announcement, which spreads more slowly.
	backPrefix = "back/"
	// updateInterval is the time between two updates of the view. Just after its start, a VM
	// uses startUpdateInterval, because it does not know most members yet.
	updateInterval      = 500 * time.Millisecond
	startUpdateInterval = 100 * time.Millisecond
	// convergeTime is the time after its start in which a VM knows too little of the fleet to
	// open connections ahead of need: of 60 VMs that start at once, each knows nine tenths
	// after 1 s (docs/MEASUREMENTS.md).
	convergeTime = time.Second
	// unreachablePrefix starts the key of the fact by which a VM announces that the store does
	// not reply to it. For unreachableTTL other VMs are the readers in its place; then that VM
	// may read again.
	unreachablePrefix = "blind/"
	unreachableTTL    = 4 * time.Second
	// versionPrefix starts the key of the fact by which a VM announces the newest version of
	// the configuration that it has read from the store. versionTTL allows for a VM that
	// learns of the fact by a digest only.
	versionPrefix = "version/"
	versionTTL    = 10 * time.Second
)

// fleet learns of the VMs from seeds and from their announcements. It is safe for concurrent
// use, except that run is called from one goroutine. Requests read a view that is computed in
// advance, so that they take no lock.
type fleet struct {
	node       *peer.Node
	self       delegate.VM
	port       uint16
	started    time.Duration
	seeds      atomic.Pointer[[]settings.Address]
	shardLimit atomic.Int64 // lowest connection limit of the upstreams of shards; 0 if unknown
	evacuating atomic.Bool  // an availability zone is evacuated
	view       atomic.Pointer[fleetView]

	stranded         *ownState       // this VM reaches no upstream
	onStranded       func(vm string) // another VM has lost its path to the upstreams; set before run
	onGatherer       func(is bool)   // this VM became a gatherer or ceased to be one; set before run
	storeUnreachable *ownState       // the store does not reply to this VM

	announceMu sync.Mutex // guards number
	number     int        // of this VM's last announcement

	updating sync.Mutex // held while the roster and the view are computed
}

// fleetView is the fleet as known at one time. It is immutable.
type fleetView struct {
	vms       []delegate.VM // live; this VM included unless it is leaving
	names     []string      // VMs that may be alive, this one included
	mayGather []string      // VMs that may be alive and gather, this one included if it does
	// gatherers are those that reach upstreams and may be given searches, by zone; this VM only if it is
	// the one of its zone.
	gatherers     map[string][]string
	gathererCount int                 // number of gatherers, this VM counted if it is one
	isGatherer    bool                // whether this VM is a gatherer
	showsAble     bool                // see delegate.ShowsAble
	others        map[string][]string // live VMs that reach upstreams and may be given requests, by zone, without this one
	zoneVMs       int                 // number of live VMs in this VM's zone
	stranded      map[string]bool     // VMs that reach no upstream
}

func newFleet(node *peer.Node, self delegate.VM, port uint16, seeds []settings.Address) *fleet {
	f := &fleet{
		node: node, self: self, port: port, started: clock.Boot(), onStranded: func(string) {}, onGatherer: func(bool) {},
		stranded:         &ownState{node: node, prefix: strandedPrefix, ttl: strandedTTL},
		storeUnreachable: &ownState{node: node, prefix: unreachablePrefix, ttl: unreachableTTL},
	}
	f.setSeeds(seeds)
	node.Facts().Watch(lostPrefix+self.Name, func(facts.Fact) { f.refute() })
	node.Facts().Watch(strandedPrefix, func(fact facts.Fact) {
		if f.view.Load().stranded[fact.VM()] != (fact.Value == stateHolds) {
			f.update()
		}
	})
	f.update()
	return f
}

func (f *fleet) setSeeds(seeds []settings.Address) { f.seeds.Store(&seeds) }

// setShardLimits sets the connection limits of the upstreams of shards, by service.
func (f *fleet) setShardLimits(limits map[string]int) {
	least := 0
	for _, l := range limits {
		if l > 0 && (least == 0 || l < least) {
			least = l
		}
	}
	if f.shardLimit.Swap(int64(least)) != int64(least) {
		f.update()
	}
}

// setEvacuating sets whether an availability zone is evacuated: VMs of builds that ignore that are then
// given no requests and are no sources.
func (f *fleet) setEvacuating(evacuating bool) {
	if f.evacuating.Swap(evacuating) != evacuating {
		f.update()
	}
}

// mayDelegate reports whether a VM with an incarnation may be given requests.
func (f *fleet) mayDelegate(incarnation string) bool {
	return !f.evacuating.Load() || liveness.KnowsEvacuations(incarnation)
}

// run announces this VM and keeps the view up to date until ctx ends.
func (f *fleet) run(ctx context.Context) {
	var nextAnnouncement time.Duration
	for {
		if now := clock.Boot(); now >= nextAnnouncement {
			nextAnnouncement = now + pause.Jitter(announceInterval)
			f.announce(0)
		}
		f.stranded.renew()
		f.update()
		interval := updateInterval
		if f.node.JustStarted() {
			interval = startUpdateInterval
		}
		if !pause.Sleep(ctx, interval) {
			return
		}
	}
}

// announce announces this VM with its current number, or with number if that is higher.
func (f *fleet) announce(number int) {
	f.announceMu.Lock()
	defer f.announceMu.Unlock()
	f.number = max(f.number, number)
	a := liveness.Announcement{Number: f.number, Capacity: f.self.Capacity, Zone: f.self.Zone}
	f.node.Facts().Put(memberPrefix+f.self.Name, a.String(), memberTTL)
}

// refute announces this VM anew if another one states that it is unreachable.
func (f *fleet) refute() {
	f.announceMu.Lock()
	number, needed := liveness.Refute(f.node.Incarnation(), f.number, f.statementsOf(lostPrefix)[f.self.Name])
	f.announceMu.Unlock()
	if needed {
		back := liveness.Statement{Incarnation: f.node.Incarnation(), Number: number}
		f.node.Facts().Put(backPrefix+f.self.Name, back.String(), lostTTL)
		f.announce(number)
	}
}

// statementsOf returns the statements in facts of a kind, by the VM that they are about.
func (f *fleet) statementsOf(prefix string) map[string][]liveness.Statement {
	out := map[string][]liveness.Statement{}
	for _, fact := range f.node.Facts().List(prefix) {
		if s, ok := liveness.ParseStatement(fact.Value); ok {
			name := strings.TrimPrefix(fact.Key, prefix)
			out[name] = append(out[name], s)
		}
	}
	return out
}

// announcement returns the announcement in a fact, with the number of its latest refutation in
// back; false if the fact holds none.
func announcement(fact facts.Fact, back map[string][]liveness.Statement) (liveness.Announcement, bool) {
	a, ok := liveness.ParseAnnouncement(fact.Value)
	a.Number = liveness.Latest(fact.Incarnation(), a.Number, back[fact.VM()])
	return a, ok
}

// announced returns the VMs that announced themselves and whose announcement no statement
// contradicts, by name. lost are the others.
func (f *fleet) announced() (known, lost map[string]delegate.VM) {
	known, lost = map[string]delegate.VM{}, map[string]delegate.VM{}
	statements, back := f.statementsOf(lostPrefix), f.statementsOf(backPrefix)
	for _, fact := range f.node.Facts().List(memberPrefix) {
		a, ok := announcement(fact, back)
		if !ok {
			continue
		}
		vm := delegate.VM{
			Name: fact.VM(), Zone: a.Zone, Capacity: a.Capacity, ByVersion: liveness.RunsByVersion(fact.Incarnation()),
			KnowsEvacuations: liveness.KnowsEvacuations(fact.Incarnation()),
		}
		if !liveness.Refuted(fact.Incarnation(), a, statements[fact.VM()]) {
			lost[fact.VM()] = vm
			continue
		}
		// The announcement of the process before may not have expired yet.
		vm.ByVersion = vm.ByVersion || known[fact.VM()].ByVersion
		vm.KnowsEvacuations = vm.KnowsEvacuations || known[fact.VM()].KnowsEvacuations
		known[fact.VM()] = vm
	}
	maps.DeleteFunc(lost, func(name string, _ delegate.VM) bool { return known[name].Name != "" })
	known[f.self.Name] = f.self
	delete(lost, f.self.Name)
	return known, lost
}

// reportLost states that a VM is unreachable, unless another VM has stated so already.
func (f *fleet) reportLost(name string) {
	statements, back := f.statementsOf(lostPrefix)[name], f.statementsOf(backPrefix)
	for _, fact := range f.node.Facts().List(memberPrefix + name) {
		a, ok := announcement(fact, back)
		if ok && fact.VM() == name && liveness.Refuted(fact.Incarnation(), a, statements) {
			s := liveness.Statement{Incarnation: fact.Incarnation(), Number: a.Number}
			f.node.Facts().Put(lostPrefix+name, s.String(), lostTTL)
		}
	}
}

// update computes the roster and the view from the seeds and the announcements.
func (f *fleet) update() {
	f.updating.Lock()
	defer f.updating.Unlock()
	known, lost := f.announced()
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
	f.computeView(known, lost)
}

// computeView computes the view from the VMs that announced themselves and the roster.
func (f *fleet) computeView(known, lost map[string]delegate.VM) {
	names := slices.AppendSeq(slices.Collect(maps.Keys(known)), maps.Keys(lost))
	slices.Sort(names)
	v := &fleetView{names: names, stranded: f.stranded.vms()}
	v.stranded[f.self.Name] = f.stranded.holds()
	v.vms = f.live(known)
	limit := f.gatherLimit(len(v.vms))
	reaching := slices.DeleteFunc(slices.Clone(v.vms), func(vm delegate.VM) bool { return v.stranded[vm.Name] })
	evacuating := f.evacuating.Load()
	receiving := slices.DeleteFunc(slices.Clone(reaching), func(vm delegate.VM) bool { return !vm.MayReceive(evacuating) })
	v.others = namesByZone(receiving, f.self.Name)
	for _, vm := range v.vms {
		if vm.Zone == f.self.Zone {
			v.zoneVMs++
		}
	}
	gatherers := delegate.ChooseGatherers(v.vms, reaching, limit, f.node.JustStarted())
	gatherers = delegate.AddByVersion(gatherers, v.vms, reaching, evacuating)
	v.gathererCount = len(gatherers)
	v.isGatherer = slices.ContainsFunc(gatherers, func(vm delegate.VM) bool { return vm.Name == f.self.Name })
	v.showsAble = delegate.ShowsAble(f.self, v.vms, gatherers)
	v.mayGather = f.mayGather(v.vms, lost, gatherers, limit)
	gatherers = slices.DeleteFunc(gatherers, func(vm delegate.VM) bool { return v.stranded[vm.Name] || !vm.RunsSearches(evacuating) })
	v.gatherers = namesByZone(gatherers, f.self.Name)
	if v.runsSearches(f.self.Name) && len(v.gatherers[f.self.Zone]) == 0 {
		v.gatherers[f.self.Zone] = []string{f.self.Name}
	}
	old := f.view.Swap(v)
	if old != nil && old.isGatherer != v.isGatherer {
		f.onGatherer(v.isGatherer)
	}
	for name, stranded := range v.stranded {
		if stranded && name != f.self.Name && (old == nil || !old.stranded[name]) {
			f.onStranded(name)
		}
	}
}

// live returns the live VMs of those that announced themselves.
func (f *fleet) live(known map[string]delegate.VM) (vms []delegate.VM) {
	for _, m := range f.node.Roster() {
		vm, ok := known[m.Name]
		if !ok || m.State != roster.Live {
			continue
		}
		if m.Incarnation != "" { // that of the process that runs now; announcements may be older
			vm.KnowsEvacuations = liveness.KnowsEvacuations(m.Incarnation)
		}
		vms = append(vms, vm)
	}
	return vms
}

// gatherLimit returns how many connections the upstreams of shards accept from all gatherers, of vms VMs,
// at least.
func (f *fleet) gatherLimit(vms int) int {
	limit := int(f.shardLimit.Load())
	if limit == 0 {
		limit = vms * vms // no shard is known: all VMs may gather
	}
	return max(limit, 1)
}

// runsSearches reports whether self runs searches: it is a gatherer and reaches upstreams.
func (v *fleetView) runsSearches(self string) bool { return v.isGatherer && !v.stranded[self] }

// namesByZone returns the names of VMs but one, by zone.
func namesByZone(vms []delegate.VM, except string) map[string][]string {
	out := map[string][]string{}
	for _, vm := range vms {
		if vm.Name != except {
			out[vm.Zone] = append(out[vm.Zone], vm.Name)
		}
	}
	return out
}

// mayGather returns the names of the gatherers, and of the lost VMs that would be gatherers if they
// were live: to themselves they may be.
func (f *fleet) mayGather(live []delegate.VM, lost map[string]delegate.VM, gatherers []delegate.VM, limit int) (names []string) {
	for _, vm := range gatherers {
		names = append(names, vm.Name)
	}
	if len(lost) == 0 {
		return names
	}
	all := slices.AppendSeq(slices.Clone(live), maps.Values(lost))
	for _, vm := range delegate.Gatherers(all, limit, f.node.JustStarted()) {
		if _, isLost := lost[vm.Name]; isLost {
			names = append(names, vm.Name)
		}
	}
	return names
}

// leave announces that this VM is leaving.
func (f *fleet) leave() { f.node.Facts().Put("vm/"+f.self.Name, "leaving", leavingTTL) }

// size returns how many VMs may be alive, or connbudget.DefaultFleetSize while no other VM is
// known.
func (f *fleet) size() int {
	if n := len(f.names()); n > 1 {
		return n
	}
	return connbudget.DefaultFleetSize
}

// converged reports whether this VM knows enough of the others to open connections ahead of need.
func (f *fleet) converged() bool { return f.learned() || f.view.Load().showsAble }

// learned reports whether this VM has had time to learn of the others.
func (f *fleet) learned() bool { return clock.Boot()-f.started >= convergeTime }

// namesOtherSeeds reports whether the seeds name another VM than this one.
func (f *fleet) namesOtherSeeds() bool {
	return slices.ContainsFunc(*f.seeds.Load(), func(seed settings.Address) bool {
		ap, err := netip.ParseAddrPort(string(seed))
		return err == nil && ap.Addr().String() != f.self.Name
	})
}

// names returns the VMs that may be alive, this one included.
func (f *fleet) names() []string { return f.view.Load().names }

// gatherers returns the names of the gatherers that reach upstreams, by zone, and whether this VM is
// one. This VM is listed only if it is the one of its zone.
func (f *fleet) gatherers() (byZone map[string][]string, self bool) {
	v := f.view.Load()
	return v.gatherers, v.runsSearches(f.self.Name)
}

// gathererCount returns the number of gatherers, or connbudget.DefaultFleetSize while no other VM
// is known, and whether this VM is one.
func (f *fleet) gathererCount() (n int, self bool) {
	v := f.view.Load()
	if len(v.names) <= 1 {
		return connbudget.DefaultFleetSize, true
	}
	return v.gathererCount, v.isGatherer
}

// liveCount returns the number of live VMs that this one knows.
func (f *fleet) liveCount() int { return len(f.view.Load().vms) }

// announceVersion announces the version of the configuration that this VM read from the store.
func (f *fleet) announceVersion(version int) {
	f.node.Facts().Put(versionPrefix+f.self.Name, strconv.Itoa(version), versionTTL)
}

// watchVersions calls fn with each version that another VM announces.
func (f *fleet) watchVersions(fn func(vm string, version int)) {
	f.node.Facts().Watch(versionPrefix, func(fact facts.Fact) {
		version, err := strconv.Atoi(fact.Value)
		if err == nil && fact.VM() != f.self.Name {
			fn(fact.VM(), version)
		}
	})
}

// sources returns where this VM learns the catalog. VMs that announced the store as unreachable
// are left out, unless all did. While a zone is evacuated, so are VMs that don't know evacuations: when the
// store comes back from a copy, they drop one that the copy lacks at once.
func (f *fleet) sources() delegate.Sources {
	unreachable := f.storeUnreachable.vms()
	evacuating := f.evacuating.Load()
	vms := slices.DeleteFunc(slices.Clone(f.view.Load().vms), func(vm delegate.VM) bool { return !vm.MayReceive(evacuating) })
	reaching := except(vms, func(vm delegate.VM) bool { return unreachable[vm.Name] })
	return delegate.ChooseSources(f.self, reaching)
}
