package bench

import (
	"context"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sardinespindle/sardinespindle/platform/standin"
)

// fault is one kind of fault; it returns once it is over.
type fault struct {
	name string
	do   func(ctx context.Context, rng *rand.Rand) error
}

// torment lets actors break things at random until the time is up: two on VMs, one each on
// what servers do, on which servers there are, on links, and on store and configuration.
func (s *soak) torment(ctx context.Context, rng *rand.Rand) error {
	vms := []fault{{"pause", s.pauseFault}, {"kill", s.killFault}, {"stop", s.stopFault}, {"hup", s.hupFault}}
	actors := [][]fault{
		vms, vms,
		{{"mood", s.moodFault}},
		{{"replace", s.replaceFault}, {"reuse", s.reuseFault}},
		{{"link", s.linkFault}, {"reset", s.resetFault}},
		{{"store", s.storeFault}, {"forget", s.forgetFault}, {"config", s.configFault}, {"config", s.configFault}},
	}
	group, ctx := errgroup.WithContext(ctx)
	for _, faults := range actors {
		own := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		steps := make([]step, len(faults))
		for i, f := range faults {
			steps[i] = func(ctx context.Context, rng *rand.Rand) error {
				s.evidence.count(f.name)
				return f.do(ctx, rng)
			}
		}
		group.Go(func() error { return act(ctx, steps, own, s.o.Duration) })
	}
	return group.Wait()
}

func (s *soak) someVM(rng *rand.Rand) *soakVM { return s.vms[rng.IntN(len(s.vms))] }

func between(rng *rand.Rand, least, most int) time.Duration {
	return time.Duration(least+rng.IntN(most-least)) * time.Millisecond
}

// pauseFault stops a VM's process for a while.
func (s *soak) pauseFault(_ context.Context, rng *rand.Rand) error {
	vm, d := s.someVM(rng), between(rng, 100, 2500)
	vm.life.Lock()
	defer vm.life.Unlock()
	vm.leave()
	defer vm.back()
	return vm.proc.pause(d)
}

// killFault ends a VM without warning and starts it again, now and then at once.
func (s *soak) killFault(ctx context.Context, rng *rand.Rand) error {
	vm, d := s.someVM(rng), between(rng, 0, 1500)
	vm.life.Lock()
	defer vm.life.Unlock()
	vm.mu.Lock()
	vm.kills = append(vm.kills, Span{From: time.Now(), To: time.Now().Add(lateSlack)})
	vm.mu.Unlock()
	if err := s.down(vm, vm.proc.kill); err != nil {
		return err
	}
	time.Sleep(d)
	return s.startVM(ctx, vm)
}

// stopFault stops a VM as planned, at times with a second signal, and starts it again.
func (s *soak) stopFault(ctx context.Context, rng *rand.Rand) error {
	vm := s.someVM(rng)
	vm.life.Lock()
	defer vm.life.Unlock()
	if rng.IntN(2) == 0 {
		again := time.AfterFunc(secondSignal, func() { _ = vm.proc.signal(syscall.SIGTERM) })
		defer again.Stop()
	}
	if err := s.down(vm, func() error { return s.stopVM(vm) }); err != nil {
		return err
	}
	return s.startVM(ctx, vm)
}

// down ends a VM. One that has ended by itself before is a violation.
func (s *soak) down(vm *soakVM, end func() error) error {
	if !vm.proc.alive() {
		s.evidence.violate(endedByItself, "%s ended by itself: %v", vm.name, vm.proc.exit())
	}
	vm.leave()
	defer vm.back()
	return end()
}

func (s *soak) hupFault(_ context.Context, rng *rand.Rand) error {
	vm := s.someVM(rng)
	vm.life.Lock()
	defer vm.life.Unlock()
	return vm.proc.signal(syscall.SIGHUP)
}

// moodFault makes some servers misbehave for a while.
func (s *soak) moodFault(_ context.Context, rng *rand.Rand) error {
	moods := []mood{
		{Slow: 50 * time.Millisecond}, {Slow: 3 * time.Second}, {Fail: true}, {Lose: 0.3}, {Lose: 1}, {Garble: true}, {Crossed: true},
	}
	var broken []*soakServer
	for range 1 + rng.IntN(3) {
		sv := s.servers[rng.IntN(len(s.servers))]
		m := moods[rng.IntN(len(moods))]
		sv.mood.Store(&m)
		broken = append(broken, sv)
	}
	time.Sleep(between(rng, 200, 2000))
	for _, sv := range broken {
		sv.mood.Store(&mood{})
	}
	return nil
}

// Times of servers that go, as the users publish them.
const (
	soakApply = 3 * time.Second
	soakReuse = 2 * time.Second
)

// replaceFault drains a server; another one takes its place.
func (s *soak) replaceFault(_ context.Context, rng *rand.Rand) error {
	i := rng.IntN(len(s.servers))
	old := s.servers[i].now.Load()
	s.servers[i].state("draining")
	s.evidence.drained(old.ID)
	time.Sleep(soakApply + between(rng, 300, 800))
	s.store.Remove(standin.EntryKey(old.ID))
	s.servers[i].birth(i)
	return nil
}

// reuseFault ends a server without warning; its address goes to a server of another service
// for a while.
func (s *soak) reuseFault(_ context.Context, rng *rand.Rand) error {
	i := rng.IntN(len(s.servers))
	other := (i + soakReplicas) % len(s.servers)
	sv := s.servers[i]
	for _, as := range []int{other, i} {
		old := sv.now.Load()
		sv.link.setFault(linkFault{Cut: true})
		s.store.Remove(standin.EntryKey(old.ID))
		s.evidence.drained(old.ID)
		time.Sleep(soakReuse)
		sv.birth(as)
		sv.link.setFault(linkFault{})
		time.Sleep(between(rng, 200, 800))
	}
	return nil
}

// linkFault breaks the link to a server or of a VM to the store.
func (s *soak) linkFault(_ context.Context, rng *rand.Rand) error {
	faults := []linkFault{
		{Cut: true}, {SilentTo: true}, {SilentBack: true}, {SilentTo: true, SilentBack: true},
		{Delay: 20 * time.Millisecond}, {Delay: 200 * time.Millisecond},
	}
	f, d := faults[rng.IntN(len(faults))], between(rng, 100, 2500)
	if rng.IntN(3) == 0 {
		s.outage(s.someVM(rng).store, f, d)
		return nil
	}
	r := s.servers[rng.IntN(len(s.servers))].link
	r.setFault(f)
	time.Sleep(d)
	r.setFault(linkFault{})
	return nil
}

// outage breaks the way of VMs to the store for a while, and takes note of it.
func (s *soak) outage(r *relay, f linkFault, d time.Duration) {
	defer s.beginOutage()()
	r.setFault(f)
	time.Sleep(d)
	r.setFault(linkFault{})
}

// beginOutage notes that the store answers some VM badly, until the returned function is
// called.
func (s *soak) beginOutage() (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := len(s.outages)
	s.outages = append(s.outages, Span{From: time.Now()})
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.outages[i].To = time.Now().Add(soakApply)
	}
}

func (s *soak) resetFault(_ context.Context, rng *rand.Rand) error {
	s.servers[rng.IntN(len(s.servers))].link.reset()
	return nil
}

// storeFault makes the store answer all VMs badly.
func (s *soak) storeFault(_ context.Context, rng *rand.Rand) error {
	status := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[rng.IntN(2)]
	defer s.beginOutage()()
	s.store.Instead(func(w http.ResponseWriter, _ *http.Request) bool {
		w.WriteHeader(status)
		return true
	})
	time.Sleep(between(rng, 200, 2500))
	s.store.Instead(nil)
	return nil
}

func (s *soak) forgetFault(context.Context, *rand.Rand) error {
	s.store.Forget()
	return nil
}

// configFault adds a route, and checks that all VMs that could know of it serve it in time.
func (s *soak) configFault(context.Context, *rand.Rand) error {
	s.mu.Lock()
	s.version++
	path := "/extra-" + time.Now().Format("150405.000000") + "/"
	s.extra = append(s.extra, path)
	s.mu.Unlock()
	s.publish()
	begun := time.Now()
	time.Sleep(soakApply + lateSlack)
	s.mu.Lock()
	out := during(s.outages, begun, time.Now())
	s.mu.Unlock()
	client := &http.Client{Timeout: soakDeadline + replySlack}
	defer client.CloseIdleConnections()
	for _, vm := range s.vms {
		q := soakSeen{id: path + vm.name, kind: "extra", vm: vm}
		s.do(client, &q, path+"x")
		if q.status == http.StatusNotFound && !out && !vm.wasAway(begun, q.end) {
			s.evidence.violate(configLate, "%s answers 404 to a route %v after it was published", vm.name, time.Since(begun).Round(time.Millisecond))
		}
	}
	return nil
}

// heal ends all faults that last.
func (s *soak) heal() {
	s.store.Instead(nil)
	for _, vm := range s.vms {
		vm.store.setFault(linkFault{})
	}
	for _, sv := range s.servers {
		sv.link.setFault(linkFault{})
		sv.mood.Store(&mood{})
	}
}
