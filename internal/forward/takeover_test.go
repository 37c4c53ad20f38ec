package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/catalog"
	"github.com/sardinespindle/sardinespindle/internal/clock"
	"github.com/sardinespindle/sardinespindle/internal/gather"
	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/internal/peer"
	"github.com/sardinespindle/sardinespindle/internal/policy/repeat"
	"github.com/sardinespindle/sardinespindle/internal/policy/route"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
	manifestgen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
	"github.com/sardinespindle/sardinespindle/schema/gen/platform"
)

// fleetVM is a VM of a testFleet: its connections to the others and its forwarder.
type fleetVM struct {
	*Server
	node     *peer.Node
	index    int
	ip, zone string
}

// testFleet is a fleet of VMs whose links to each other can go silent. They share upstreams
// that do not answer, and that record which of them received a request.
type testFleet struct {
	vms      []*fleetVM
	catalog  *catalog.Catalog
	replicas map[string][]string // by shard

	held     atomic.Bool // bytes between VMs wait
	answered atomic.Bool // upstreams answer at once

	mu      sync.Mutex // guards the fields below
	silent  map[[2]string]bool
	reached map[string]map[string]bool // replicas by shard
	onSend  func(vm int)               // called once for each VM, with its first attempt
	sending map[int]bool
}

const (
	fleetShards   = 24
	fleetReplicas = 5
)

// newTestFleet starts VMs in the given zones. VM 0 is no gatherer, the others are. The shards
// have replicas in zone b, and the last half of them in zone c instead if split is set.
func newTestFleet(maxAttempts int, objective time.Duration, split bool, zones ...string) *testFleet {
	f := &testFleet{silent: map[[2]string]bool{}, reached: map[string]map[string]bool{}, replicas: map[string][]string{}, sending: map[int]bool{}}
	f.publish(maxAttempts, objective, split)
	var listed []platform.VM
	for i, zone := range zones {
		vm, address := f.start(i, zone)
		f.vms = append(f.vms, vm)
		listed = append(listed, platform.VM{Name: vm.ip, Zone: zone, PeerAddress: address, State: platform.VMStateLive})
	}
	for _, vm := range f.vms {
		vm.node.SetVMs(listed)
	}
	return f
}

func (f *testFleet) publish(maxAttempts int, objective time.Duration, split bool) {
	r := &route.Route{
		Name: "find", Host: "h", Prefix: "/", Objective: objective, Timeout: 2 * time.Second,
		MinimumShare: 1, MaxRecords: 5, MaxAttempts: maxAttempts, Idempotent: true,
	}
	f.catalog = &catalog.Catalog{
		Config: &catalog.Config{Version: 1}, Manifest: &manifest.Manifest{Workloads: map[string]*manifest.Workload{}},
		ServiceZones: map[string][]string{}, ZoneCoverage: map[string]map[string]float64{"find": {"b": 1}},
	}
	for i := range fleetShards {
		name, zone := fmt.Sprintf("s%02d", i), "b"
		if split && i >= fleetShards/2 {
			zone = "c"
		}
		w := &manifest.Workload{Workload: manifestgen.Workload{Name: manifestgen.Name(name)}}
		for n := range fleetReplicas {
			address := fmt.Sprintf("10.0.%d.%d:80", i, n)
			w.Upstreams = append(w.Upstreams, &manifestgen.Upstream{Address: address})
			f.replicas[name] = append(f.replicas[name], address)
		}
		f.catalog.Manifest.Workloads[name] = w
		f.catalog.ServiceZones[name] = []string{zone}
		r.Shards = append(r.Shards, name)
	}
	f.catalog.Table = route.NewTable([]*route.Route{r})
	f.catalog.SearchWorkloads = map[string]*manifest.Workload{"find": catalog.NewSearchWorkload("find", r.Shards)}
}

func (f *testFleet) start(i int, zone string) (*fleetVM, string) {
	vm := &fleetVM{index: i, ip: fmt.Sprintf("127.0.%d.%d", 60+GinkgoParallelProcess(), i+1), zone: zone}
	d := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(vm.ip)}}
	vm.node = peer.New(peer.Options{
		Name: vm.ip, Zone: zone, Incarnation: vm.ip, Started: clock.Boot(), ListenIP: vm.ip, Log: log.New(io.Discard),
		NoRelays: true,
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			host, _, _ := net.SplitHostPort(address)
			return &fleetLink{Conn: c, held: &f.held, silent: func() bool { return f.isSilent(vm.ip, host) }}, nil
		},
	})
	vm.Server = New(Options{
		Catalog:  func() *catalog.Catalog { return f.catalog },
		Searcher: gather.New(gather.Options{Upstream: gather.Adapt(&fleetUpstreams{f, i})}),
		Peers:    vm.node, VM: vm.ip, Zone: zone, Log: log.New(GinkgoWriter), Poison: noPoison{}, Now: clock.Boot,
		VMs: func(string) int { return 1 }, Repeats: repeat.Limits{Ratio: 0.2, Slack: 1000, Window: 10 * time.Second},
		Gatherers: func() (map[string][]string, bool) { return f.gatherers(), i > 0 },
	})
	vm.node.Handle(vm.Handle)
	mux := http.NewServeMux()
	mux.Handle(peer.Path, vm.node.Handler())
	server := httptest.NewUnstartedServer(mux)
	l, err := net.Listen("tcp", vm.ip+":0")
	Expect(err).NotTo(HaveOccurred())
	server.Listener.Close()
	server.Listener = l
	server.Start()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); vm.node.Run(ctx) }()
	DeferCleanup(func() {
		cancel()
		<-done
		server.Close()
	})
	return vm, l.Addr().String()
}

func (f *testFleet) gatherers() map[string][]string {
	byZone := map[string][]string{}
	for _, vm := range f.vms[1:] {
		byZone[vm.zone] = append(byZone[vm.zone], vm.ip)
	}
	return byZone
}

// silence drops all bytes between two VMs from now on, without an error on either side.
func (f *testFleet) silence(a, b int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent[[2]string{f.vms[a].ip, f.vms[b].ip}], f.silent[[2]string{f.vms[b].ip, f.vms[a].ip}] = true, true
}

func (f *testFleet) isSilent(a, b string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silent[[2]string{a, b}]
}

// search has VM 0 take a search from a caller, and waits until all VMs have ended it.
func (f *testFleet) search() outcome.Outcome {
	r := f.catalog.Table.Find("h", "/x")
	q := &request{id: "id", start: time.Now(), route: r, catalog: f.catalog, deadline: time.Now().Add(r.Timeout)}
	o := f.vms[0].runOrDelegate(context.Background(), q, &upstream.PassThroughRequest{ID: "id", Host: "h", Target: "/x", Method: "GET"})
	for _, vm := range f.vms {
		Eventually(vm.InFlight, "3s").Should(BeZero())
	}
	return o
}

// mostReplicas returns the largest number of replicas of a shard that received the request, and
// how many shards sent it at all.
func (f *testFleet) mostReplicas() (most, shards int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, replicas := range f.reached {
		most = max(most, len(replicas))
	}
	return most, len(f.reached)
}

// fleetLink is a connection between two VMs that delays bytes while it is held, and drops them
// once the link is silent.
type fleetLink struct {
	net.Conn
	held   *atomic.Bool
	silent func() bool
	dead   atomic.Bool
}

func (l *fleetLink) isDead() bool {
	if l.silent() {
		l.dead.Store(true)
	}
	return l.dead.Load()
}

func (l *fleetLink) wait() {
	for l.held.Load() {
		time.Sleep(time.Millisecond)
	}
}

func (l *fleetLink) Write(p []byte) (int, error) {
	l.wait()
	if l.isDead() {
		return len(p), nil
	}
	return l.Conn.Write(p)
}

func (l *fleetLink) Read(p []byte) (int, error) {
	n, err := l.Conn.Read(p)
	for err == nil && l.isDead() {
		n, err = l.Conn.Read(p)
	}
	l.wait()
	return n, err
}

// fleetUpstreams is the upstream client of one VM. Each VM prefers other replicas.
type fleetUpstreams struct {
	fleet *testFleet
	vm    int
}

type fleetTicket string

func (t fleetTicket) Address() string { return string(t) }
func (fleetTicket) Cancel()           {}

var errNoReplica = errors.New("no replica")

func (u *fleetUpstreams) PickPassThrough(w *manifest.Workload, _ string, exclude []string) (fleetTicket, time.Duration, error) {
	replicas := u.fleet.replicas[string(w.Name)]
	for i := range replicas {
		if r := replicas[(u.vm+i)%len(replicas)]; !slices.Contains(exclude, r) {
			return fleetTicket(r), 0, nil
		}
	}
	return "", 0, errNoReplica
}

func (u *fleetUpstreams) Pick(w *manifest.Workload, _ string, exclude []string, _ bool) (fleetTicket, error) {
	t, _, err := u.PickPassThrough(w, "", exclude)
	return t, err
}

func (u *fleetUpstreams) Do(ctx context.Context, t fleetTicket, a upstream.Attempt) upstream.Result {
	f := u.fleet
	if f.answered.Load() {
		return upstream.Result{Class: upstream.OK, Status: 200, Address: string(t), Signature: "s", Body: make([]byte, recordSize)}
	}
	f.mu.Lock()
	if f.reached[a.Shard] == nil {
		f.reached[a.Shard] = map[string]bool{}
	}
	f.reached[a.Shard][string(t)] = true
	first := !f.sending[u.vm]
	f.sending[u.vm] = true
	f.mu.Unlock()
	if first && f.onSend != nil {
		f.onSend(u.vm)
	}
	<-ctx.Done()
	return upstream.Result{Class: upstream.Canceled, Address: string(t), Err: ctx.Err()}
}

func (*fleetUpstreams) LatencyQuantile(string, string) (time.Duration, bool) { return 0, false }

// VM 0 takes the search from its caller; the others are gatherers. A gatherer that cannot reach
// VM 0 goes on with the search, and knows nothing of the one that runs it next.
var _ = Describe("A search that is taken over from a gatherer cut off from its sender", func() {
	const (
		cutAfter   = 20 * time.Millisecond // from the first attempt
		hedged     = 200 * time.Millisecond
		unhedged   = 10 * time.Second
		maxReplica = 2
	)
	// cutOff silences the link of a VM to VM 0 shortly after its first attempt.
	cutOff := func(f *testFleet) func(vm int) {
		return func(vm int) { time.AfterFunc(cutAfter, func() { f.silence(0, vm) }) }
	}

	It("reaches no more replicas of a shard than it may, although the gatherer hedged unheard", func() {
		f := newTestFleet(maxReplica, hedged, false, "a", "b", "b")
		f.onSend = cutOff(f)
		f.search()
		most, shards := f.mostReplicas()
		Expect(shards).To(Equal(fleetShards))
		Expect(most).To(Equal(maxReplica))
	})

	It("reaches no more replicas of a shard than it may, although a second gatherer is cut off too", func() {
		f := newTestFleet(maxReplica, unhedged, false, "a", "b", "b", "b")
		f.onSend = cutOff(f)
		f.search()
		most, _ := f.mostReplicas()
		Expect(most).To(Equal(maxReplica))
	})

	It("reaches no more replicas of a shard than it may, although the gatherer had divided it by zone", func() {
		f := newTestFleet(maxReplica, hedged, true, "a", "b", "b", "c")
		f.onSend = cutOff(f)
		f.search()
		most, shards := f.mostReplicas()
		Expect(shards).To(Equal(fleetShards))
		Expect(most).To(Equal(maxReplica))
	})

	It("reaches no second replica of a shard that only one may run", func() {
		f := newTestFleet(1, unhedged, false, "a", "b", "b")
		f.onSend = cutOff(f)
		f.search()
		most, shards := f.mostReplicas()
		Expect(shards).To(Equal(fleetShards))
		Expect(most).To(Equal(1))
	})

	// In a storm of configurations, the link of a VM that passes them on held delegations up for
	// over 120 ms. Their senders gave them to others, and the VM ran them too.
	It("does not run at a gatherer that reads it after its sender has taken it back", func() {
		f := newTestFleet(maxReplica, hedged, false, "a", "b", "b")
		f.answered.Store(true)
		for range 20 { // connects VM 0 to both gatherers
			Expect(f.search().Kind).To(Equal(caller.OutcomeAnswered))
		}
		f.answered.Store(false)
		f.held.Store(true)
		time.AfterFunc(130*time.Millisecond, func() { f.held.Store(false) })
		f.search()
		most, shards := f.mostReplicas()
		Expect(shards).To(Equal(fleetShards))
		Expect(most).To(BeNumerically("<=", maxReplica))
		Expect(f.sending).To(HaveLen(1), "VMs that sent it to upstreams")
	})

	It("is hedged as any other while the gatherer reaches its sender", func() {
		f := newTestFleet(maxReplica, hedged, false, "a", "b", "b")
		f.search()
		most, _ := f.mostReplicas()
		Expect(most).To(Equal(maxReplica))
	})
})
