// Command sardinespindle is the daemon of the query tier. One runs on each VM, and all
// of them are alike: no VM is configured for a role.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	stdlog "log"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"runtime/pprof"
	"syscall"
	"time"

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
	o, err := parseFlags(os.Args[1:], os.Stderr)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return
	case err != nil:
		fmt.Fprintln(os.Stderr, "sardinespindle:", err)
		os.Exit(1)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "sardinespindle:", err)
		os.Exit(1)
	}
}

// options are those of the command line.
type options struct {
	settings string
	check    bool
	// cpuProfiles and heapProfiles are the directories for profiles; empty for none.
	cpuProfiles, heapProfiles string
}

// Environment variables with the directories for profiles.
const (
	cpuProfilesVariable  = "SPINDLE_CPUPROFILE"
	heapProfilesVariable = "SPINDLE_HEAPPROFILE"
)

var (
	errNoSettings = errors.New("the flag --settings is required")
	errArgument   = errors.New("unexpected argument")
)

// parseFlags parses the command line. It uses the flag package because a parser whose help texts are
// templates keeps the linker from leaving out the methods that nothing calls: 3 MB of the program.
func parseFlags(args []string, out io.Writer) (options, error) {
	o := options{cpuProfiles: os.Getenv(cpuProfilesVariable), heapProfiles: os.Getenv(heapProfilesVariable)}
	flags := flag.NewFlagSet("sardinespindle", flag.ContinueOnError)
	flags.SetOutput(out)
	flags.Usage = func() {
		_, _ = fmt.Fprintf(out, "Query tier over many shards: the daemon of one VM.\n\nFlags:\n")
		flags.PrintDefaults()
	}
	flags.StringVar(&o.settings, "settings", "", "Settings `file` in TOML; required.")
	flags.BoolVar(&o.check, "check", false, "Check the settings file and exit.")
	if err := flags.Parse(args); err != nil {
		return o, err
	}
	if flags.NArg() > 0 {
		return o, fmt.Errorf("%w %q", errArgument, flags.Arg(0))
	}
	if o.settings == "" {
		return o, errNoSettings
	}
	return o, nil
}

func run(o options) error {
	s, err := settings.Load(o.settings)
	if err != nil || o.check {
		return err
	}
	if o.cpuProfiles != "" {
		stop, err := startProfile(filepath.Join(o.cpuProfiles, s.Name+".prof"))
		if err != nil {
			return err
		}
		defer stop()
	}
	if o.heapProfiles != "" {
		writeHeapProfiles(filepath.Join(o.heapProfiles, s.Name))
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
	go watchSettings(ctx, o.settings, hup, d, l)
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
		if limit := daemon.HeapLimit(s.Limits.MemoryMb); limit > 0 {
			debug.SetMemoryLimit(limit)
			l.Info("memory limit", "machine_mb", s.Limits.MemoryMb, "collector_mb", limit/1_000_000)
		}
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
		_ = f.Close()
		return nil, fmt.Errorf("profile: %w", err)
	}
	return func() {
		pprof.StopCPUProfile()
		_ = f.Close()
	}, nil
}

// writeHeapProfiles writes a profile of the heap at each SIGUSR1, to base.1.heap and so on.
func writeHeapProfiles(base string) {
	usr1 := make(chan os.Signal, 1)
	signal.Notify(usr1, syscall.SIGUSR1)
	go func() {
		for n := 1; ; n++ {
			<-usr1
			if err := writeHeapProfile(fmt.Sprintf("%s.%d.heap", base, n)); err != nil {
				fmt.Fprintln(os.Stderr, "sardinespindle: profile:", err)
			}
		}
	}()
}

// writeHeapProfile writes a profile of the heap as of the last collection.
func writeHeapProfile(file string) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	return errors.Join(pprof.WriteHeapProfile(f), f.Close())
}
