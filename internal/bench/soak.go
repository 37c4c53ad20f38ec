package bench

import (
	"context"
	_ "embed" // the seeds
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/pelletier/go-toml/v2"
	"golang.org/x/sync/errgroup"

	"github.com/sardinespindle/sardinespindle/platform/standin"
	"github.com/sardinespindle/sardinespindle/schema/gen/settings"
)

// SoakOptions says how one seed of the soak of the users' platform is played.
type SoakOptions struct {
	BinDir   string
	Dir      string
	Seed     uint64
	VMs      int
	Duration time.Duration
	// Disable names mechanisms that are off, to show that the soak can fail.
	Disable []string
}

// SoakResult is what one seed showed.
type SoakResult struct {
	Seed       uint64
	Requests   int
	Answered   int
	Refused    int
	Runs       int
	Faults     map[string]int
	Violations map[string]int
	Examples   []string
}

// Total is the number of violations.
func (r *SoakResult) Total() (n int) {
	for _, k := range r.Violations {
		n += k
	}
	return n
}

// Sizes and times of the platform that the soak plays.
const (
	soakShards      = 4
	soakReplicas    = 2
	soakOrders      = 3
	soakConnections = 60
	soakSeeds       = 3
	soakZones       = 2
	// serverNet and proxyNet are the third octets of the servers and of the relays to them.
	serverNet = 10
	proxyNet  = 11
	// The daemon's own times: the balancer lags one second, and a stop has six.
	soakLingerMs = 1500
	soakGraceMs  = 6000
)

// soakVM is one VM under soak.
type soakVM struct {
	name, zone string
	settings   string
	store      *relay     // between the VM and the store
	life       sync.Mutex // held while the VM is stopped, paused or started

	mu    sync.Mutex // guards proc and away
	proc  *process
	away  []Span // times in which the VM was paused, ended or starting
	kills []Span // times of kills without warning
}

// soak is a running fleet on stand-ins of the users' platform.
type soak struct {
	*Cluster // addresses only
	o        SoakOptions
	store    *standin.Store
	vms      []*soakVM
	servers  []*soakServer
	evidence *evidence
	closers  []func()

	mu      sync.Mutex // guards the rest
	version int
	extra   []string // paths of routes that were added
	outages []Span   // times in which the store answered some VM badly
}

// Soak plays one seed: a fleet of daemons, callers, and faults from outside.
func Soak(ctx context.Context, o SoakOptions) (*SoakResult, error) {
	s := &soak{
		o: o, Cluster: &Cluster{Options: Options{BinDir: o.BinDir, Dir: o.Dir}, http: &http.Client{Timeout: callTimeout}},
		store: standin.NewStore(), evidence: newEvidence(), version: 1,
	}
	defer s.close()
	if err := s.start(ctx); err != nil {
		return nil, fmt.Errorf("soak, seed %d: %w", o.Seed, err)
	}
	rng := rand.New(rand.NewPCG(o.Seed, 0))
	callers, stop := context.WithCancel(ctx)
	defer stop()
	var calling sync.WaitGroup
	calling.Go(func() { s.call(callers, rand.New(rand.NewPCG(o.Seed, 1))) })
	err := s.torment(ctx, rng)
	s.heal()
	s.recovered(ctx)
	stop()
	calling.Wait()
	if err := errors.Join(err, s.end()); err != nil {
		return nil, fmt.Errorf("soak, seed %d: %w", o.Seed, err)
	}
	return s.evidence.result(o.Seed, s.outages), nil
}

func (s *soak) start(ctx context.Context) error {
	if err := s.takeNet(ctx); err != nil {
		return err
	}
	if err := os.MkdirAll(s.o.Dir, dirMode); err != nil {
		return fmt.Errorf("directory: %w", err)
	}
	if err := s.serve(ctx, s.address(1, 250, platformPort), s.store); err != nil {
		return err
	}
	for i := range soakShards*soakReplicas + soakOrders {
		if err := s.addServer(ctx, i); err != nil {
			return err
		}
	}
	s.publish()
	for i := range s.o.VMs {
		if err := s.addVM(ctx, i); err != nil {
			return err
		}
	}
	group, gctx := errgroup.WithContext(ctx)
	for _, vm := range s.vms {
		group.Go(func() error { return s.startVM(gctx, vm) })
	}
	return group.Wait()
}

// serve serves a stand-in of this process.
func (s *soak) serve(ctx context.Context, address string, h http.Handler) error {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("stand-in: %w", err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	s.closers = append(s.closers, func() { _ = srv.Close() })
	go func() { _ = srv.Serve(l) }()
	return nil
}

func (s *soak) proxy(ctx context.Context, address, target string) (*relay, error) {
	from, _, err := net.SplitHostPort(target)
	if err != nil {
		return nil, fmt.Errorf("relay to %s: %w", target, err)
	}
	r, err := newRelay(ctx, address, target, from)
	if err == nil {
		s.closers = append(s.closers, r.close)
	}
	return r, err
}

func (s *soak) addVM(ctx context.Context, i int) error {
	vm := &soakVM{name: s.ip(0, i+1), zone: fmt.Sprintf("zone-%d", i%soakZones)}
	var err error
	storeAddress := s.address(1, i+1, platformPort)
	if vm.store, err = s.proxy(ctx, storeAddress, s.address(1, 250, platformPort)); err != nil {
		return err
	}
	set := settings.Settings{
		Name: vm.name, Zone: vm.zone,
		Listen: settings.Listen{
			Callers: settings.Address(s.callers(vm)), Peers: settings.Address(fmt.Sprintf("%s:%d", vm.name, peerPort)),
			Admin: settings.Address(s.admin(vm)),
		},
		Platform: settings.Platform{
			Kind: settings.PlatformKindCatalog, Addresses: []settings.Address{settings.Address(storeAddress)}, WatchSeconds: 30,
		},
		Fleet:   &settings.Fleet{Capacity: 1},
		Repeats: &settings.Repeats{Ratio: soakRatio, Slack: soakSlack, WindowSeconds: soakWindow.Seconds()},
		Log:     &settings.Log{Level: settings.LogLevelInfo, Format: settings.LogFormatJson},
		Stop:    &settings.Stop{LingerMs: soakLingerMs, GraceMs: soakGraceMs},
	}
	for n := range min(soakSeeds, s.o.VMs) {
		set.Fleet.Seeds = append(set.Fleet.Seeds, settings.Address(s.address(0, n+1, peerPort)))
	}
	if len(s.o.Disable) > 0 {
		set.Experiment = &settings.Experiment{Policy: settings.ExperimentPolicyCurrent}
		for _, m := range s.o.Disable {
			set.Experiment.Disable = append(set.Experiment.Disable, settings.ExperimentDisableElem(m))
		}
	}
	body, err := toml.Marshal(set)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	vm.settings = filepath.Join(s.o.Dir, vm.name+".toml")
	if err := os.WriteFile(vm.settings, body, fileMode); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	s.vms = append(s.vms, vm)
	return nil
}

func (s *soak) callers(vm *soakVM) string { return fmt.Sprintf("%s:%d", vm.name, callerPort) }
func (s *soak) admin(vm *soakVM) string   { return fmt.Sprintf("%s:%d", vm.name, adminPort) }

// startVM starts a VM and waits until it is ready; it counts as away until then.
func (s *soak) startVM(ctx context.Context, vm *soakVM) error {
	vm.leave()
	defer vm.back()
	p, err := start(s.o.Dir, vm.name, filepath.Join(s.BinDir, "sardinespindle"), "--settings", vm.settings)
	if err != nil {
		return err
	}
	vm.mu.Lock()
	vm.proc = p
	vm.mu.Unlock()
	return s.wait(ctx, vm.name, func() bool { return !p.alive() || s.ready(ctx, vm) })
}

func (s *soak) ready(ctx context.Context, vm *soakVM) bool {
	return s.get(ctx, "http://"+s.admin(vm)+"/ready", nil) == nil
}

func (vm *soakVM) leave() {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.away = append(vm.away, Span{From: time.Now()})
}

func (vm *soakVM) back() {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.away[len(vm.away)-1].To = time.Now()
}

// wasAway reports whether the VM was away at any time between two moments.
func (vm *soakVM) wasAway(a, b time.Time) bool {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return during(vm.away, a, b)
}

// end stops all VMs as planned and looks at how they ended.
func (s *soak) end() error {
	group := errgroup.Group{}
	for _, vm := range s.vms {
		group.Go(func() error {
			if !vm.proc.alive() {
				s.evidence.violate(endedByItself, "%s ended by itself: %v", vm.name, vm.proc.exit())
				return nil
			}
			return s.stopVM(vm)
		})
	}
	return group.Wait()
}

// stopVM stops a VM as planned. It has its grace time and no more.
func (s *soak) stopVM(vm *soakVM) error {
	begun := time.Now()
	err := vm.proc.stop()
	if took := time.Since(begun); err != nil || took > soakGraceMs*time.Millisecond+lateSlack {
		s.evidence.violate(uncleanStop, "%s took %v to stop: %v", vm.name, took.Round(time.Millisecond), err)
	}
	return nil
}

func (s *soak) close() {
	for _, vm := range s.vms {
		if vm.proc != nil && vm.proc.alive() {
			_ = vm.proc.kill()
		}
	}
	for _, f := range s.closers {
		f()
	}
	if s.lock != nil {
		_ = s.lock.Close()
	}
}

// publish writes the configuration in force.
func (s *soak) publish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.Put(standin.ConfigKey, standin.Config(s.version, soakShardNames(), s.extra, soakConnections))
}

func soakShardNames() (names []string) {
	for i := range soakShards {
		names = append(names, fmt.Sprintf("shard-%d", i))
	}
	return names
}

// soakSeedsText holds the seeds that failed once, one a line with the cause after it.
//
//go:embed soak_seeds.txt
var soakSeedsText string

// SoakRegressions returns the seeds that failed once.
func SoakRegressions() (seeds []uint64) {
	for line := range strings.Lines(soakSeedsText) {
		var seed uint64
		if n, err := fmt.Sscan(line, &seed); n == 1 && err == nil {
			seeds = append(seeds, seed)
		}
	}
	return seeds
}
