// Package slopes measures how the cost of a part grows with the fleet's size, for
// the capacity page. It runs many VMs' parts in one process over loopback addresses.
package slopes

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sys/unix"

	"github.com/sardinespindle/sardinespindle/internal/clock"
	"github.com/sardinespindle/sardinespindle/internal/facts"
	"github.com/sardinespindle/sardinespindle/internal/peer"
	"github.com/sardinespindle/sardinespindle/schema/gen/platform"
)

// Settings of the measurement.
const (
	// factsPerSecond are stated in the whole fleet in the loaded half.
	factsPerSecond = 10
	factTTL        = 30 * time.Second
	restatedBytes  = 100
	settleTime     = 2 * time.Second
	settleLimit    = 60 * time.Second
	// maxNodes keeps the loopback addresses and open files within bounds.
	maxNodes = 400
)

// FleetResult is what a fleet of one size cost. Figures a VM are means.
type FleetResult struct {
	VMs         int     `json:"vms"`
	Seconds     float64 `json:"seconds"`
	Facts       int     `json:"facts"`
	Connections float64 `json:"connections_per_vm"`
	// Bytes sent a second, WebSocket frames and heartbeats included.
	IdleBytes   float64 `json:"idle_bytes_per_vm_second"`
	LoadedBytes float64 `json:"loaded_bytes_per_vm_second"`
	// Share of one core.
	IdleCPU   float64 `json:"idle_cpu_per_vm"`
	LoadedCPU float64 `json:"loaded_cpu_per_vm"`
	// Bytes sent a second where each VM restates one fact of 100 bytes each second.
	RestatedBytes float64 `json:"restated_bytes_per_vm_second"`
	// RestatedFresh is the share of those that is known in one of the last versions.
	RestatedFresh float64 `json:"restated_fresh"`
	// Memory in use.
	Memory float64 `json:"memory_bytes_per_vm"`
	// Time from stating a fact until it is known to half of the VMs and to all.
	ReachHalfMs float64 `json:"reach_half_ms_p50"`
	ReachAllMs  float64 `json:"reach_all_ms_p50"`
	ReachMaxMs  float64 `json:"reach_all_ms_max"`
	// Missed counts facts that did not reach every VM in time.
	Missed int `json:"missed"`
	// SpreadMs is the time of a spread to every VM.
	SpreadMs float64 `json:"spread_ms_p50"`
}

// Fleet runs n VMs for d, the first half without facts and the second with facts
// stated at random VMs, and returns what it cost.
func Fleet(n int, d time.Duration, seed uint64) (FleetResult, error) {
	if n < 2 || n > maxNodes {
		return FleetResult{}, fmt.Errorf("fleet of %d VMs: between 2 and %d are measured", n, maxNodes)
	}
	before := memory()
	f, err := startFleet(n)
	if err != nil {
		return FleetResult{}, err
	}
	defer f.stop()
	if err := f.settle(); err != nil {
		return FleetResult{}, err
	}
	r := FleetResult{VMs: n, Seconds: d.Seconds()}
	r.Connections = float64(f.open.Load()) * 2 / float64(n)
	idle := f.measure(func() { time.Sleep(d / 2) })
	r.IdleBytes, r.IdleCPU = idle.bytes, idle.cpu
	rng := rand.New(rand.NewPCG(seed, uint64(n)))
	loaded := f.measure(func() { r.Facts = f.load(d/2, rng) })
	r.LoadedBytes, r.LoadedCPU = loaded.bytes, loaded.cpu
	r.RestatedBytes = f.measure(func() { f.restate(d / 2) }).bytes
	r.RestatedFresh = f.fresh()
	r.Memory = (memory() - before) / float64(n)
	f.reach(&r)
	r.SpreadMs = f.spread(rng)
	return r, nil
}

// testFleet is a fleet within this process.
type testFleet struct {
	nodes   []*peer.Node
	servers []*http.Server
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	bytes   atomic.Int64
	open    atomic.Int64

	mu    sync.Mutex // guards facts
	facts map[string]*journey
}

// journey is when a fact was stated and became known.
type journey struct {
	start time.Time
	known []time.Duration
}

func startFleet(n int) (*testFleet, error) {
	f := &testFleet{facts: map[string]*journey{}}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	vms := make([]platform.VM, n)
	for i := range n {
		vm, err := f.start(ctx, i, zones(n))
		if err != nil {
			f.stop()
			return nil, err
		}
		vms[i] = vm
	}
	for _, node := range f.nodes {
		node.SetVMs(vms)
		f.wg.Go(func() { node.Run(ctx) })
	}
	return f, nil
}

func zones(n int) int {
	const small, few, many = 50, 4, 10
	if n < small {
		return few
	}
	return many
}

func (f *testFleet) start(ctx context.Context, i, zones int) (platform.VM, error) {
	const perNet = 250
	ip := fmt.Sprintf("127.1.%d.%d", i/perNet, i%perNet+1)
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", ip+":0")
	if err != nil {
		return platform.VM{}, fmt.Errorf("listen for VM %d: %w", i, err)
	}
	vm := platform.VM{
		Name: fmt.Sprintf("vm%d", i), Zone: fmt.Sprintf("z%d", i%zones),
		PeerAddress: l.Addr().String(), State: platform.VMStateLive,
	}
	node := peer.New(peer.Options{
		Name: vm.Name, Zone: vm.Zone, Incarnation: vm.Name, Started: clock.Boot(),
		Log: log.New(io.Discard), Dial: f.dial(ip),
	})
	node.Facts().Watch("", f.arrived)
	mux := http.NewServeMux()
	mux.Handle(peer.Path, node.Handler())
	s := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	f.nodes = append(f.nodes, node)
	f.servers = append(f.servers, s)
	f.wg.Go(func() { _ = s.Serve(l) })
	return vm, nil
}

func (f *testFleet) stop() {
	f.cancel()
	for _, s := range f.servers {
		_ = s.Close()
	}
	f.wg.Wait()
}

func (f *testFleet) dial(ip string) func(context.Context, string, string) (net.Conn, error) {
	d := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}, Timeout: time.Second}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, fmt.Errorf("dial: %w", err)
		}
		f.open.Add(1)
		return &counting{Conn: c, fleet: f}, nil
	}
}

// counting counts the bytes of a connection in both directions.
type counting struct {
	net.Conn
	fleet *testFleet
	once  sync.Once
}

func (c *counting) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.fleet.bytes.Add(int64(n))
	return n, err
}

func (c *counting) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.fleet.bytes.Add(int64(n))
	return n, err
}

func (c *counting) Close() error {
	c.once.Do(func() { c.fleet.open.Add(-1) })
	return c.Conn.Close()
}

// settle waits until the connections do not change any more.
func (f *testFleet) settle() error {
	const look = 500 * time.Millisecond
	deadline := time.Now().Add(settleLimit)
	still := time.Duration(0)
	for last := int64(-1); time.Now().Before(deadline); time.Sleep(look) {
		now := f.open.Load()
		if now != last || now == 0 {
			last, still = now, 0
			continue
		}
		if still += look; still >= settleTime {
			return nil
		}
	}
	return fmt.Errorf("fleet of %d VMs did not settle", len(f.nodes))
}

type cost struct {
	bytes float64
	cpu   float64
}

func (f *testFleet) measure(run func()) cost {
	bytes, cpu, start := f.bytes.Load(), cpuTime(), time.Now()
	run()
	seconds, n := time.Since(start).Seconds(), float64(len(f.nodes))
	return cost{
		bytes: float64(f.bytes.Load()-bytes) / n / seconds,
		cpu:   (cpuTime() - cpu).Seconds() / n / seconds,
	}
}

// load states facts at random VMs and gives the last ones time to arrive.
func (f *testFleet) load(d time.Duration, rng *rand.Rand) int {
	count := max(int(d.Seconds()*factsPerSecond), 1)
	for i := range count {
		key := fmt.Sprintf("drain/10.0.%d.%d:80", i/250, i%250)
		f.mu.Lock()
		f.facts[key] = &journey{start: time.Now()}
		f.mu.Unlock()
		f.nodes[rng.IntN(len(f.nodes))].Facts().Put(key, "1", factTTL)
		time.Sleep(time.Second / factsPerSecond)
	}
	return count
}

// restate lets each VM state one fact a second.
func (f *testFleet) restate(d time.Duration) {
	value := strings.Repeat("x", restatedBytes)
	start := time.Now()
	for i := 0; time.Since(start) < d; i++ {
		node := f.nodes[i%len(f.nodes)]
		node.Facts().Put(fmt.Sprintf("alive/vm%d", i%len(f.nodes)), value, factTTL)
		time.Sleep(time.Second / time.Duration(len(f.nodes)))
	}
}

// fresh returns the share of restated facts that are known in one of their last two
// versions.
func (f *testFleet) fresh() float64 {
	const lately = factTTL - 1700*time.Millisecond
	count := 0
	for _, n := range f.nodes {
		for _, fact := range n.Facts().List("alive/") {
			if fact.Expires-clock.Boot() > lately {
				count++
			}
		}
	}
	return float64(count) / float64(len(f.nodes)*len(f.nodes))
}

func (f *testFleet) arrived(fact facts.Fact) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if j := f.facts[fact.Key]; j != nil {
		j.known = append(j.known, time.Since(j.start))
	}
}

func (f *testFleet) reach(r *FleetResult) {
	time.Sleep(settleTime)
	f.mu.Lock()
	defer f.mu.Unlock()
	var half, all []time.Duration
	for _, j := range f.facts {
		if len(j.known) < len(f.nodes) {
			r.Missed++
			continue
		}
		slices.Sort(j.known)
		half = append(half, j.known[len(j.known)/2])
		all = append(all, j.known[len(j.known)-1])
	}
	r.ReachHalfMs, r.ReachAllMs = median(half), median(all)
	if len(all) > 0 {
		r.ReachMaxMs = ms(slices.Max(all))
	}
}

// spread times spreads to every VM; the first opens the connections.
func (f *testFleet) spread(rng *rand.Rand) float64 {
	const rounds = 10
	node := f.nodes[rng.IntN(len(f.nodes))]
	var times []time.Duration
	for i := range rounds + 1 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		fact := node.Facts().State(fmt.Sprintf("crash/measured/%d", i), "", factTTL)
		start := time.Now()
		node.Spread(ctx, fact)
		cancel()
		if i > 0 {
			times = append(times, time.Since(start))
		}
	}
	return median(times)
}

func median(ds []time.Duration) float64 {
	if len(ds) == 0 {
		return 0
	}
	slices.Sort(ds)
	return ms(ds[len(ds)/2])
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// memory returns the bytes of heap and stacks in use.
func memory() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

func cpuTime() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
