package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/alecthomas/kingpin/v2"

	"github.com/sardinespindle/sardinespindle/internal/bench"
)

// errSoakViolations makes the command fail if the soak found violations.
var errSoakViolations = errors.New("the soak saw broken promises")

func addSoak(ctx context.Context, app *kingpin.Application) {
	cmd := app.Command("soak", "Play random faults on real daemons that speak the users' platform; exits with 1 where a promise was broken.")
	var o bench.SoakOptions
	var seeds, disable, out string
	var fresh, jobs int
	cmd.Flag("seeds", "Seeds: numbers and ranges such as 1-5, with commas between; \"regressions\" for those that failed once.").StringVar(&seeds)
	cmd.Flag("fresh", "Number of fresh seeds to draw.").IntVar(&fresh)
	cmd.Flag("jobs", "Seeds played side by side.").Default("1").IntVar(&jobs)
	cmd.Flag("vms", "Number of VMs.").Default("6").IntVar(&o.VMs)
	cmd.Flag("shards", fmt.Sprintf("Number of shards of a search, at most %d; from 48 on, VMs run searches in groups.", bench.MaxSoakShards)).
		Default(strconv.Itoa(bench.DefaultSoakShards)).IntVar(&o.Shards)
	cmd.Flag("duration", "Time under faults of each seed.").Default("10s").DurationVar(&o.Duration)
	cmd.Flag("disable", "Mechanisms to turn off, with commas between.").StringVar(&disable)
	cmd.Flag("out", "Directory for settings and logs; those of seeds without a broken promise are removed.").Default("out/soak").StringVar(&out)
	cmd.Flag("bin-dir", "Directory with the daemon's binary.").Default("bin").StringVar(&o.BinDir)
	cmd.Action(func(*kingpin.ParseContext) error {
		list, err := parseSeeds(seeds)
		if err != nil {
			return err
		}
		for range fresh {
			list = append(list, uint64(rand.Uint32()))
		}
		if disable != "" {
			o.Disable = strings.Split(disable, ",")
		}
		return soakAll(ctx, o, list, out, jobs)
	})
}

// soakAll runs a soak of each seed, at most jobs of them at a time, and returns the
// errors of all.
func soakAll(ctx context.Context, o bench.SoakOptions, seeds []uint64, out string, jobs int) error {
	var mu sync.Mutex // guards errs and the output
	var errs []error
	var wg sync.WaitGroup
	slots := make(chan struct{}, max(jobs, 1))
	for _, seed := range seeds {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			p := o
			p.Seed, p.Dir = seed, filepath.Join(out, strconv.FormatUint(seed, 10))
			r, err := bench.Soak(ctx, p)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				err = printSoak(r, p.Dir)
			}
			errs = append(errs, err)
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}

// printSoak prints the result of one seed. If there were violations, it returns an error;
// otherwise it removes the logs.
func printSoak(r *bench.SoakResult, dir string) error {
	var faults []string
	for _, name := range slices.Sorted(maps.Keys(r.Faults)) {
		faults = append(faults, fmt.Sprintf("%s %d", name, r.Faults[name]))
	}
	fmt.Printf("seed %d: %d requests, %d answered, %d refused, %d runs; faults: %s; %d broken promises\n",
		r.Seed, r.Requests, r.Answered, r.Shed, r.Runs, strings.Join(faults, ", "), r.Total())
	if r.Total() == 0 {
		return os.RemoveAll(dir)
	}
	for kind, n := range r.Violations {
		fmt.Printf("  %d %s\n", n, kind)
	}
	for _, example := range r.Examples {
		fmt.Printf("    %s\n", example)
	}
	return fmt.Errorf("seed %d: %w: logs in %s", r.Seed, errSoakViolations, dir)
}

// parseSeeds parses a list, separated by commas, of numbers, ranges such as 1-5, and
// the word regressions.
func parseSeeds(text string) (seeds []uint64, err error) {
	for part := range strings.SplitSeq(text, ",") {
		if part == "" {
			continue
		}
		if part == "regressions" {
			seeds = append(seeds, bench.SoakRegressions()...)
			continue
		}
		first, last, ranged := strings.Cut(part, "-")
		if !ranged {
			last = first
		}
		a, err := strconv.ParseUint(first, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("seeds %q: %w", part, err)
		}
		b, err := strconv.ParseUint(last, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("seeds %q: %w", part, err)
		}
		for s := a; s <= b; s++ {
			seeds = append(seeds, s)
		}
	}
	return seeds, nil
}
