// Package slopes measures how the cost of a component grows with the size of the
// fleet, of the manifest or of the fan-out, for the capacity page. All VMs run in one
// process, connected over loopback or by function calls, or are simulated. CPU and
// memory figures are those of the whole process: run one measurement at a time.
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

// Parameters of the fleet measurement.
const (
	// factsPerSecond is the rate of new facts in the whole fleet under load.
	factsPerSecond = 10
	factTTL        = 30 * time.Second
	// restatedBytes is the size of a restated fact's value.
	restatedBytes = 100
	// settleTime is how long the number of connections must not change before the
	// measurement starts, and the wait before arrivals of facts are counted.
	settleTime  = 2 * time.Second
	settleLimit = 60 * time.Second
	// maxNodes bounds the loopback addresses and open files in use.
	maxNodes = 400
)

// FleetResult is the cost of a fleet of one size. Figures per VM are means.
type FleetResult struct {
	VMs int `json:"vms"`
	// Seconds is the duration given to Fleet, whose measurement takes 1.5 times as long.
	Seconds     float64 `json:"seconds"`
	Facts       int     `json:"facts"`
	Connections float64 `json:"connections_per_vm"`
	// Bytes sent per second, including WebSocket frames and heartbeats.
	IdleBytes   float64 `json:"idle_bytes_per_vm_second"`
	LoadedBytes float64 `json:"loaded_bytes_per_vm_second"`
	// CPU as a share of one core.
	IdleCPU   float64 `json:"idle_cpu_per_vm"`
	LoadedCPU float64 `json:"loaded_cpu_per_vm"`
	// RestatedBytes are sent per second while each VM restates one fact of 100 bytes
	// every second.
	RestatedBytes float64 `json:"restated_bytes_per_vm_second"`
	// RestatedFresh is the share of these facts' copies that were restated less than
	// 1.7 s ago. Each VM has a copy of each fact.
	RestatedFresh float64 `json:"restated_fresh"`
	// Memory is the growth of heap and stacks in bytes per VM.
	Memory float64 `json:"memory_bytes_per_vm"`
	// Time from stating a fact until half of the VMs and all of them know it.
	ReachHalfMs float64 `json:"reach_half_ms_p50"`
	ReachAllMs  float64 `json:"reach_all_ms_p50"`
	ReachMaxMs  float64 `json:"reach_all_ms_max"`
	// Missed counts facts that some VM did not know by the end of the measurement.
	Missed int `json:"missed"`
	// SpreadMs is the median time until each VM has acknowledged a fact sent to it
	// directly, or its call has failed; 1 s at most.
	SpreadMs float64 `json:"spread_ms_p50"`
}

// Fleet runs n VMs and returns their cost. It measures them for d/2 without facts,
// for d/2 with facts stated at random VMs, and for d/2 with facts restated.
func Fleet(n int, d time.Duration, seed uint64) (FleetResult, error) {
	if n < 2 || n > maxNodes {
		return FleetResult{}, fmt.Errorf("fleet of %d VMs: between 2 and %d can be measured", n, maxNodes)
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

// loopbackFleet is a fleet within this process whose VMs connect over loopback.
type loopbackFleet struct {
	nodes   []*peer.Node
	servers []*http.Server
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	bytes   atomic.Int64 // sent over all connections
	open    atomic.Int64 // connections, each counted at the VM that dialed it

	mu    sync.Mutex // guards facts
	facts map[string]*propagation
}

// propagation records when a fact was stated and how long each VM took to learn it.
type propagation struct {
	start time.Time
	known []time.Duration
}

func startFleet(n int) (*loopbackFleet, error) {
	f := &loopbackFleet{facts: map[string]*propagation{}}
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

func (f *loopbackFleet) start(ctx context.Context, i, zones int) (platform.VM, error) {
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
	node.Facts().Watch("", f.recordArrival)
	mux := http.NewServeMux()
	mux.Handle(peer.Path, node.Handler())
	s := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	f.nodes = append(f.nodes, node)
	f.servers = append(f.servers, s)
	f.wg.Go(func() { _ = s.Serve(l) })
	return vm, nil
}

func (f *loopbackFleet) stop() {
	f.cancel()
	for _, s := range f.servers {
		_ = s.Close()
	}
	f.wg.Wait()
}

func (f *loopbackFleet) dial(ip string) func(context.Context, string, string) (net.Conn, error) {
	d := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}, Timeout: time.Second}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, fmt.Errorf("dial: %w", err)
		}
		f.open.Add(1)
		return &countingConn{Conn: c, fleet: f}, nil
	}
}

// countingConn counts the bytes of a connection in both directions, at the VM that
// dialed it.
type countingConn struct {
	net.Conn
	fleet *loopbackFleet
	once  sync.Once
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.fleet.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.fleet.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Close() error {
	c.once.Do(func() { c.fleet.open.Add(-1) })
	return c.Conn.Close()
}

// settle waits until there are connections and their number has not changed for
// settleTime. It fails after settleLimit.
func (f *loopbackFleet) settle() error {
	const interval = 500 * time.Millisecond
	deadline := time.Now().Add(settleLimit)
	unchanged := time.Duration(0)
	for last := int64(-1); time.Now().Before(deadline); time.Sleep(interval) {
		now := f.open.Load()
		if now != last || now == 0 {
			last, unchanged = now, 0
			continue
		}
		if unchanged += interval; unchanged >= settleTime {
			return nil
		}
	}
	return fmt.Errorf("fleet of %d VMs did not settle", len(f.nodes))
}

// cost is the bytes sent per VM and second, and the share of a core per VM.
type cost struct {
	bytes float64
	cpu   float64
}

func (f *loopbackFleet) measure(run func()) cost {
	bytes, cpu, start := f.bytes.Load(), cpuTime(), time.Now()
	run()
	seconds, n := time.Since(start).Seconds(), float64(len(f.nodes))
	return cost{
		bytes: float64(f.bytes.Load()-bytes) / n / seconds,
		cpu:   (cpuTime() - cpu).Seconds() / n / seconds,
	}
}

// load states facts at random VMs for d and returns their number.
func (f *loopbackFleet) load(d time.Duration, rng *rand.Rand) int {
	count := max(int(d.Seconds()*factsPerSecond), 1)
	for i := range count {
		key := fmt.Sprintf("drain/10.0.%d.%d:80", i/250, i%250)
		f.mu.Lock()
		f.facts[key] = &propagation{start: time.Now()}
		f.mu.Unlock()
		f.nodes[rng.IntN(len(f.nodes))].Facts().Put(key, "1", factTTL)
		time.Sleep(time.Second / factsPerSecond)
	}
	return count
}

// restate has each VM state its one fact again every second, for d.
func (f *loopbackFleet) restate(d time.Duration) {
	value := strings.Repeat("x", restatedBytes)
	start := time.Now()
	for i := 0; time.Since(start) < d; i++ {
		node := f.nodes[i%len(f.nodes)]
		node.Facts().Put(fmt.Sprintf("alive/vm%d", i%len(f.nodes)), value, factTTL)
		time.Sleep(time.Second / time.Duration(len(f.nodes)))
	}
}

// fresh returns the share of copies of the restated facts that are less than 1.7 s
// old. Facts are restated every second, so such a copy is the latest version or the one
// before.
func (f *loopbackFleet) fresh() float64 {
	const recent = factTTL - 1700*time.Millisecond
	count := 0
	for _, n := range f.nodes {
		for _, fact := range n.Facts().List("alive/") {
			if fact.Expires-clock.Boot() > recent {
				count++
			}
		}
	}
	return float64(count) / float64(len(f.nodes)*len(f.nodes))
}

func (f *loopbackFleet) recordArrival(fact facts.Fact) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.facts[fact.Key]; p != nil {
		p.known = append(p.known, time.Since(p.start))
	}
}

// reach sets the times in which the facts reached half of the VMs and all of them, and
// the number of facts that did not reach all.
func (f *loopbackFleet) reach(r *FleetResult) {
	time.Sleep(settleTime)
	f.mu.Lock()
	defer f.mu.Unlock()
	var half, all []time.Duration
	for _, p := range f.facts {
		if len(p.known) < len(f.nodes) {
			r.Missed++
			continue
		}
		slices.Sort(p.known)
		half = append(half, p.known[len(p.known)/2])
		all = append(all, p.known[len(p.known)-1])
	}
	r.ReachHalfMs, r.ReachAllMs = median(half), median(all)
	if len(all) > 0 {
		r.ReachMaxMs = ms(slices.Max(all))
	}
}

// spread returns the median time of sending a fact directly to every VM. The first
// round opens the connections and is not counted.
func (f *loopbackFleet) spread(rng *rand.Rand) float64 {
	const rounds = 10
	node := f.nodes[rng.IntN(len(f.nodes))]
	var times []time.Duration
	for i := range rounds + 1 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		fact := node.Facts().PutFact(fmt.Sprintf("crash/measured/%d", i), "", factTTL)
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
