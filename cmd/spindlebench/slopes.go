package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/sardinespindle/sardinespindle/internal/capacity"
	"github.com/sardinespindle/sardinespindle/internal/slopes"
)

// Sizes at which slopes are measured, in increasing order.
var (
	fleetSizes    = []int{5, 10, 20, 50, 100, 200}
	manifestSizes = []int{100, 1000, 10_000, 79_000}
	fanOuts       = []int{20, 80, 320}
)

const (
	fleetDuration = 10 * time.Second
	// baseSearches is the number of searches at a fan-out of 20. Larger fan-outs run
	// fewer searches, so that each makes the same number of sub-requests.
	baseSearches    = 2_000
	pathSubrequests = 20_000
)

// addSlopes adds the commands that measure slopes and write the capacity page.
func addSlopes(_ context.Context, app *kingpin.Application) {
	cmd := app.Command("slopes", "Measure the cost of the fleet's parts against size, for the capacity page.")
	out := cmd.Flag("out", "Directory for slopes.json and the plots.").Required().String()
	seed := cmd.Flag("seed", "Seed.").Default("1").Uint64()
	cmd.Action(func(*kingpin.ParseContext) error {
		s, err := measure(*seed)
		if err != nil {
			return err
		}
		return writeSlopes(*out, s)
	})
	page := app.Command("capacity", "Write the tables of the capacity page from the sweeps of the users' bench and from measured slopes.")
	journal := page.Flag("journal", "Directory of the bench's journal, whose newest sweep of each site is used.").Default("journal").String()
	sweeps := page.Flag("sweeps", "File in which the sweeps are kept.").Default("docs/sweeps.json").String()
	from := page.Flag("slopes", "File with the slopes.").Default("docs/slopes.json").String()
	to := page.Flag("page", "Page whose tables are written anew.").Default("docs/CAPACITY.md").String()
	page.Action(func(*kingpin.ParseContext) error {
		s, err := capacity.ImportSweeps(*journal)
		if err != nil {
			return err
		}
		if err := capacity.WriteSweeps(*sweeps, s); err != nil {
			return err
		}
		return capacity.Rewrite(*from, *sweeps, *to)
	})
}

func measure(seed uint64) (capacity.Slopes, error) {
	var s capacity.Slopes
	for _, n := range fanOuts {
		r, err := slopes.Gather(n, baseSearches*20/n)
		if err != nil {
			return s, err
		}
		s.Gather = append(s.Gather, r)
	}
	var err error
	s.Path, err = slopes.Path(pathSubrequests)
	if err != nil {
		return s, err
	}
	for _, n := range manifestSizes {
		r, err := slopes.Manifest(n)
		if err != nil {
			return s, err
		}
		s.Manifest = append(s.Manifest, r)
	}
	for _, n := range fleetSizes {
		c, err := slopes.Claims(n, seed)
		if err != nil {
			return s, err
		}
		s.Claims = append(s.Claims, c)
		f, err := slopes.Fleet(n, fleetDuration, seed)
		if err != nil {
			return s, err
		}
		s.Fleet = append(s.Fleet, f)
		fmt.Printf("%d VMs measured\n", n)
	}
	return s, nil
}

func writeSlopes(dir string, s capacity.Slopes) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	text, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "slopes.json"), append(text, '\n'), 0o644); err != nil {
		return err
	}
	return plotSlopes(dir, s)
}
