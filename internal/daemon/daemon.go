// Package daemon wires the parts of one VM together and runs them from start to
// graceful shutdown.
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

// Daemon is one VM's process.
type Daemon struct {
	s           *settings.Settings
	log         *log.Logger
	mechanisms  mechanism.Set
	incarnation string
	started     time.Duration
	registry    *prometheus.Registry
	stopping    atomic.Bool
	listedAt    atomic.Int64 // on the boot clock, when the VM list was last confirmed

	platform  *platform.Client
	node      *peer.Node
	keeper    *rollout.Keeper
	upstreams *upstream.Client
	poison    *poison.Guard
	claims    *claims.Claims
	admission *admission.Controller
	callers   *callers.Server
}

// New wires a daemon. Nothing runs yet.
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
	d.connect()
	if d.mechanisms.Baseline() || len(s.Experiment.Disable) > 0 {
		l.Warn("guarantees are turned off for an experiment", "policy", s.Experiment.Policy, "disable", s.Experiment.Disable)
	}
	return d, nil
}

// Reload takes nothing: all settings of this kind of daemon hold until its end.
func (d *Daemon) Reload(*settings.Settings) {}

// Registerer takes metrics that are served with this daemon's own.
func (d *Daemon) Registerer() prometheus.Registerer { return d.registry }

// Run serves until the context ends, then shuts down gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	failed := make(chan error, 3)
	servers := []*http.Server{
		{Addr: string(d.s.Listen.Peers), Handler: d.node.Handler(), ReadHeaderTimeout: headerTimeout},
		admin.Server(string(d.s.Listen.Admin), d.adminOptions()),
		d.callers.HTTPServer(string(d.s.Listen.Callers)),
	}
	for _, server := range servers {
		server.ErrorLog = d.log.StandardLog(log.StandardLogOptions{ForceLevel: log.WarnLevel})
		if err := listen(server, failed); err != nil {
			return err
		}
	}
	d.start(work)
	d.log.Info("started", "zone", d.s.Zone, "incarnation", d.incarnation, "callers", d.s.Listen.Callers)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	return d.shutdown(servers)
}

func listen(server *http.Server, failed chan<- error) error {
	l, err := net.Listen("tcp", server.Addr) //nolint:noctx // the listener lives as long as the process
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			failed <- fmt.Errorf("serve %s: %w", server.Addr, err)
		}
	}()
	return nil
}

// start runs every part in the background.
func (d *Daemon) start(ctx context.Context) {
	go d.node.Run(ctx)
	go d.watchVMs(ctx)
	go d.keeper.Run(ctx)
	go d.upstreams.Run(ctx)
	go d.admission.Run(ctx)
	go d.claims.Run(ctx)
}

// shutdown says that the VM is leaving, keeps accepting while the balancer lags,
// finishes every request in flight and then closes the rest.
func (d *Daemon) shutdown(servers []*http.Server) error {
	d.log.Info("stopping", "in_flight", d.callers.InFlight())
	d.stopping.Store(true)
	d.callers.Stop()
	d.node.Facts().Put("vm/"+d.s.Name, "leaving", leavingTTL)
	if d.mechanisms.On(settings.ExperimentDisableElemGraceful) {
		time.Sleep(time.Duration(d.s.Stop.LingerMs) * time.Millisecond)
	}
	err := d.closeServers(servers)
	ctx, cancel := context.WithTimeout(context.Background(), leaveTime)
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

func (d *Daemon) closeServers(servers []*http.Server) error {
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

// longestDeadline returns the longest time that a request may take.
func (d *Daemon) longestDeadline() time.Duration {
	longest := time.Duration(0)
	m := d.keeper.Current()
	if m == nil {
		return longest
	}
	for _, c := range m.Callers {
		for _, g := range c.ByWorkload {
			longest = max(longest, manifest.Deadline(g))
		}
	}
	return longest
}

// newSearcher returns the search engine over the wired parts.
func (d *Daemon) newSearcher() callers.Searcher {
	return provenSearch{d: d, engine: gather.New(gather.Options{
		Upstream:   gather.From(d.upstreams),
		Poison:     suspects{d},
		Mechanisms: d.mechanisms,
		Log:        d.log,
		Registerer: d.registry,
	})}
}

// newRunner returns the runner of single workloads over the wired parts.
func (d *Daemon) newRunner() callers.Runner {
	r := single.New(single.Options{
		Upstream: gather.From(d.upstreams),
		Claims:   d.claims,
		Poison:   suspects{d},
		NoHedge:  d.mechanisms.Baseline(),
	})
	return provenRun{d: d, runner: r}
}
