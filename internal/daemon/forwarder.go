package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/sardinespindle/sardinespindle/internal/admin"
	"github.com/sardinespindle/sardinespindle/internal/catalog"
	"github.com/sardinespindle/sardinespindle/internal/clock"
	"github.com/sardinespindle/sardinespindle/internal/forward"
	"github.com/sardinespindle/sardinespindle/internal/gather"
	"github.com/sardinespindle/sardinespindle/internal/pause"
	"github.com/sardinespindle/sardinespindle/internal/peer"
	"github.com/sardinespindle/sardinespindle/internal/policy/repeat"
	"github.com/sardinespindle/sardinespindle/internal/policy/roster"
	"github.com/sardinespindle/sardinespindle/internal/single"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
	"github.com/sardinespindle/sardinespindle/platform"
	"github.com/sardinespindle/sardinespindle/schema/gen/settings"
)

// Forwarder is one VM's process where requests are passed through by published routes.
type Forwarder struct {
	s           *settings.Settings
	log         *log.Logger
	incarnation string
	started     time.Duration
	registry    *prometheus.Registry
	stopping    atomic.Bool
	catalog     atomic.Pointer[catalog.Catalog]

	node      *peer.Node
	fleet     *fleet
	mirror    *catalog.Mirror
	sync      *catalog.Sync
	upstreams *upstream.Client
	front     *forward.Server
}

// NewForwarder wires a forwarder. Nothing runs yet.
func NewForwarder(s *settings.Settings, l *log.Logger) (*Forwarder, error) {
	f := &Forwarder{
		s: s, log: l, incarnation: uuid.NewString(), started: clock.Boot(), registry: prometheus.NewRegistry(),
	}
	f.registry.MustRegister(collectors.NewGoCollector())
	if err := f.wireFleet(); err != nil {
		return nil, err
	}
	return f, f.wireRequests()
}

func (f *Forwarder) wireFleet() error {
	peers, err := netip.ParseAddrPort(string(f.s.Listen.Peers))
	if err != nil {
		return fmt.Errorf("listen.peers: %w", err)
	}
	ip := peers.Addr().String()
	f.node = peer.New(peer.Options{
		Name: ip, Zone: f.s.Zone, Incarnation: f.incarnation, Started: f.started, ListenIP: ip,
		Log: f.log, Registerer: f.registry,
	})
	f.fleet = newFleet(f.node, ip, f.s.Zone, peers.Port(), f.s.Fleet.Seeds)
	f.mirror = catalog.NewMirror(platform.Decoder{}, clock.Boot, f.apply)
	f.sync = catalog.NewSync(catalog.SyncOptions{
		Mirror:  f.mirror,
		Source:  platform.NewStore(string(f.s.Platform.Addresses[0]), storeTransport(ip)),
		Peers:   f.node,
		Readers: f.fleet.readers,
		Blind:   f.fleet.setBlind,
		Now:     clock.Boot,
		Log:     f.log,
	})
	f.node.Handle(f.sync.Handle)
	return nil
}

// Times of the connections to the store.
const (
	storeDial = 500 * time.Millisecond
	storeIdle = 20 * time.Second
)

// storeTransport returns the connections to the store.
func storeTransport(ip string) *http.Transport {
	d := &net.Dialer{Timeout: storeDial, LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
	return &http.Transport{
		DialContext: d.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 1, IdleConnTimeout: storeIdle,
	}
}

func (f *Forwarder) wireRequests() error {
	var err error
	f.upstreams, err = upstream.New(upstream.Options{
		VM: f.node.Name(), Zone: f.s.Zone, VMs: f.fleet.size, Members: f.fleet.names,
		Published: true, Wire: platform.Wire, Log: f.log, Registerer: f.registry,
	})
	if err != nil {
		return err
	}
	engine := gather.New(gather.Options{
		Upstream: gather.From(f.upstreams), Log: f.log, Registerer: f.registry,
	})
	runner := single.New(single.Options{Upstream: gather.From(f.upstreams)})
	f.front = forward.New(forward.Options{
		Catalog:  f.catalog.Load,
		Headers:  platform.Headers,
		Searcher: engine,
		Runner:   runner,
		Repeats: repeat.Limits{
			Ratio: f.s.Repeats.Ratio, Slack: f.s.Repeats.Slack,
			Window: time.Duration(f.s.Repeats.WindowSeconds * float64(time.Second)),
		},
		VMs:        f.fleet.size,
		Zone:       f.s.Zone,
		ZoneVMs:    f.fleet.inZone,
		Peers:      f.node,
		Now:        clock.Boot,
		Log:        f.log,
		Registerer: f.registry,
	})
	f.node.Handle(f.front.Handle)
	return nil
}

// apply takes a catalog that came into force.
func (f *Forwarder) apply(c *catalog.Catalog, change catalog.Change) {
	f.upstreams.Apply(c.Manifest)
	f.catalog.Store(c)
	f.log.Info("catalog in force", "revision", change.Revision, "version", change.Version,
		"upstreams", change.Upstreams, "draining", change.Draining)
	for key, err := range change.Refused {
		f.log.Warn("item refused", "key", key, "err", err)
	}
}

func (f *Forwarder) ready() bool { return !f.stopping.Load() && f.catalog.Load() != nil }

func (f *Forwarder) status() admin.Status {
	c := f.catalog.Load()
	s := admin.Status{
		Name: f.s.Name, Zone: f.s.Zone, Incarnation: f.incarnation,
		UptimeMs: (clock.Boot() - f.started).Milliseconds(),
		Ready:    f.ready(), Stopping: f.stopping.Load(), InFlight: f.front.InFlight(),
		Facts: f.node.Facts().Len(), Upstreams: f.upstreams.States(),
	}
	if c != nil {
		s.Generation = c.Config.Version
	}
	return s
}

// Reload takes the seeds; the other settings hold until the end of the process.
func (f *Forwarder) Reload(s *settings.Settings) { f.fleet.setSeeds(s.Fleet.Seeds) }

// Run serves until the context ends, then shuts down gracefully.
func (f *Forwarder) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	failed := make(chan error, 3)
	front := f.front.HTTPServer(string(f.s.Listen.Callers))
	servers := []*http.Server{
		{Addr: string(f.s.Listen.Peers), Handler: f.node.Handler(), ReadHeaderTimeout: headerTimeout},
		admin.Server(string(f.s.Listen.Admin), admin.Options{
			Ready: f.ready, Status: f.status, Gatherer: f.registry, Log: f.log, ReadyPath: platform.ReadyPath,
		}),
		front,
	}
	for _, server := range servers {
		server.ErrorLog = f.log.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel})
		if err := listen(server, failed); err != nil {
			return err
		}
	}
	go f.node.Run(work)
	go f.fleet.run(work)
	go f.sync.Run(work)
	go f.upstreams.Run(work)
	f.log.Info("started", "zone", f.s.Zone, "incarnation", f.incarnation, "callers", f.s.Listen.Callers)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	f.shutdown(front)
	for _, server := range servers {
		server.Close()
	}
	return nil
}

// stopMargin is kept back of the grace time for the end of the process.
const stopMargin = 400 * time.Millisecond

// stopLook is the time between two looks at the searches of other VMs.
const stopLook = 20 * time.Millisecond

// shutdown tells the balancer, serves on while it lags, then ends what is idle and waits
// for what is in flight.
func (f *Forwarder) shutdown(front *http.Server) {
	begun := time.Now()
	f.log.Info("stopping", "in_flight", f.front.InFlight())
	f.stopping.Store(true)
	f.front.Stop()
	f.fleet.leave()
	time.Sleep(time.Duration(f.s.Stop.LingerMs) * time.Millisecond)
	f.front.Refuse()
	grace := time.Duration(f.s.Stop.GraceMs) * time.Millisecond
	if grace == 0 {
		grace = leavingTTL
	}
	ctx, cancel := context.WithTimeout(context.Background(), grace-stopMargin-time.Since(begun))
	defer cancel()
	if err := front.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		f.log.Warn("shutdown", "err", err)
	}
	for f.front.InFlight() > 0 && pause.For(ctx, stopLook) {
		continue // searches of other VMs
	}
	f.log.Info("stopped", "in_flight", f.front.InFlight(), "took_ms", time.Since(begun).Milliseconds())
}

// fleet knows the VMs by seeds and by what they say of themselves.
type fleet struct {
	node  *peer.Node
	self  string
	zone  string
	port  uint16
	seeds atomic.Pointer[[]settings.Address]
	count atomic.Int64
	zones atomic.Pointer[map[string][]string] // other live VMs by availability zone

	blindUntil time.Duration // this VM's word that the store does not answer it; one goroutine's
}

const (
	// memberKey is the fact by which a VM tells that it is there; its value is the zone.
	memberKey = "member/"
	// memberTTL is how long a VM counts that is not heard of, restated each memberRefresh.
	memberTTL     = 7 * time.Second
	memberRefresh = 2 * time.Second
	// memberLook is the time between two looks at the members.
	memberLook = 500 * time.Millisecond
	// mostReaders is the number of VMs that read the platform's store for all.
	mostReaders = 2
	readerKey   = "reader"
	// blindKey is the fact by which a VM tells that the store does not answer it; others
	// read in its place for blindTTL, after which it is asked to try again.
	blindKey = "blind/"
	blindTTL = 4 * time.Second
	isBlind  = "yes"
)

func newFleet(node *peer.Node, self, zone string, port uint16, seeds []settings.Address) *fleet {
	f := &fleet{node: node, self: self, zone: zone, port: port}
	f.setSeeds(seeds)
	f.update()
	return f
}

func (f *fleet) setSeeds(seeds []settings.Address) { f.seeds.Store(&seeds) }

func (f *fleet) run(ctx context.Context) {
	var stated time.Duration
	tick := time.NewTicker(memberLook)
	defer tick.Stop()
	for {
		if now := clock.Boot(); stated == 0 || now-stated >= memberRefresh {
			stated = now
			f.node.Facts().Put(memberKey+f.self, f.zone, memberTTL)
		}
		f.update()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// update makes the roster of what is known.
func (f *fleet) update() {
	known := map[string]string{f.self: f.zone}
	for _, fact := range f.node.Facts().List(memberKey) {
		known[fact.VM()] = fact.Value
	}
	count := len(known)
	for _, seed := range *f.seeds.Load() {
		if ap, err := netip.ParseAddrPort(string(seed)); err == nil {
			if _, ok := known[ap.Addr().String()]; !ok {
				known[ap.Addr().String()] = ""
			}
		}
	}
	f.node.SetMembers(known, func(name string) string { return net.JoinHostPort(name, strconv.Itoa(int(f.port))) })
	f.count.Store(int64(count))
	zones := map[string][]string{}
	for _, m := range f.live() {
		if m.Name != f.self {
			zones[m.Zone] = append(zones[m.Zone], m.Name)
		}
	}
	f.zones.Store(&zones)
}

// inZone names the other live VMs of an availability zone.
func (f *fleet) inZone(zone string) []string { return (*f.zones.Load())[zone] }

func (f *fleet) leave() { f.node.Facts().Put("vm/"+f.self, "leaving", leavingTTL) }

// size returns how many VMs may be alive; the unknown fleet's while none was heard of.
func (f *fleet) size() int {
	n := int(f.count.Load())
	if n <= 1 {
		return repeat.UnknownFleet
	}
	return n
}

// setBlind tells the fleet whether the store answers this VM.
func (f *fleet) setBlind(blind bool) {
	now := clock.Boot()
	switch {
	case blind && f.blindUntil-now < blindTTL/2:
		f.blindUntil = now + blindTTL
		f.node.Facts().Put(blindKey+f.self, isBlind, blindTTL)
	case !blind && f.blindUntil > now:
		f.blindUntil = 0
		f.node.Facts().Put(blindKey+f.self, "", blindTTL)
	}
}

func (f *fleet) live() []roster.Member {
	var out []roster.Member
	for _, m := range f.node.Roster() {
		if m.State == roster.Live && (m.Name == f.self || m.Incarnation != "" || m.Zone != "") {
			out = append(out, m)
		}
	}
	return out
}

func (f *fleet) names() []string {
	var out []string
	for _, m := range f.live() {
		out = append(out, m.Name)
	}
	return out
}

// readers returns the VMs that read the store, those of the own zone first. VMs that the
// store does not answer come into it only where it answers none.
func (f *fleet) readers() (vms []string, self bool) {
	blind := map[string]bool{}
	for _, fact := range f.node.Facts().List(blindKey) {
		blind[fact.VM()] = fact.Value == isBlind
	}
	live := f.live()
	seeing := slices.DeleteFunc(slices.Clone(live), func(m roster.Member) bool { return blind[m.Name] })
	if len(seeing) == 0 {
		seeing = live
	}
	for _, m := range roster.Top(seeing, readerKey, mostReaders) {
		switch {
		case m.Name == f.self:
			self = true
		case m.Zone == f.zone:
			vms = append([]string{m.Name}, vms...)
		default:
			vms = append(vms, m.Name)
		}
	}
	return vms, self
}
