package upstream

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sardinespindle/sardinespindle/internal/clock"
	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/mechanism"
	"github.com/sardinespindle/sardinespindle/internal/policy/connbudget"
	"github.com/sardinespindle/sardinespindle/internal/policy/forecast"
	"github.com/sardinespindle/sardinespindle/internal/policy/limit"
	"github.com/sardinespindle/sardinespindle/internal/policy/replica"
	"github.com/sardinespindle/sardinespindle/internal/policy/warmup"
	"github.com/sardinespindle/sardinespindle/internal/readlimit"
	"github.com/sardinespindle/sardinespindle/internal/sharded"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
	"github.com/sardinespindle/sardinespindle/schema/gen/settings"
)

// Options configures a Client. The functions, Log and Registerer may be nil.
type Options struct {
	// VM and Zone name this VM and its availability zone.
	VM, Zone   string
	Mechanisms mechanism.Set
	// VMs returns how many VMs may be alive; 0, the default, means unknown.
	VMs func() int
	// Members returns the names of the VMs that may be alive, this one included. These
	// names decide which VM probes a draining upstream for all. If there are more VMs
	// than connections, they also decide which VMs hold one.
	Members func() []string
	// Share returns how many connections this VM may open to an upstream. The default
	// is an equal share by VMs and Members.
	Share func(u *gen.Upstream) int
	// MayPreconnect reports whether connections may be opened before a request needs one. The
	// default is always.
	MayPreconnect func() bool
	// ManifestOnly says that each upstream in the manifest takes new work, even one marked
	// as draining: no probes are sent and no lease is needed.
	ManifestOnly bool
	// DialIP is the IP address that connections are dialed from; empty for any. DialPortOffset
	// is added to the port of each upstream that is dialed.
	DialIP         string
	DialPortOffset int
	// Reads bounds the memory of replies that are being read. The default is 256 MiB.
	Reads *readlimit.Budget
	// CountReply returns a reader of the body of a reply to a pass-through request that counts it as held
	// for the caller of the attempt with the context; length is negative if it is not known. Its reads wait for
	// room, and fail with readlimit.ErrNoMemory if there is none in time. Closed before its end, it counts no
	// longer. It may be nil.
	CountReply func(ctx context.Context, body io.ReadCloser, length int64) io.ReadCloser
	// Headers names the headers of attempts of kind PassThrough.
	Headers    HeaderNames
	Log        *log.Logger
	Registerer prometheus.Registerer
	// Senders returns the VMs that may send requests to an upstream, this one included if it
	// may; they share the limit that the upstream names. The default is Members.
	Senders func(u *gen.Upstream) []string
	// OnLimit is called when an upstream's limit should be announced to the fleet: TakeLimitToAnnounce
	// then returns it, if no other VM has announced it by then.
	OnLimit func(Incarnation)
	// Cold bounds the requests to upstreams that are cold, see Client.SetWarmups.
	Cold ColdOptions
	// OnReach is called when this VM has lost or regained its path to the upstreams.
	OnReach func(reached bool)
	// OnLeaving is called when an upstream's reply to a pass-through request says for the first
	// time that it leaves, for the VM to tell the others.
	OnLeaving func(Incarnation)
	// OnDrainChange is called when an upstream's reply shows that the upstream started or
	// stopped draining, for the VM to notify its peers.
	OnDrainChange func(DrainEvidence)
	// Now reads a clock that keeps running while the VM is paused. The default is
	// clock.Boot.
	Now func() time.Duration
}

// Incarnation is one run of an upstream's process at an address.
type Incarnation struct {
	Address, Identity string
	StartedMs         int // as published; 0 if not known
}

// DrainEvidence states whether an upstream drains.
type DrainEvidence struct {
	Address  string
	Draining bool
	Age      time.Duration
}

// rules says whether the baseline policy and the drain and echo mechanisms are on. drain
// is off with Options.ManifestOnly.
type rules struct {
	baseline, drain, echo bool
}

// groupKey identifies a group; shard is empty for a workload that is not sharded.
type groupKey struct {
	workload, shard string
}

// group is the upstreams that serve one shard, or one workload.
type group struct {
	published []*gen.Upstream // from the manifest; what servers holds the state of
	servers   []*server
	metrics   *lazyMetrics
	hedge     atomic.Pointer[hedgeDelay]
}

// table indexes one manifest's upstreams. It is immutable; what it points to is not.
type table struct {
	servers   map[string]*server
	groups    map[groupKey]*group
	workloads map[string]*group
	zones     map[string]*zone
	bounded   []*server // those that may be cold, with a bound
}

// Client sends requests to upstreams and is safe for concurrent use. Each upstream's
// state has its own lock; the table of upstreams is replaced atomically.
type Client struct {
	opts      Options
	rules     rules
	metrics   *metrics
	dialer    *dialer
	transport *http.Transport
	path      pathState

	sharesDue    chan struct{}              // holds an element if the connection shares must be set at once
	applyMu      sync.Mutex                 // held while a manifest is applied or shares are set
	warmups      map[string]warmup.Upstream // by address; guarded by applyMu
	hadUpstreams bool                       // a manifest with upstreams was applied; guarded by applyMu
	current      atomic.Pointer[table]
	probeSlots   chan struct{} // bounds background probes
	routeLatency *sharded.Map[string, forecast.TypicalLatency]
	objectives   atomic.Pointer[map[string]time.Duration] // by route; nil until SetObjectives
	// tickedAt is when maintenance last ran; resumedAt when it ran again after it had not for a while.
	tickedAt, resumedAt atomic.Int64
}

// maxRoutes bounds the routes whose typical latency is stored.
const maxRoutes = 4096

// maxProbes bounds the concurrent background probes.
const maxProbes = 16

// New returns a client without upstreams.
func New(o Options) (*Client, error) {
	if o.Now == nil {
		o.Now = clock.Boot
	}
	if o.VMs == nil {
		o.VMs = func() int { return 0 }
	}
	if o.Members == nil {
		o.Members = func() []string { return nil }
	}
	if o.MayPreconnect == nil {
		o.MayPreconnect = func() bool { return true }
	}
	if o.Senders == nil {
		o.Senders = func(*gen.Upstream) []string { return o.Members() }
	}
	if o.Cold.Senders == nil {
		o.Cold.Senders = o.Senders
	}
	if o.Cold.OnCold == nil {
		o.Cold.OnCold = func(Incarnation, time.Duration) {}
	}
	if o.OnReach == nil {
		o.OnReach = func(bool) {}
	}
	if o.OnLimit == nil {
		o.OnLimit = func(Incarnation) {}
	}
	if o.Reads == nil {
		o.Reads = readlimit.New(defaultReadBytes)
	}
	if o.OnLeaving == nil {
		o.OnLeaving = func(Incarnation) {}
	}
	if o.OnDrainChange == nil {
		o.OnDrainChange = func(DrainEvidence) {}
	}
	m, err := newMetrics(o.Registerer)
	if err != nil {
		return nil, fmt.Errorf("register upstream metrics: %w", err)
	}
	dialer := newDialer(o.DialIP, o.DialPortOffset)
	c := &Client{
		opts:         o,
		metrics:      m,
		dialer:       dialer,
		transport:    newTransport(o.Now, dialer),
		path:         pathState{now: o.Now, doubt: make(chan struct{}, 1)},
		sharesDue:    make(chan struct{}, 1),
		probeSlots:   make(chan struct{}, maxProbes),
		routeLatency: sharded.New[string, forecast.TypicalLatency](maxRoutes),
		rules: rules{
			baseline: o.Mechanisms.Baseline(),
			drain:    o.Mechanisms.On(settings.ExperimentDisableElemDrain) && !o.ManifestOnly,
			echo:     o.Mechanisms.On(settings.ExperimentDisableElemEcho),
		},
	}
	c.current.Store(&table{})
	return c, nil
}

// Apply replaces the manifest. It keeps the state of upstreams whose address and
// identity stay the same. Connections to other upstreams of the previous manifest are
// closed, those in use when their attempt ends. Attempts at these upstreams that have not been
// sent when Apply returns are not sent.
func (c *Client) Apply(m *manifest.Manifest) {
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	old := c.current.Load()
	next := &table{
		servers:   make(map[string]*server, len(m.Upstreams)),
		groups:    make(map[groupKey]*group),
		workloads: make(map[string]*group),
		zones:     make(map[string]*zone),
	}
	for address, u := range m.Upstreams {
		s := old.servers[address]
		before := s
		if s == nil || s.identity != u.Identity || s.started != u.StartedMs {
			s = c.newServer(u, !c.hadUpstreams)
		}
		z := next.zone(old, string(u.Zone))
		if s.published != u {
			s.published = u
			s.update(u, z, string(u.Zone) == c.opts.Zone)
		}
		next.servers[address] = s
		if c.updateWarmup(s, before) {
			next.bounded = append(next.bounded, s)
		}
	}
	for name, w := range m.Workloads {
		if !next.keepWorkload(old, w) {
			next.addWorkload(w, c.metrics.lazyForWorkload(name))
		}
	}
	c.hadUpstreams = c.hadUpstreams || len(next.servers) > 0
	c.current.Store(next)
	for address, s := range old.servers {
		if next.servers[address] != s {
			s.removed.Store(true)
			c.judgeRemoved(s, next.servers[address] != nil)
			s.pool.setMaxOpen(0)
			c.metrics.connections.DeleteLabelValues(address)
		}
	}
	c.setShares(next)
}

// zone returns the state of a zone, taken over from the previous table if it is there.
func (t *table) zone(old *table, name string) *zone {
	z := t.zones[name]
	if z == nil {
		z = old.zones[name]
	}
	if z == nil {
		z = &zone{}
	}
	t.zones[name] = z
	return z
}

// keepWorkload takes over the groups of a single workload from the previous table if its upstreams are
// the same; it reports whether it did.
func (t *table) keepWorkload(old *table, w *manifest.Workload) bool {
	key := groupKey{workload: string(w.Name)}
	g := old.groups[key]
	if w.Sharded() || g == nil || !slices.Equal(g.published, w.Upstreams) {
		return false
	}
	t.workloads[key.workload], t.groups[key] = old.workloads[key.workload], g
	return true
}

// addWorkload adds the groups of one workload.
func (t *table) addWorkload(w *manifest.Workload, m *lazyMetrics) {
	name := string(w.Name)
	t.workloads[name] = t.group(w.Upstreams, m)
	if !w.Sharded() {
		t.groups[groupKey{workload: name}] = t.group(w.Upstreams, m)
		return
	}
	for shard, us := range w.Replicas {
		t.groups[groupKey{name, shard}] = t.group(us, m)
	}
}

// group returns the group of the given upstreams.
func (t *table) group(us []*gen.Upstream, m *lazyMetrics) *group {
	g := &group{metrics: m, published: us}
	for _, u := range us {
		if s := t.servers[u.Address]; s != nil {
			g.servers = append(g.servers, s)
		}
	}
	return g
}

// newServer returns the state of an upstream that is new to this VM. atStart says that
// this VM has just started, so that the upstream needs no slow start.
func (c *Client) newServer(u *gen.Upstream, atStart bool) *server {
	s := &server{
		address:  u.Address,
		identity: u.Identity,
		started:  u.StartedMs,
		health:   replica.New(c.opts.Now(), atStart),
		limit:    limit.New(u.Slots),
		pool: &pool{
			address:   u.Address,
			transport: c.transport,
			now:       c.opts.Now,
			path:      &c.path,
		},
	}
	s.pool.onDial = func(err error) { c.recordDial(s, err) }
	return s
}

// countDial counts a dial by its result.
func (c *Client) countDial(err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	c.metrics.dials.WithLabelValues(result).Inc()
}

// setShares sets each pool's share by Options.Share or the current VM list, and updates
// the gauge of open connections. applyMu is held.
func (c *Client) setShares(t *table) {
	vms := c.opts.VMs()
	members := c.opts.Members()
	for _, s := range t.servers {
		s.mu.Lock()
		entry := s.entry
		limited := s.rate.PerSecond() > 0
		s.mu.Unlock()
		if limited {
			c.setRateShare(s)
		}
		share := 0
		if c.opts.Share != nil {
			share = c.opts.Share(entry)
		} else {
			share = connbudget.Connections(entry.ConnectionLimit, vms, s.address, c.opts.VM, members)
		}
		if share == 0 && s.pool.share.Load() == 0 && s.openGauge == nil {
			continue // most upstreams, on a VM that is no gatherer
		}
		s.pool.setMaxOpen(share)
		size := s.pool.size()
		if size > 0 && s.openGauge == nil {
			s.openGauge = c.metrics.connections.WithLabelValues(s.address)
		}
		if s.openGauge != nil {
			s.openGauge.Set(float64(size))
		}
	}
}

const (
	maintenanceInterval = 250 * time.Millisecond
	shareInterval       = time.Second
)

// Run probes upstreams, keeps connections warm and adapts the connection shares to the
// VM list until ctx ends.
func (c *Client) Run(ctx context.Context) {
	if c.opts.ManifestOnly && !c.rules.baseline {
		go c.watchReach(ctx)
	}
	tick := time.NewTicker(maintenanceInterval)
	defer tick.Stop()
	var sharedAt time.Duration
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.sharesDue:
			c.updateShares()
			continue
		case <-tick.C:
		}
		now := c.opts.Now()
		c.recordTick(now)
		if now-sharedAt >= shareInterval {
			sharedAt = now
			c.updateShares()
		}
		c.maintain(ctx, now)
	}
}

// SharesChanged has the connection shares set at once: Options.Share allows this VM to open connections
// that it could not open before, or the reverse.
func (c *Client) SharesChanged() {
	select {
	case c.sharesDue <- struct{}{}:
	default:
	}
}

func (c *Client) updateShares() {
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	c.setShares(c.current.Load())
}

// warmProbability is the probability that a pool is warmed in one tick. It spreads the
// dials of a VM that starts.
const warmProbability = 0.5

// maintain warms pools and starts the probes that are due.
func (c *Client) maintain(ctx context.Context, now time.Duration) {
	c.refreshAllCold()
	members := c.opts.Members()
	warm := c.opts.MayPreconnect()
	for _, s := range c.current.Load().servers {
		if warm && !c.path.isStranded() && rand.Float64() < warmProbability && s.verdict(now) != drainVerdict {
			s.pool.warm(s.isNear())
		}
		if !c.opts.ManifestOnly && c.probeDue(s, now, members) {
			c.probeInBackground(ctx, s)
		}
	}
}

// Close closes the idle connections; those in use are closed when their attempt ends.
func (c *Client) Close() {
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	for _, s := range c.current.Load().servers {
		s.pool.setMaxOpen(0)
	}
}
