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
	"sync/atomic"
	"time"

	"github.com/pelletier/go-toml/v2"
	"golang.org/x/sync/errgroup"

	"github.com/sardinespindle/sardinespindle/internal/relay"
	"github.com/sardinespindle/sardinespindle/platform/standin"
	"github.com/sardinespindle/sardinespindle/schema/gen/settings"
)

// SoakOptions configures the run of one seed of the soak on the users' platform.
type SoakOptions struct {
	BinDir string
	Dir    string
	Seed   uint64
	VMs    int
	// Shards is the number of shards of a search, DefaultSoakShards to MaxSoakShards. From 48 on,
	// gatherers run searches in groups.
	Shards   int
	Duration time.Duration
	// Disable names mechanisms to switch off, to show that the soak then finds violations.
	Disable []string
}

// SoakResult summarizes the run of one seed.
type SoakResult struct {
	Seed       uint64
	Requests   int
	Answered   int            // with status 200
	Shed       int            // with status 503
	Runs       int            // at servers, of all requests
	Faults     map[string]int // injected, by name
	Violations map[string]int // by name
	Examples   []string
}

// Total is the number of violations.
func (r *SoakResult) Total() (n int) {
	for _, k := range r.Violations {
		n += k
	}
	return n
}

// Sizes and times of the platform that the soak simulates.
const (
	// The names of shards and of servers hold two digits for the shard.
	DefaultSoakShards = 4
	MaxSoakShards     = 99
	soakReplicas      = 3
	soakOrderServers  = 3
	soakConnections   = 60
	// fewConnections lets only some VMs gather; those of lowCapacity do not.
	fewConnections = 12
	fewGatherers   = 3
	lowCapacity    = 0.2
	soakSeedVMs    = 3
	soakZones      = 2
	// peerLinkPort plus the index of a VM is the port of its links to the others.
	peerLinkPort = 8100
	// serverNet and relayNet are the third octets of the addresses of the servers and of
	// the relays to them.
	serverNet = 10
	relayNet  = 11
	// A stopping daemon keeps serving for soakLingerMs, since the balancer lags by a second.
	// It must end within soakGraceMs in all.
	soakLingerMs = 1500
	soakGraceMs  = 6000
)

// soakVM is one VM of the fleet and the daemon that runs on it.
type soakVM struct {
	name, zone   string
	settingsFile string
	storeLink    *relay.Relay   // link from the VM to the store
	serverLinks  []*relay.Relay // links from the VM to the servers
	peerLinks    []*relay.Relay // links from the VM to each other VM; nil for itself
	lifecycle    sync.Mutex     // held while a fault stops, pauses, signals or restarts the VM

	unavailable spanLog // while the VM was paused, stopped or starting
	cutOff      spanLog // while links to other VMs were broken

	mu    sync.Mutex // guards the fields below
	proc  *process
	kills []Span // kills without warning
}

// soak is a running fleet and the stand-ins of the users' platform that it works with.
type soak struct {
	*Cluster // provides addresses and calls; its own processes are not started
	opts     SoakOptions
	store    *standin.Store
	vms      []*soakVM
	servers  []*soakServer
	evidence *evidence
	closers  []func()
	outages  spanLog // while the store failed for some VM
	// doublesSome says that all servers send one in twiceEvery of their replies as under the fault Doubled.
	doublesSome atomic.Bool
	// breaksSome says that all servers send one in brokenEvery of their replies with an invalid head.
	breaksSome atomic.Bool
	deadly     deadlyLog

	mu          sync.Mutex // guards the rest
	version     int
	extraPaths  []string // paths of the routes that configFault added
	below       belowSearch
	halved      bool // the search has only the later half of the shards
	notices     []*notice
	strandings  []stranding
	evacuations []evacuation
}

// Soak runs one seed: it starts a fleet of daemons, sends requests, injects faults
// into VMs, servers, links and the store, and checks what callers and servers saw.
func Soak(ctx context.Context, o SoakOptions) (*SoakResult, error) {
	if o.Shards < 1 || o.Shards > MaxSoakShards {
		return nil, fmt.Errorf("soak: %d shards, want 1 to %d", o.Shards, MaxSoakShards)
	}
	s := &soak{
		opts: o, Cluster: &Cluster{Options: Options{BinDir: o.BinDir, Dir: o.Dir}, http: &http.Client{Timeout: callTimeout}},
		store: standin.NewStore(), evidence: newEvidence(o.Shards), version: 1,
		deadly: deadlyLog{arrivals: map[string][]deadlyArrival{}},
	}
	defer s.close()
	if err := s.start(ctx); err != nil {
		return nil, fmt.Errorf("soak, seed %d: %w", o.Seed, err)
	}
	rng := rand.New(rand.NewPCG(o.Seed, 0))
	callers, stop := context.WithCancel(ctx)
	defer stop()
	var calling sync.WaitGroup
	calling.Go(func() { s.sendLoad(callers, rand.New(rand.NewPCG(o.Seed, 1))) })
	for i, sv := range s.servers {
		calling.Go(func() { sv.sendHeartbeats(callers, rand.New(rand.NewPCG(o.Seed, uint64(2+i)))) })
	}
	s.doublesSome.Store(s.opts.Seed%twiceSeeds == 1)
	s.breaksSome.Store(true)
	err := s.injectFaults(ctx, rng)
	s.clearFaults()
	s.checkRecovery(ctx)
	stop()
	calling.Wait()
	s.checkMemory()
	if err := errors.Join(err, s.stopAll()); err != nil {
		return nil, fmt.Errorf("soak, seed %d: %w", o.Seed, err)
	}
	s.checkNotices()
	s.checkStrandings()
	s.checkEvacuations()
	s.checkDeadly()
	return s.evidence.evaluate(o.Seed, s.outages.all()), nil
}

func (s *soak) start(ctx context.Context) error {
	if err := s.reserveNet(ctx); err != nil {
		return err
	}
	if err := os.MkdirAll(s.opts.Dir, dirMode); err != nil {
		return fmt.Errorf("directory: %w", err)
	}
	if err := s.serve(ctx, s.address(1, 250, platformPort), s.store); err != nil {
		return err
	}
	for i := range s.opts.Shards*soakReplicas + soakOrderServers {
		if err := s.addServer(ctx, i); err != nil {
			return err
		}
	}
	s.publish()
	for i := range s.opts.VMs {
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

// serve listens on an address and serves a stand-in until close.
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

func (s *soak) addVM(ctx context.Context, i int) error {
	vm := &soakVM{name: s.ip(0, i+1), zone: fmt.Sprintf("zone-%d", i%soakZones)}
	var err error
	storeAddress := s.address(1, i+1, platformPort)
	if vm.storeLink, err = s.startRelay(ctx, storeAddress, s.address(1, 250, platformPort)); err != nil {
		return err
	}
	if err := s.addPeerLinks(ctx, vm, i); err != nil {
		return err
	}
	if err := s.addServerLinks(ctx, vm, i); err != nil {
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
		Fleet:   &settings.Fleet{Capacity: s.capacity(i)},
		Repeats: &settings.Repeats{Ratio: soakRatio, Slack: soakSlack, WindowSeconds: soakWindow.Seconds()},
		Log:     &settings.Log{Level: settings.LogLevelInfo, Format: settings.LogFormatJson},
		Stop:    &settings.Stop{LingerMs: soakLingerMs, GraceMs: soakGraceMs},
	}
	for n := range min(soakSeedVMs, s.opts.VMs) {
		set.Fleet.Seeds = append(set.Fleet.Seeds, settings.Address(s.address(0, n+1, peerPort)))
	}
	set.Experiment = &settings.Experiment{Policy: settings.ExperimentPolicyCurrent, PeerPort: peerLinkPort + i, BindUpstreams: true, UpstreamPortOffset: i + 1}
	for _, m := range s.opts.Disable {
		set.Experiment.Disable = append(set.Experiment.Disable, settings.ExperimentDisableElem(m))
	}
	body, err := toml.Marshal(set)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	vm.settingsFile = filepath.Join(s.opts.Dir, vm.name+".toml")
	if err := os.WriteFile(vm.settingsFile, body, fileMode); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	s.vms = append(s.vms, vm)
	return nil
}

// fewGather reports whether only some VMs gather; in the other half of the seeds all do.
func (s *soak) fewGather() bool { return s.opts.Seed%2 == 0 }

func (s *soak) connections() int {
	if s.fewGather() {
		return fewConnections
	}
	return soakConnections
}

// capacity returns the capacity of VM i.
func (s *soak) capacity(i int) float64 {
	if s.fewGather() && i >= fewGatherers {
		return lowCapacity
	}
	return 1
}

func (s *soak) callers(vm *soakVM) string { return fmt.Sprintf("%s:%d", vm.name, callerPort) }
func (s *soak) admin(vm *soakVM) string   { return fmt.Sprintf("%s:%d", vm.name, adminPort) }

// startVM starts a VM and waits until it is ready or its process ends; the VM counts as
// unavailable until then.
func (s *soak) startVM(ctx context.Context, vm *soakVM) error {
	defer vm.markUnavailable()()
	p, err := start(s.opts.Dir, vm.name, filepath.Join(s.BinDir, "sardinespindle"), "--settings", vm.settingsFile)
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

// markUnavailable records that the VM is unavailable until end is called.
func (vm *soakVM) markUnavailable() (end func()) { return vm.unavailable.begin(0) }

// markCutOff records that links from or to the VM are broken until end is called.
func (vm *soakVM) markCutOff() (end func()) { return vm.cutOff.begin(0) }

// wasCutOff reports whether links from or to the VM were broken at any time from a to b.
func (vm *soakVM) wasCutOff(a, b time.Time) bool { return vm.cutOff.overlaps(a, b) }

// wasUnavailable reports whether the VM was unavailable at any time from a to b.
func (vm *soakVM) wasUnavailable(a, b time.Time) bool { return vm.unavailable.overlaps(a, b) }

// stopAll stops all VMs with SIGTERM and records those that had ended by themselves.
func (s *soak) stopAll() error {
	group := errgroup.Group{}
	for _, vm := range s.vms {
		group.Go(func() error {
			if !vm.proc.alive() {
				s.evidence.recordViolation(endedByItself, "%s ended by itself: %v", vm.name, vm.proc.exitError())
				return nil
			}
			return s.stopVM(vm)
		})
	}
	return group.Wait()
}

// maxMemoryMB is the memory of the users' smallest VM.
const maxMemoryMB = 136

// checkMemory looks for VMs whose processes have used too much memory since they started.
func (s *soak) checkMemory() {
	for _, vm := range s.vms {
		if mb, err := peakMB(vm.proc.cmd.Process.Pid); err == nil && mb > maxMemoryMB {
			s.evidence.recordViolation(tooMuchMemory, "%s used %.0f MB, at most %d", vm.name, mb, maxMemoryMB)
		}
	}
}

// stopVM stops a VM with SIGTERM and records a violation if it fails or exceeds its grace
// time.
func (s *soak) stopVM(vm *soakVM) error {
	start := time.Now()
	err := vm.proc.stop()
	if took := time.Since(start); err != nil || took > soakGraceMs*time.Millisecond+deadlineSlack {
		s.evidence.recordViolation(uncleanStop, "%s took %v to stop: %v", vm.name, took.Round(time.Millisecond), err)
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

// publish writes the current configuration to the store.
func (s *soak) publish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.Put(standin.ConfigKey, s.config())
}

func (s *soak) shardNames() (names []string) {
	for i := range s.opts.Shards {
		names = append(names, fmt.Sprintf("shard-%d", i))
	}
	return names
}

// soakSeedsText lists seeds whose run once had violations, one per line, each followed by
// the cause.
//
//go:embed soak_seeds.txt
var soakSeedsText string

// SoakRegressions returns the seeds whose run once had violations.
func SoakRegressions() (seeds []uint64) {
	for line := range strings.Lines(soakSeedsText) {
		var seed uint64
		if n, err := fmt.Sscan(line, &seed); n == 1 && err == nil {
			seeds = append(seeds, seed)
		}
	}
	return seeds
}
