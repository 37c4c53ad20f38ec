// Package daemon connects the parts of one VM's process and runs them from start to
// graceful shutdown. A Daemon serves the workloads of a manifest, a Forwarder the routes of
// a catalog. Nothing runs before Run, which is called once; other methods are safe for
// concurrent use.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/sardinespindle/sardinespindle/internal/admin"
	"github.com/sardinespindle/sardinespindle/internal/admission"
	"github.com/sardinespindle/sardinespindle/internal/callers"
	"github.com/sardinespindle/sardinespindle/internal/claims"
	"github.com/sardinespindle/sardinespindle/internal/clock"
	"github.com/sardinespindle/sardinespindle/internal/gather"
	"github.com/sardinespindle/sardinespindle/internal/ingress"
	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/mechanism"
	"github.com/sardinespindle/sardinespindle/internal/peer"
	"github.com/sardinespindle/sardinespindle/internal/platform"
	"github.com/sardinespindle/sardinespindle/internal/poison"
	"github.com/sardinespindle/sardinespindle/internal/rollout"
	"github.com/sardinespindle/sardinespindle/internal/single"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
	"github.com/sardinespindle/sardinespindle/schema/gen/settings"
)

// Daemon is the process of a VM that serves the workloads of a manifest.
type Daemon struct {
	s           *settings.Settings
	log         *log.Logger
	mechanisms  mechanism.Set
	incarnation string
	started     time.Duration
	registry    *prometheus.Registry
	stopping    atomic.Bool
	listedAt    atomic.Int64 // boot clock, when the platform last confirmed the VM list; 0 for never

	platform  *platform.Client
	node      *peer.Node
	keeper    *rollout.Keeper
	upstreams *upstream.Client
	poison    *poison.Guard
	claims    *claims.Claims
	admission *admission.Controller
	callers   *callers.Server
}

// New returns a Daemon that does not run yet.
func New(s *settings.Settings, l *log.Logger) (*Daemon, error) {
	d := &Daemon{
		s:           s,
		log:         l,
		mechanisms:  mechanism.New(s.Experiment),
		incarnation: uuid.NewString(),
		started:     clock.Boot(),
		registry:    prometheus.NewRegistry(),
	}
	d.registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	if err := d.wireFleet(); err != nil {
		return nil, err
	}
	if err := d.wireRequests(); err != nil {
		return nil, err
	}
	d.subscribe()
	if d.mechanisms.Baseline() || len(s.Experiment.Disable) > 0 {
		l.Warn("guarantees are turned off for an experiment", "policy", s.Experiment.Policy, "disable", s.Experiment.Disable)
	}
	return d, nil
}

// Reload does nothing: a Daemon keeps the settings of its start.
func (d *Daemon) Reload(*settings.Settings) {}

// Registerer returns the registry of the metrics that the admin interface serves.
func (d *Daemon) Registerer() prometheus.Registerer { return d.registry }

// Run serves until ctx ends, then shuts down gracefully. It returns early if a server fails.
func (d *Daemon) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	failed := make(chan error, 3)
	servers := []*http.Server{
		{Addr: string(d.s.Listen.Peers), Handler: d.node.Handler(), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxPeerHeaderBytes},
		admin.Server(string(d.s.Listen.Admin), d.adminOptions()),
		d.callers.HTTPServer(string(d.s.Listen.Callers)),
	}
	for _, server := range servers {
		server.ErrorLog = d.log.StandardLog(log.StandardLogOptions{ForceLevel: log.WarnLevel})
		if err := listen(server, nil, failed); err != nil {
			return err
		}
	}
	d.start(runCtx)
	d.log.Info("started", "zone", d.s.Zone, "incarnation", d.incarnation, "callers", d.s.Listen.Callers)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	return d.shutdown(servers)
}

// listen serves in the background and sends the error to failed if serving fails. The gate, which may be
// nil, bounds the server's connections.
func listen(server *http.Server, gate *ingress.Gate, failed chan<- error) error {
	l, err := net.Listen("tcp", server.Addr) //nolint:noctx // the listener lives as long as the process
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if gate != nil {
		gate.Protect(server)
		l = gate.Listen(l)
	}
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			failed <- fmt.Errorf("serve %s: %w", server.Addr, err)
		}
	}()
	return nil
}

// start starts the background work of every part.
func (d *Daemon) start(ctx context.Context) {
	go d.node.Run(ctx)
	go d.watchVMs(ctx)
	go d.keeper.Run(ctx)
	go d.upstreams.Run(ctx)
	go d.admission.Run(ctx)
	go d.claims.Run(ctx)
}

// shutdown announces that the VM is leaving and serves new requests for the linger time of
// the settings, because the load balancer needs time to notice. It then finishes the requests
// in flight and closes everything else. With the mechanism graceful off, it does not wait.
func (d *Daemon) shutdown(servers []*http.Server) error {
	d.log.Info("stopping", "in_flight", d.callers.InFlight())
	d.stopping.Store(true)
	d.callers.Stop()
	d.node.Facts().Put("vm/"+d.s.Name, "leaving", leavingTTL)
	if d.mechanisms.On(settings.ExperimentDisableElemGraceful) {
		time.Sleep(time.Duration(d.s.Stop.LingerMs) * time.Millisecond)
	}
	err := d.closeCallers(servers)
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	d.claims.Leave(ctx)
	for _, server := range servers {
		server.Close()
	}
	d.node.Close()
	d.upstreams.Close()
	d.platform.Close()
	d.log.Info("stopped")
	return err
}

// closeCallers closes the server for callers, which is the last of servers. It waits for
// requests in flight unless the mechanism graceful is off.
func (d *Daemon) closeCallers(servers []*http.Server) error {
	callers := servers[len(servers)-1]
	if !d.mechanisms.On(settings.ExperimentDisableElemGraceful) {
		return callers.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), d.longestDeadline()+drainMargin)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		return fmt.Errorf("requests still in flight: %w", err)
	}
	return nil
}

// longestDeadline returns the longest deadline that the manifest in force grants; 0 if none
// is in force.
func (d *Daemon) longestDeadline() time.Duration {
	longest := time.Duration(0)
	m := d.keeper.Current()
	if m == nil {
		return longest
	}
	for _, c := range m.Callers {
		for _, g := range c.ByWorkload {
			longest = max(longest, manifest.MaxDeadline(g))
		}
	}
	return longest
}

// newSearcher returns the searcher for sharded workloads, which reports to the poison guard.
func (d *Daemon) newSearcher() callers.Searcher {
	return reportingSearcher{d: d, engine: gather.New(gather.Options{
		Upstream:   gather.Adapt(d.upstreams),
		Poison:     poisonAdapter{d},
		Mechanisms: d.mechanisms,
		Log:        d.log,
		Registerer: d.registry,
	})}
}

// newRunner returns the runner for single workloads, which reports to the poison guard.
func (d *Daemon) newRunner() callers.Runner {
	r := single.New(single.Options{
		Upstream: gather.Adapt(d.upstreams),
		Claims:   d.claims,
		Poison:   poisonAdapter{d},
		NoHedge:  d.mechanisms.Baseline(),
	})
	return reportingRunner{d: d, runner: r}
}
