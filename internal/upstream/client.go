package upstream

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
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
	"github.com/sardinespindle/sardinespindle/internal/sharded"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
	"github.com/sardinespindle/sardinespindle/schema/gen/settings"
)

// Options of a Client. Only Log and Registerer may be nil besides the functions
// marked optional.
type Options struct {
	// VM and Zone name this VM and its availability zone.
	VM, Zone   string
	Mechanisms mechanism.Set
	// VMs returns how many VMs may be alive; optional, 0 where not known.
	VMs func() int
	// Members returns the names of the VMs that may be alive, this one included;
	// optional. It shares out probes, and connections where VMs outnumber them.
	Members func() []string
	// Share returns how many connections this VM may open to an upstream; optional, the
	// even share of VMs and Members where nil.
	Share func(u *gen.Upstream) int
	// Warm reports whether connections may be opened before a request needs one; optional,
	// always where nil.
	Warm func() bool
	// Published says that what is published of an upstream alone decides whether it takes
	// new work: no probes are sent and no lease is needed.
	Published bool
	// Wire names the headers of attempts of kind Pass.
	Wire Wire
	Log  *log.Logger
	// Registerer takes the metrics.
	Registerer prometheus.Registerer
	// Report is called on each change worth telling peers; optional.
	Report func(Evidence)
	// Now reads a clock that runs while the VM is frozen; optional.
	Now func() time.Duration
}

// Evidence says whether an upstream drains.
type Evidence struct {
	Address  string
	Draining bool
	// Age of the evidence.
	Age time.Duration
}

// rules are the mechanisms in force.
type rules struct {
	baseline, drain, echo bool
}

// groupKey names the upstreams that serve one shard; Shard is empty for a single workload.
type groupKey struct {
	workload, shard string
}

// group is the upstreams that serve one shard.
type group struct {
	servers []*server
	metrics *workloadMetrics
	hedge   atomic.Pointer[hedgeDelay]
}

// table is one manifest compiled for lookup. It is immutable.
type table struct {
	servers   map[string]*server
	groups    map[groupKey]*group
	workloads map[string]*group
	zones     map[string]*zone
}

// Client sends requests to upstreams. Each upstream's state has its own lock; the
// table of upstreams is replaced as a whole.
type Client struct {
	opts      Options
	rules     rules
	metrics   *metrics
	transport *http.Transport

	applyMu      sync.Mutex // held while a manifest is applied or shares are set
	current      atomic.Pointer[table]
	probeSlots   chan struct{} // bounds background probes
	routeLatency *sharded.Map[string, forecast.Work]
}

// maxRoutes bounds the kinds of requests whose usual time is kept.
const maxRoutes = 4096

// mostProbes is the most background probes at a time.
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
	if o.Warm == nil {
		o.Warm = func() bool { return true }
	}
	if o.Report == nil {
		o.Report = func(Evidence) {}
	}
	m, err := newMetrics(o.Registerer)
	if err != nil {
		return nil, fmt.Errorf("register upstream metrics: %w", err)
	}
	c := &Client{
		opts:         o,
		metrics:      m,
		transport:    newTransport(o.Now),
		probeSlots:   make(chan struct{}, maxProbes),
		routeLatency: sharded.New[string, forecast.Work](maxRoutes),
		rules: rules{
			baseline: o.Mechanisms.Baseline(),
			drain:    o.Mechanisms.On(settings.ExperimentDisableElemDrain) && !o.Published,
			echo:     o.Mechanisms.On(settings.ExperimentDisableElemEcho),
		},
	}
	c.current.Store(&table{})
	return c, nil
}

// Apply puts a new manifest in force. State of upstreams that stay is kept.
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
		if s == nil || s.identity != u.Identity {
			s = c.newServer(u, len(old.servers) == 0)
		}
		s.update(u, next.zone(old, string(u.Zone)), string(u.Zone) == c.opts.Zone)
		next.servers[address] = s
	}
	for name, w := range m.Workloads {
		next.addWorkload(w, c.metrics.forWorkload(name))
	}
	c.current.Store(next)
	for address, s := range old.servers {
		if next.servers[address] != s {
			s.pool.setMaxOpen(0)
			c.metrics.connections.DeleteLabelValues(address)
		}
	}
	c.setShares(next)
}

// zone returns the state of a zone, which is kept from the table before.
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

// addWorkload adds the groups of one workload.
func (t *table) addWorkload(w *manifest.Workload, m *workloadMetrics) {
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

// group returns the group of the upstreams listed.
func (t *table) group(us []*gen.Upstream, m *workloadMetrics) *group {
	g := &group{metrics: m}
	for _, u := range us {
		if s := t.servers[u.Address]; s != nil {
			g.servers = append(g.servers, s)
		}
	}
	return g
}

// newServer returns the state of an upstream that is new to this VM; atStart tells
// that the VM itself is new, so that the upstream may have been there for long.
func (c *Client) newServer(u *gen.Upstream, atStart bool) *server {
	return &server{
		address:  u.Address,
		identity: u.Identity,
		health:   replica.New(c.opts.Now(), atStart),
		limit:    limit.New(u.Slots),
		pool: &pool{
			address:   u.Address,
			transport: c.transport,
			now:       c.opts.Now,
			onDial:    c.countDial,
		},
	}
}

// countDial counts one dial.
func (c *Client) countDial(err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	c.metrics.dials.WithLabelValues(result).Inc()
}

// setShares sets each pool's share for the VM list as it is now.
func (c *Client) setShares(t *table) {
	vms := c.opts.VMs()
	members := c.opts.Members()
	for _, s := range t.servers {
		s.mu.Lock()
		entry := s.entry
		s.mu.Unlock()
		share := 0
		if c.opts.Share != nil {
			share = c.opts.Share(entry)
		} else {
			share = connbudget.Connections(entry.ConnectionLimit, vms, s.address, c.opts.VM, members)
		}
		s.pool.setMaxOpen(share)
		c.metrics.connections.WithLabelValues(s.address).Set(float64(s.pool.size()))
	}
}

const (
	maintenanceInterval = 250 * time.Millisecond
	shareInterval       = time.Second
)

// Run probes, keeps connections warm and follows the VM list until ctx ends.
func (c *Client) Run(ctx context.Context) {
	tick := time.NewTicker(maintenanceInterval)
	defer tick.Stop()
	var sharedAt time.Duration
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := c.opts.Now()
		if now-sharedAt >= shareInterval {
			sharedAt = now
			c.applyMu.Lock()
			c.setShares(c.current.Load())
			c.applyMu.Unlock()
		}
		c.maintain(ctx, now)
	}
}

// warmChance is the part of the pools that are looked after in one tick, which
// spreads the dials of a VM that starts.
const warmProbability = 0.5

// upkeep warms pools and probes the upstreams that are due.
func (c *Client) maintain(ctx context.Context, now time.Duration) {
	members := c.opts.Members()
	warm := c.opts.Warm()
	for _, s := range c.current.Load().servers {
		if warm && rand.Float64() < warmProbability && s.verdict(now) != drainVerdict {
			s.pool.warm()
		}
		if !c.opts.Published && c.probeDue(s, now, members) {
			c.probeInBackground(ctx, s)
		}
	}
}

// Close closes every idle connection; those in use are closed when they are given back.
func (c *Client) Close() {
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	for _, s := range c.current.Load().servers {
		s.pool.setMaxOpen(0)
	}
}

// State is what the read-only status shows of one upstream.
type State struct {
	Address     string  `json:"address"`
	Identity    string  `json:"identity,omitempty"`
	Workload    string  `json:"workload"`
	Zone        string  `json:"zone"`
	Eligibility string  `json:"eligibility"`
	LeaseLeftMs int64   `json:"lease_left_ms"`
	Outstanding int     `json:"outstanding"`
	Limit       int     `json:"limit"`
	LatencyMs   float64 `json:"latency_ms"`
	Suspect     bool    `json:"suspect"`
	Doubted     bool    `json:"doubted"`
	Shedding    bool    `json:"shedding"`
	Connections int     `json:"connections"`
	Share       int     `json:"share"`
}

// States returns the state of every upstream, ordered by address.
func (c *Client) States() []State {
	now := c.opts.Now()
	t := c.current.Load()
	out := make([]State, 0, len(t.servers))
	for _, s := range t.servers {
		out = append(out, s.state(now))
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Address < out[j].Address })
	return out
}

// state returns what the status shows of the upstream.
func (s *server) state(now time.Duration) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return State{
		Address:     s.address,
		Identity:    s.identity,
		Workload:    string(s.entry.Workload),
		Zone:        string(s.entry.Zone),
		Eligibility: s.lease.Verdict(now).String(),
		LeaseLeftMs: s.lease.Left(now).Milliseconds(),
		Outstanding: s.health.Outstanding,
		Limit:       s.limit.Value(),
		LatencyMs:   s.health.Latency(now) / float64(time.Millisecond),
		Suspect:     s.health.Suspect(),
		Doubted:     s.lease.Doubted(),
		Shedding:    s.health.Shedding(now),
		Connections: s.pool.size(),
		Share:       int(s.pool.share.Load()),
	}
}

// Errors of Pick. After each nothing was sent.
var (
	// ErrNoReplica: the manifest has no upstream left to try for the shard.
	ErrNoReplica = errors.New("upstream: no replica")
	// ErrDraining: every upstream left to try is draining.
	ErrDraining = errors.New("upstream: every replica is draining")
	// ErrNoShare: this VM holds no connection to any upstream left to try.
	ErrNoShare = errors.New("upstream: no connection share")
	// ErrUnfit: every upstream left to try is suspect, sheds or queues, so that no
	// hedge may go there.
	ErrUnfit = errors.New("upstream: no replica fit for a hedge")
	// ErrLimited: every upstream left to try is at its concurrency limit.
	ErrLimited = errors.New("upstream: every replica is at its limit")
)
