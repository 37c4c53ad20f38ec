// Command spindlebench runs daemons against stand-ins: a demonstration, experiments
// and soaks. It also writes reports, example manifests and the measurements of the
// capacity page. It is for development only.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/sardinespindle/sardinespindle/internal/bench"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "spindlebench:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app := kingpin.New("spindlebench", "Drives sardinespindle daemons with stand-ins; for development only.")
	addDemo(ctx, app)
	addRun(ctx, app)
	addList(app)
	addReport(app)
	addManifest(app)
	addMemory(ctx, app)
	addSlopes(ctx, app)
	addSoak(ctx, app)
	addStandin(ctx, app)
	_, err := app.Parse(args)
	return err
}

func addDemo(ctx context.Context, app *kingpin.Application) {
	cmd := app.Command("demo", "Start a small cluster, show the main job, stop everything.")
	bin := cmd.Flag("bin-dir", "Directory with the daemon's binary.").Default("bin").String()
	seed := cmd.Flag("seed", "Seed of the stand-ins.").Default("1").Uint64()
	dir := cmd.Flag("dir", "Directory for settings and logs; a temporary one by default.").String()
	cmd.Action(func(*kingpin.ParseContext) error {
		o, cleanup, err := options(*bin, *dir)
		if err != nil {
			return err
		}
		o.Seed = *seed
		return errors.Join(bench.Demo(ctx, o, os.Stdout), cleanup())
	})
}

// options returns the options that commands share, and a cleanup function. If dir is
// empty, it makes a temporary directory, which the cleanup removes.
func options(bin, dir string) (bench.Options, func() error, error) {
	cleanup := func() error { return nil }
	self, err := os.Executable()
	if err != nil {
		return bench.Options{}, cleanup, fmt.Errorf("own path: %w", err)
	}
	if dir == "" {
		dir, err = os.MkdirTemp("", "spindlebench-")
		if err != nil {
			return bench.Options{}, cleanup, fmt.Errorf("temporary directory: %w", err)
		}
		cleanup = func() error { return os.RemoveAll(dir) }
	}
	return bench.Options{BinDir: bin, Self: self, Dir: dir, LingerMs: bench.DefaultLingerMs}, cleanup, nil
}

func addManifest(app *kingpin.Application) {
	cmd := app.Command("manifest", "Write the example manifest of a deployment.")
	name := cmd.Arg("deployment", "klapka or kervan.").Required().Enum(bench.Klapka, bench.Kervan)
	out := cmd.Flag("out", "Directory to write to.").Required().String()
	cmd.Action(func(*kingpin.ParseContext) error { return bench.WriteExample(*name, *out) })
}

// addStandin adds the hidden commands that the bench starts as processes of their own.
func addStandin(ctx context.Context, app *kingpin.Application) {
	cmd := app.Command("standin", "Serve stand-ins; started by the bench itself.").Hidden()
	up := cmd.Command("upstreams", "Serve the upstreams of a manifest.")
	parts := up.Flag("parts", "File with manifest parts.").Required().String()
	control := up.Flag("control", "Address of the control interface.").Required().String()
	seed := up.Flag("seed", "Seed of the service times.").Default("1").Uint64()
	up.Action(func(*kingpin.ParseContext) error {
		return bench.ServeUpstreams(ctx, *parts, *control, *seed)
	})
	pl := cmd.Command("platform", "Serve the configuration service for one directory of example files.")
	dir := pl.Flag("manifest", "Directory with head.json and part-N.json.").Required().String()
	vms := pl.Flag("vms", "File with the VM list.").Required().String()
	listen := pl.Flag("listen", "Address to listen on.").Required().String()
	pl.Action(func(*kingpin.ParseContext) error {
		return bench.ServePlatform(ctx, *dir, *vms, *listen)
	})
}
