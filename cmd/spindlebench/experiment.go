package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/sardinespindle/sardinespindle/internal/bench"
)

// errViolations makes the command fail if the checker counted violations.
var errViolations = errors.New("the checker counted violations")

func addRun(ctx context.Context, app *kingpin.Application) {
	cmd := app.Command("run", "Run an experiment; exits with 1 where a guarantee was violated.")
	var o bench.RunOptions
	var disable string
	cmd.Flag("experiment", "Name of the experiment.").Required().StringVar(&o.Experiment)
	cmd.Flag("seed", "Seed of load, faults and service times.").Default("1").Uint64Var(&o.Seed)
	cmd.Flag("out", "Directory for results.").Required().StringVar(&o.Out)
	cmd.Flag("policy", "current, baseline or both in turns.").Default(bench.Current).EnumVar(&o.Policy, bench.Current, bench.Baseline, bench.Both)
	cmd.Flag("duration", "Time under load; halved for each turn of both.").Default("10s").DurationVar(&o.Duration)
	cmd.Flag("vms", "Number of VMs.").Default("4").IntVar(&o.VMs)
	cmd.Flag("disable", "Mechanisms to turn off, with commas between.").StringVar(&disable)
	cmd.Flag("deployment", "klapka, kervan or both.").Default(bench.Klapka).EnumVar(&o.Deployment, bench.Klapka, bench.Kervan, bench.Both)
	bin := cmd.Flag("bin-dir", "Directory with the daemon's binary.").Default("bin").String()
	cmd.Action(func(*kingpin.ParseContext) error {
		base, _, err := options(*bin, filepath.Join(o.Out, "logs"))
		if err != nil {
			return err
		}
		o.BinDir, o.Self, o.Dir, o.LingerMs = base.BinDir, base.Self, base.Dir, base.LingerMs
		if disable != "" {
			o.Disable = strings.Split(disable, ",")
		}
		results, err := bench.Run(ctx, o, func(s string) { fmt.Fprintln(os.Stderr, s) })
		if err != nil {
			return err
		}
		return printResults(results)
	})
}

// printResults prints the figures and violations of each result. It returns an error
// if a result of the current policy has violations; the baseline may have some.
func printResults(results []*bench.Result) error {
	var err error
	for _, r := range results {
		fmt.Printf("%s %s seed %d %s: %d requests, %d answered, %d not run, %d unknown, %d rejected, %d no reply; p50 %.1f p99 %.1f p999 %.1f ms; coverage %.4f; extra load %.3f; goodput %.1f/s; %d violations\n",
			r.Experiment, r.Deployment, r.Seed, r.Policy, r.Requests, r.Answered, r.NotRun, r.Unknown, r.Rejected, r.NoReply,
			r.P50Ms, r.P99Ms, r.P999Ms, r.CoverageMean, r.ExtraLoad, r.Goodput, r.Violations)
		fmt.Printf("  a VM: %.3f cores, peak %.1f MB, %.1f KB/s to and from other VMs; platform: %d reads in the busiest second; %d probes, %d canceled, %d shed\n",
			r.VM.Cores, r.VM.PeakMB, r.VM.PeerKBps, r.PlatformReads, r.Upstreams.Probes, r.Upstreams.Canceled, r.Upstreams.Shed)
		if r.Keys > 0 {
			fmt.Printf("  %d of %d non-idempotent requests answered in the end\n", r.KeysAnswered, r.Keys)
		}
		for reason, n := range r.Reasons {
			fmt.Printf("  %d %s\n", n, reason)
		}
		for kind, n := range r.Breakdown {
			fmt.Printf("  %d %s\n", n, kind)
		}
		for _, e := range r.Examples {
			fmt.Printf("    %s\n", e)
		}
		if r.Violations > 0 && r.Policy == bench.Current {
			err = errViolations
		}
	}
	return err
}

func addList(app *kingpin.Application) {
	app.Command("list", "List the experiments.").Action(func(*kingpin.ParseContext) error {
		for _, e := range bench.Experiments() {
			fmt.Printf("%-18s %s\n", e.Name, e.About)
		}
		return nil
	})
}

func addReport(app *kingpin.Application) {
	cmd := app.Command("report", "Make one page of all results below a directory.")
	dir := cmd.Arg("dir", "Directory with results.").Required().String()
	cmd.Action(func(*kingpin.ParseContext) error { return bench.WriteReport(*dir) })
}
