package bench

import (
	"context"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sardinespindle/sardinespindle/internal/relay"
)

// drillSeeds is the number of seeds of which one has drills of the store. Checks of configurations
// and drains do not count around a drill, so the other seeds have none.
const drillSeeds = 3

// calmSeeds is the number of seeds of which one has servers that name limits, leave or want a pause,
// and VMs that are cut off from all servers. Other faults of a VM or of its links to other VMs excuse it there, so in these
// seeds only the first faultyVMs of the VMs have any.
const (
	calmSeeds = 5
	faultyVMs = 2
)

// fault is one kind of fault; inject returns once the fault is over.
type fault struct {
	name   string
	inject func(ctx context.Context, rng *rand.Rand) error
}

// injectFaults runs actors that inject faults at random until the duration is over: two each for
// VMs and for links between VMs, and one each for misbehaving servers, for replaced servers, for
// links to servers, for the store with its configuration, and for routes and shards of searches. A fault listed twice is drawn twice as often.
// In seeds with requests that end servers, those take the place of replaced servers and of broken links to servers and
// between VMs.
// In calm seeds, servers with notices and VMs that are cut off from all servers take
// the place of broken links between VMs and of evacuated zones.
func (s *soak) injectFaults(ctx context.Context, rng *rand.Rand) error {
	vms := []fault{{"pause", s.pauseFault}, {"kill", s.killFault}, {"stop", s.stopFault}, {"hup", s.reloadFault}}
	store := []fault{{"store", s.storeFault}, {"forget", s.compactFault}, {"config", s.configFault}, {"config", s.configFault}}
	if s.opts.Seed%drillSeeds == 0 {
		store = []fault{{"drill", s.drillFault}, {"drill", s.drillFault}, {"config", s.configFault}, {"store", s.storeFault}}
	}
	actors := [][]fault{
		vms, vms,
		{{"mood", s.misbehaveFault}},
		{{"replace", s.replaceFault}, {"reuse", s.reuseFault}},
		{{"link", s.linkFault}, {"reset", s.resetFault}},
		store,
	}
	if s.hasDeadly() {
		actors = slices.Replace(actors, 3, 5, []fault{{"deadly", s.deadlyFault}})
	}
	if s.isCalm() {
		actors = append(actors,
			[]fault{{"limit", s.limitFault}, {"leaving", s.leavingFault}, {"pause notice", s.pauseNoticeFault}},
			[]fault{{"strand", s.strandFault}})
	} else if !s.hasDeadly() {
		actors = append(actors, []fault{{"peers", s.peersFault}}, []fault{{"peers", s.peersFault}})
	}
	actors = append(actors, []fault{{"route below", s.routeBelowFault}, {"repartition", s.repartitionFault}})
	if !s.isCalm() {
		actors = append(actors, []fault{{"evacuate", s.evacuationFault}})
	}
	group, ctx := errgroup.WithContext(ctx)
	for _, faults := range actors {
		own := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		steps := make([]faultFunc, len(faults))
		for i, f := range faults {
			steps[i] = func(ctx context.Context, rng *rand.Rand) error {
				s.evidence.countFault(f.name)
				return f.inject(ctx, rng)
			}
		}
		group.Go(func() error { return runActor(ctx, steps, own, s.opts.Duration) })
	}
	return group.Wait()
}

// isCalm reports whether the seed is one of calmSeeds.
func (s *soak) isCalm() bool { return s.opts.Seed%calmSeeds == 0 }

// randomVM returns a VM for a fault.
func (s *soak) randomVM(rng *rand.Rand) *soakVM {
	n := len(s.vms)
	if s.isCalm() || s.hasDeadly() {
		n = min(n, faultyVMs)
	}
	return s.vms[rng.IntN(n)]
}

// randomDuration returns a duration from minMs up to, but not including, maxMs.
func randomDuration(rng *rand.Rand, minMs, maxMs int) time.Duration {
	return time.Duration(minMs+rng.IntN(maxMs-minMs)) * time.Millisecond
}

// pauseFault suspends a VM's process for a while.
func (s *soak) pauseFault(_ context.Context, rng *rand.Rand) error {
	vm, d := s.randomVM(rng), randomDuration(rng, 100, 2500)
	vm.lifecycle.Lock()
	defer vm.lifecycle.Unlock()
	defer vm.markUnavailable()()
	return vm.proc.pause(d)
}

// killFault kills a VM without warning and restarts it up to 1.5 s later.
func (s *soak) killFault(ctx context.Context, rng *rand.Rand) error {
	vm, d := s.randomVM(rng), randomDuration(rng, 0, 1500)
	vm.lifecycle.Lock()
	defer vm.lifecycle.Unlock()
	vm.mu.Lock()
	vm.kills = append(vm.kills, Span{From: time.Now(), To: time.Now().Add(deadlineSlack)})
	vm.mu.Unlock()
	if err := s.endVM(vm, vm.proc.kill); err != nil {
		return err
	}
	time.Sleep(d)
	return s.startVM(ctx, vm)
}

// stopFault stops a VM with SIGTERM, half of the time with a second SIGTERM, and restarts it.
func (s *soak) stopFault(ctx context.Context, rng *rand.Rand) error {
	vm := s.randomVM(rng)
	vm.lifecycle.Lock()
	defer vm.lifecycle.Unlock()
	if rng.IntN(2) == 0 {
		again := time.AfterFunc(secondSignalDelay, func() { _ = vm.proc.signal(syscall.SIGTERM) })
		defer again.Stop()
	}
	if err := s.endVM(vm, func() error { return s.stopVM(vm) }); err != nil {
		return err
	}
	return s.startVM(ctx, vm)
}

// endVM ends a VM by the given function. It records a violation if the process had already
// ended by itself.
func (s *soak) endVM(vm *soakVM, end func() error) error {
	if !vm.proc.alive() {
		s.evidence.recordViolation(endedByItself, "%s ended by itself: %v", vm.name, vm.proc.exitError())
	}
	defer vm.markUnavailable()()
	return end()
}

func (s *soak) reloadFault(_ context.Context, rng *rand.Rand) error {
	vm := s.randomVM(rng)
	vm.lifecycle.Lock()
	defer vm.lifecycle.Unlock()
	return vm.proc.signal(syscall.SIGHUP)
}

// misbehaveFault makes up to a third of the servers misbehave for a while.
func (s *soak) misbehaveFault(_ context.Context, rng *rand.Rand) error {
	faults := []serverFault{
		{Slow: 50 * time.Millisecond}, {Slow: 300 * time.Millisecond}, {Slow: 3 * time.Second}, {Fail: true}, {LoseShare: 0.3}, {LoseShare: 1}, {Truncate: true}, {Crossed: true}, {Endless: true}, {Doubled: true}, {Doubled: true},
	}
	var affected []*soakServer
	for range 1 + rng.IntN(len(s.servers)/3) {
		sv := s.servers[rng.IntN(len(s.servers))]
		f := faults[rng.IntN(len(faults))]
		sv.fault.Store(&f)
		affected = append(affected, sv)
	}
	time.Sleep(randomDuration(rng, 200, 2000))
	for _, sv := range affected {
		sv.fault.Store(&serverFault{})
	}
	return nil
}

// Times of servers that leave, as the users publish them: soakApplyTime is how soon VMs
// have to apply a published change, soakReuseDelay how soon an address may be reused.
const (
	soakApplyTime  = 3 * time.Second
	soakReuseDelay = 2 * time.Second
	// soakHeartbeat is the longest time after which servers write their entries again.
	soakHeartbeat = 1200 * time.Millisecond
)

// replaceFault drains a server, removes it, and starts another one at its address.
func (s *soak) replaceFault(_ context.Context, rng *rand.Rand) error {
	i := rng.IntN(len(s.servers))
	old := s.servers[i].current.Load()
	s.servers[i].publishState("draining")
	s.evidence.recordDrain(old.ID)
	time.Sleep(soakApplyTime + randomDuration(rng, 300, 800))
	s.servers[i].remove()
	s.servers[i].startServer(i)
	return nil
}

// reuseFault ends a server without warning and gives its address for a while to a server of
// another service, or of the same one if it is the first of the orders servers.
func (s *soak) reuseFault(_ context.Context, rng *rand.Rand) error {
	i := rng.IntN(len(s.servers))
	other := (i + soakReplicas) % len(s.servers)
	sv := s.servers[i]
	for _, as := range []int{other, i} {
		old := sv.current.Load()
		end := sv.broken.begin(0)
		sv.link.SetFault(relay.Fault{Cut: true})
		sv.remove()
		s.evidence.recordDrain(old.ID)
		time.Sleep(soakReuseDelay)
		sv.startServer(as)
		sv.link.SetFault(relay.Fault{})
		end()
		time.Sleep(randomDuration(rng, 200, 800))
	}
	return nil
}

// linkFault breaks the link to a server, or that from a VM to the store.
func (s *soak) linkFault(_ context.Context, rng *rand.Rand) error {
	faults := []relay.Fault{
		{Cut: true}, {StallToTarget: true}, {StallFromTarget: true}, {StallToTarget: true, StallFromTarget: true},
		{Delay: 20 * time.Millisecond}, {Delay: 200 * time.Millisecond},
	}
	f, d := faults[rng.IntN(len(faults))], randomDuration(rng, 100, 2500)
	if rng.IntN(3) == 0 {
		s.breakStoreLink(s.randomVM(rng).storeLink, f, d)
		return nil
	}
	sv := s.servers[rng.IntN(len(s.servers))]
	defer sv.broken.begin(0)()
	sv.link.SetFault(f)
	time.Sleep(d)
	sv.link.SetFault(relay.Fault{})
	return nil
}

// peersFault breaks the links between a VM and about half of the others, in both directions or in
// one, while all of them reach the store and the servers.
func (s *soak) peersFault(_ context.Context, rng *rand.Rand) error {
	faults := []relay.Fault{
		{StallToTarget: true, StallFromTarget: true}, {StallToTarget: true}, {StallFromTarget: true}, {Delay: 150 * time.Millisecond},
	}
	f, d := faults[rng.IntN(len(faults))], randomDuration(rng, 150, 1200)
	one := rng.IntN(len(s.vms))
	defer s.vms[one].markCutOff()()
	var links []*relay.Relay
	for n, vm := range s.vms {
		if n == one || rng.IntN(2) == 0 {
			continue
		}
		defer vm.markCutOff()()
		links = append(links, s.vms[one].peerLinks[n], vm.peerLinks[one])
	}
	relay.SetFaults(links, f)
	time.Sleep(d)
	relay.SetFaults(links, relay.Fault{})
	return nil
}

func (s *soak) resetFault(_ context.Context, rng *rand.Rand) error {
	sv := s.servers[rng.IntN(len(s.servers))]
	defer sv.broken.begin(0)()
	sv.link.Reset()
	return nil
}

// clearFaults ends the faults of the store, the links and the servers.
func (s *soak) clearFaults() {
	s.doublesSome.Store(false)
	s.breaksSome.Store(false)
	s.store.Intercept(nil)
	s.endEvacuations()
	for _, vm := range s.vms {
		vm.storeLink.SetFault(relay.Fault{})
		relay.SetFaults(vm.serverLinks, relay.Fault{})
		relay.SetFaults(vm.peerLinks, relay.Fault{})
	}
	for _, sv := range s.servers {
		sv.link.SetFault(relay.Fault{})
		sv.fault.Store(&serverFault{})
	}
}
