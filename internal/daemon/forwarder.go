package daemon

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
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
	"github.com/sardinespindle/sardinespindle/internal/ingress"
	"github.com/sardinespindle/sardinespindle/internal/mechanism"
	"github.com/sardinespindle/sardinespindle/internal/pause"
	"github.com/sardinespindle/sardinespindle/internal/peer"
	"github.com/sardinespindle/sardinespindle/internal/poison"
	"github.com/sardinespindle/sardinespindle/internal/policy/clientlimit"
	"github.com/sardinespindle/sardinespindle/internal/policy/delegate"
	"github.com/sardinespindle/sardinespindle/internal/policy/liveness"
	"github.com/sardinespindle/sardinespindle/internal/policy/repeat"
	"github.com/sardinespindle/sardinespindle/internal/readlimit"
	"github.com/sardinespindle/sardinespindle/internal/single"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
	"github.com/sardinespindle/sardinespindle/platform"
	"github.com/sardinespindle/sardinespindle/schema/gen/settings"
)

// Forwarder is the process of a VM that forwards requests along the routes of a catalog.
type Forwarder struct {
	s           *settings.Settings
	log         *log.Logger
	incarnation string
	started     time.Duration
	registry    *prometheus.Registry
	stopping    atomic.Bool
	catalog     atomic.Pointer[catalog.Catalog] // in force; determines shares of connections
	served      atomic.Pointer[catalog.Catalog] // the catalog whose upstreams are set up; used by requests
	emptyZones  []string                        // evacuated zones without upstreams; used by apply only
	// firstCatalog is closed once served is set, or maxStartWait after the start; see endStart.
	firstCatalog chan struct{}
	endStart     func()

	node      *peer.Node
	fleet     *fleet
	poison    *poison.Guard
	mirror    *catalog.Mirror
	sync      *catalog.Sync
	upstreams *upstream.Client
	server    *forward.Server
	gates     []*ingress.Gate // of the servers for peers, operators and callers
}

// incarnationChars is the length of the random part of an incarnation. Every fact carries an incarnation,
// which only has to distinguish the starts of one VM, so it is short.
const incarnationChars = 6

// NewForwarder returns a Forwarder that does not run yet.
func NewForwarder(s *settings.Settings, l *log.Logger) (*Forwarder, error) {
	f := &Forwarder{
		s: s, log: l, incarnation: liveness.NewIncarnation(uuid.NewString()[:incarnationChars]), started: clock.Boot(), registry: prometheus.NewRegistry(),
		firstCatalog: make(chan struct{}),
	}
	f.endStart = sync.OnceFunc(func() { close(f.firstCatalog) })
	f.registry.MustRegister(collectors.NewGoCollector(), prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "spindle_gatherer", Help: "1 if this VM runs searches for the fleet.",
	}, f.gathererGauge), prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "spindle_evacuated_zones", Help: "Number of availability zones that are evacuated: their upstreams get no requests.",
	}, f.evacuatedGauge))
	if err := f.wireFleet(); err != nil {
		return nil, err
	}
	return f, f.wireRequests()
}

// wireFleet creates the parts that communicate with the store and with other VMs.
func (f *Forwarder) wireFleet() error {
	peers, err := netip.ParseAddrPort(string(f.s.Listen.Peers))
	if err != nil {
		return fmt.Errorf("listen.peers: %w", err)
	}
	ip := peers.Addr().String()
	f.node = peer.New(peer.Options{
		Name: ip, Zone: f.s.Zone, Incarnation: f.incarnation, Started: f.started, ListenIP: ip,
		Log: f.log, Registerer: f.registry, OnUnreachable: f.reportLost,
		NoRelays: true, MayDelegate: func(incarnation string) bool { return f.fleet.mayDelegate(incarnation) },
	})
	self := delegate.VM{Name: ip, Zone: f.s.Zone, Capacity: f.s.Fleet.Capacity, ByVersion: true, KnowsEvacuations: true}
	f.fleet = newFleet(f.node, self, peerPort(f.s, peers.Port()), f.s.Fleet.Seeds)
	f.mirror = catalog.NewMirror(platform.Decoder{}, clock.Boot, catalog.DefaultCompileInterval, f.apply)
	f.sync = catalog.NewSync(catalog.SyncOptions{
		Mirror:              f.mirror,
		Source:              platform.NewStore(string(f.s.Platform.Addresses[0]), storeTransport(ip)),
		Peers:               f.node,
		Sources:             f.fleet.sources,
		FleetSize:           f.fleet.liveCount,
		SetStoreUnreachable: f.fleet.storeUnreachable.set,
		AnnounceVersion:     f.fleet.announceVersion,
		Now:                 clock.Boot,
		Log:                 f.log,
	})
	f.node.Handle(f.sync.Handle)
	f.fleet.watchVersions(f.sync.Announced)
	f.poison = poison.New(poison.Options{
		VM: ip, Fleet: f.node, Log: f.log, Registerer: f.registry,
		Hears: func(ctx context.Context, since time.Duration, except []string) bool {
			return f.upstreams.Hears(ctx, since, except)
		},
	})
	return nil
}

// maxAnnounceDelay spreads the facts about an upstream that several VMs find leaving at about the same
// time: all but the first then know that the fleet is told.
const maxAnnounceDelay = 300 * time.Millisecond

// announceLeaving announces that an upstream leaves, unless that is published or announced by then.
func (f *Forwarder) announceLeaving(i upstream.Incarnation) {
	time.AfterFunc(rand.N(maxAnnounceDelay), func() {
		if c := f.catalog.Load(); c != nil && c.Manifest.Upstreams[i.Address] != nil {
			f.fleet.announceLeaving(i)
		}
	})
}

// announceLimit announces which limit an upstream names, unless another VM has by then.
func (f *Forwarder) announceLimit(i upstream.Incarnation) {
	time.AfterFunc(rand.N(maxAnnounceDelay), func() {
		if perSecond, due := f.upstreams.TakeLimitToAnnounce(i); due {
			f.fleet.announceLimit(i, perSecond)
		}
	})
}

// announceCold announces that an upstream is cold, unless another VM has by then.
func (f *Forwarder) announceCold(i upstream.Incarnation, left time.Duration) {
	delay := rand.N(maxAnnounceDelay)
	time.AfterFunc(delay, func() {
		if left > delay {
			f.fleet.announceCold(i, left-delay)
		}
	})
}

// peerPort returns the port at which this VM reaches the others; own is the one it listens on.
func peerPort(s *settings.Settings, own uint16) uint16 {
	if s.Experiment != nil && s.Experiment.PeerPort != 0 {
		return uint16(s.Experiment.PeerPort)
	}
	return own
}

// reportLost states to the fleet that a VM is unreachable.
func (f *Forwarder) reportLost(vm string) {
	f.log.Info("VM unreachable", "peer", vm)
	f.fleet.reportLost(vm)
}

// dialing returns the IP address that upstreams are dialed from, empty for any, and what is added to
// their ports.
func (f *Forwarder) dialing() (fromIP string, portOffset int) {
	if f.s.Experiment == nil {
		return "", 0
	}
	if f.s.Experiment.BindUpstreams {
		fromIP = f.node.Name()
	}
	return fromIP, f.s.Experiment.UpstreamPortOffset
}

// readBytes is the memory for bodies of replies that are being read: small beside that of the smallest VM,
// 136 MB. Bodies of callers' requests have as much if the machine's memory is not known.
const readBytes = 16 << 20

// wireRequests creates the parts that serve callers and send requests to upstreams.
func (f *Forwarder) wireRequests() error {
	var err error
	dialIP, portOffset := f.dialing()
	reads := readlimit.New(readBytes)
	plan := clientlimit.Divide(f.s.Limits.MemoryMb, f.s.Limits.Descriptors)
	f.upstreams, err = upstream.New(upstream.Options{
		VM: f.node.Name(), Zone: f.s.Zone, Mechanisms: mechanism.New(f.s.Experiment), VMs: f.fleet.size, Members: f.fleet.names,
		Share: f.connectionShare, MayPreconnect: f.fleet.converged, ManifestOnly: true, Headers: platform.UpstreamHeaders, OnLeaving: f.announceLeaving,
		OnReach: f.fleet.setReached, Senders: f.limitSenders, OnLimit: f.announceLimit,
		Cold: upstream.ColdOptions{
			Overage: f.s.Cold.Overage, Slack: f.s.Cold.Slack, Senders: f.coldSenders, OnCold: f.announceCold,
		},
		DialIP: dialIP, DialPortOffset: portOffset, Reads: reads, CountReply: ingress.CountReply, Log: f.log, Registerer: f.registry,
	})
	if err != nil {
		return err
	}
	f.fleet.onStranded, f.fleet.onGatherer = f.upstreams.WarnUnreached, f.gathererChanged
	f.fleet.watchLeaving(f.upstreams.RecordPeerLeaving)
	f.fleet.watchLimits(f.upstreams.RecordPeerLimit)
	f.fleet.watchCold(f.upstreams.RecordPeerCold)
	engine := gather.New(gather.Options{
		Upstream: gather.Adapt(f.upstreams), Log: f.log, Registerer: f.registry,
	})
	runner := single.New(single.Options{Upstream: gather.Adapt(f.upstreams)})
	f.server = forward.New(forward.Options{
		Catalog:      f.served.Load,
		FirstCatalog: f.firstCatalog,
		Headers:      platform.CallerHeaders,
		Searcher:     engine,
		Runner:       runner,
		Poison:       f.poison,
		Reads:        readlimit.New(f.callerReads(plan)),
		Repeats: repeat.Limits{
			Ratio: f.s.Repeats.Ratio, Slack: f.s.Repeats.Slack,
			Window: time.Duration(f.s.Repeats.WindowSeconds * float64(time.Second)),
		},
		VMs:        f.senderCount,
		VM:         f.node.Name(),
		LinkMbps:   f.s.Fleet.LinkMbps,
		Zone:       f.s.Zone,
		Gatherers:  f.fleet.gatherers,
		Reach:      f.fleet.reach,
		Holders:    f.holders,
		Peers:      f.node,
		ReportLost: f.reportLost,
		Now:        clock.Boot,
		Log:        f.log,
		Registerer: f.registry,
	})
	f.node.Handle(f.server.Handle)
	f.newGates(plan, f.server.HeadLimit)
	return nil
}

// apply puts a catalog into force. The catalog is served last, so that no request uses it
// before its upstreams are set up.
func (f *Forwarder) apply(c *catalog.Catalog, change catalog.Change) {
	before := f.catalog.Swap(c)
	f.fleet.setShardLimits(c.ShardLimits)
	f.fleet.setEvacuating(len(c.Evacuated) > 0)
	if before == nil || before.Config != c.Config {
		f.upstreams.SetObjectives(objectives(c.Config))
	}
	f.upstreams.SetWarmups(c.Warmups)
	f.upstreams.Apply(c.Manifest)
	f.fleet.eachLeaving(f.upstreams.RecordPeerLeaving) // facts may be older than the upstreams
	f.fleet.eachLimit(f.upstreams.RecordPeerLimit)
	f.fleet.eachCold(f.upstreams.RecordPeerCold)
	f.served.Store(c)
	f.endStart()
	f.log.Info("catalog in force", "era", change.Era, "revision", change.Revision, "version", change.Version,
		"upstreams", change.Upstreams, "draining", change.Draining)
	f.logEvacuations(before, c, change)
	for key, err := range change.Refused {
		f.log.Warn("item refused", "key", key, "err", err)
	}
}

// objectives returns the latency objectives of the routes that have one.
func objectives(c *catalog.Config) map[string]time.Duration {
	out := make(map[string]time.Duration, len(c.Routes))
	for _, r := range c.Routes {
		if r.Objective > 0 {
			out[r.Name] = r.Objective
		}
	}
	return out
}

// ready reports whether the VM takes new requests.
func (f *Forwarder) ready() bool { return !f.stopping.Load() && f.served.Load() != nil }

func (f *Forwarder) status() admin.Status {
	c := f.catalog.Load()
	s := admin.Status{
		Name: f.s.Name, Zone: f.s.Zone, Incarnation: f.incarnation,
		UptimeMs: (clock.Boot() - f.started).Milliseconds(),
		Ready:    f.ready(), Stopping: f.stopping.Load(), InFlight: f.server.InFlight(),
		Facts: f.node.Facts().Len(), Upstreams: f.upstreams.States(),
	}
	if c != nil {
		s.Generation, s.Evacuated = c.Config.Version, c.Evacuated
	}
	return s
}

// Registerer returns the registry of the metrics that the admin interface serves.
func (f *Forwarder) Registerer() prometheus.Registerer { return f.registry }

// Reload applies the seeds. Other settings are applied at the next start only.
func (f *Forwarder) Reload(s *settings.Settings) { f.fleet.setSeeds(s.Fleet.Seeds) }

// maxStartWait is how long after the start requests may wait for the first catalog. A VM that has none by
// then does not reach the store, and refuses requests at once.
const maxStartWait = time.Second

// Run serves until ctx ends, then shuts down gracefully. It returns early if a server fails.
func (f *Forwarder) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	failed := make(chan error, 3)
	callerServer := f.server.HTTPServer(string(f.s.Listen.Callers))
	servers := []*http.Server{
		{
			Addr: string(f.s.Listen.Peers), Handler: f.node.Handler(), ReadHeaderTimeout: headerTimeout,
			IdleTimeout: peerIdleTimeout, MaxHeaderBytes: maxPeerHeaderBytes,
		},
		admin.Server(string(f.s.Listen.Admin), admin.Options{
			Ready: f.ready, Status: f.status, Gatherer: f.registry, Log: f.log, ReadyPath: platform.ReadyPath,
		}),
		callerServer,
	}
	for i, server := range servers {
		server.ErrorLog = f.log.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel})
		if err := listen(server, f.gates[i], failed); err != nil {
			return err
		}
	}
	go f.node.Run(runCtx)
	go f.fleet.run(runCtx)
	go f.sync.Run(runCtx)
	go f.upstreams.Run(runCtx)
	defer time.AfterFunc(maxStartWait, f.endStart).Stop()
	f.log.Info("started", "zone", f.s.Zone, "incarnation", f.incarnation, "callers", f.s.Listen.Callers)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	f.shutdown(callerServer)
	for _, server := range servers {
		server.Close()
	}
	return nil
}

const (
	// stopMarginDivisor sets the part of the grace time that is left, once requests are cut, to answer them
	// and to end the process.
	stopMarginDivisor = 12
	// minStopMargin is the least of that part, and cutAnswerTime what of it is for the answers.
	minStopMargin = 400 * time.Millisecond
	cutAnswerTime = 100 * time.Millisecond
)

// stopPollInterval is the time between two checks whether searches delegated by other VMs
// still run.
const stopPollInterval = 20 * time.Millisecond

// shutdown reports the VM as not ready and serves new requests for the linger time of the
// settings, because the load balancer needs time to notice. It then refuses new requests and
// waits for those in flight until the grace time is almost over; those that still run then are answered
// as unknown.
func (f *Forwarder) shutdown(callerServer *http.Server) {
	start := time.Now()
	f.log.Info("stopping", "in_flight", f.server.InFlight())
	f.stopping.Store(true)
	grace := time.Duration(f.s.Stop.GraceMs) * time.Millisecond
	cutAfter := max(grace-max(grace/stopMarginDivisor, minStopMargin), 0)
	f.server.StartDrain(start.Add(cutAfter))
	cut := time.AfterFunc(cutAfter, func() {
		f.log.Info("requests cut", "in_flight", f.server.InFlight())
		f.server.Cut()
	})
	defer cut.Stop()
	f.fleet.leave()
	time.Sleep(time.Duration(f.s.Stop.LingerMs) * time.Millisecond)
	f.server.StopAccepting()
	ctx, cancel := context.WithTimeout(context.Background(), cutAfter+cutAnswerTime-time.Since(start))
	defer cancel()
	if err := callerServer.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		f.log.Warn("shutdown", "err", err)
	}
	for f.server.InFlight() > 0 && pause.Sleep(ctx, stopPollInterval) {
		continue // searches delegated by other VMs, which Shutdown does not wait for
	}
	f.log.Info("stopped", "in_flight", f.server.InFlight(), "took_ms", time.Since(start).Milliseconds())
}
