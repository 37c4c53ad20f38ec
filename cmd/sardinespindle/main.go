// Command sardinespindle is the daemon of the query tier. One runs on each VM, and all
// of them are alike: no VM is configured for a role.
package main

import (
	"context"
	"fmt"
	stdlog "log"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/pprof"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sardinespindle/sardinespindle/internal/daemon"
	"github.com/sardinespindle/sardinespindle/internal/settings"
	"github.com/sardinespindle/sardinespindle/internal/telemetry"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/settings"
)

// flushTimeout bounds the export of the last spans at the end of the process.
const flushTimeout = 2 * time.Second

func main() {
	app := kingpin.New("sardinespindle", "Query tier over many shards: the daemon of one VM.")
	path := app.Flag("settings", "Settings file in TOML.").Required().String()
	check := app.Flag("check", "Check the settings file and exit.").Bool()
	profile := app.Flag("cpuprofile", "Directory to write a CPU profile to.").Hidden().Envar("SPINDLE_CPUPROFILE").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(*path, *check, *profile); err != nil {
		fmt.Fprintln(os.Stderr, "sardinespindle:", err)
		os.Exit(1)
	}
}

func run(path string, check bool, profile string) error {
	s, err := settings.Load(path)
	if err != nil || check {
		return err
	}
	if profile != "" {
		stop, err := startProfile(filepath.Join(profile, s.Name+".prof"))
		if err != nil {
			return err
		}
		defer stop()
	}
	lines := telemetry.NewLineWriter(os.Stdout, s.Log.Format)
	defer lines.Close()
	l, err := telemetry.Logger(lines, s.Log, s.Name)
	if err != nil {
		return err
	}
	ctx := stopContext()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	flush, err := telemetry.Traces(s.Trace, s.Name, s.Zone)
	if err != nil {
		return err
	}
	stdlog.SetFlags(0)
	stdlog.SetOutput(l.StandardLog(log.StandardLogOptions{ForceLevel: log.WarnLevel}).Writer())
	d, err := newDaemon(s, l)
	if err != nil {
		return err
	}
	if err := lines.Register(d.Registerer()); err != nil {
		return err
	}
	go watchSettings(ctx, path, hup, d, l)
	if err := d.Run(ctx); err != nil {
		return err
	}
	flushCtx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	return flush(flushCtx)
}

// runner is a daemon of either kind: *daemon.Daemon or *daemon.Forwarder.
type runner interface {
	Run(ctx context.Context) error
	Registerer() prometheus.Registerer
	// Reload applies the settings that may change while the process runs.
	Reload(s *gen.Settings)
}

// stopContext returns a context that ends at the first SIGTERM or SIGINT. The signals stay
// caught until the process exits, so a further one does not kill it while it stops.
func stopContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancel()
	}()
	return ctx
}

// watchSettings checks the settings file at each signal on hup and every
// settings.PollInterval, until ctx ends, and reloads it if it has changed.
func watchSettings(ctx context.Context, path string, hup <-chan os.Signal, d runner, l *log.Logger) {
	watcher := settings.NewWatcher(path)
	tick := time.NewTicker(settings.PollInterval)
	defer tick.Stop()
	for {
		cause := "file"
		select {
		case <-ctx.Done():
			return
		case <-hup:
			cause = "signal"
		case <-tick.C:
		}
		s, changed, err := watcher.Poll()
		switch {
		case err != nil:
			l.Warn("settings not reloaded", "cause", cause, "err", err)
		case changed:
			d.Reload(s)
			l.Info("settings reloaded", "cause", cause)
		case cause == "signal":
			l.Info("settings unchanged", "cause", cause)
		}
	}
}

// newDaemon returns the kind of daemon that the configured platform needs.
func newDaemon(s *gen.Settings, l *log.Logger) (runner, error) {
	if s.Platform.Kind == gen.PlatformKindCatalog {
		return daemon.NewForwarder(s, l)
	}
	return daemon.New(s, l)
}

// startProfile writes a CPU profile to a file until the returned function is called.
func startProfile(file string) (func(), error) {
	f, err := os.Create(file)
	if err != nil {
		return nil, fmt.Errorf("profile: %w", err)
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		f.Close()
		return nil, fmt.Errorf("profile: %w", err)
	}
	return func() {
		pprof.StopCPUProfile()
		f.Close()
	}, nil
}
