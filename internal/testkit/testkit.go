// Package testkit runs ginkgo suites with a fixed seed for ginkgo and rapid, so that
// the same code gives the same result on every run; rapid neither writes nor replays
// failure files. SPINDLE_SEED overrides the seed. Run sets global flags: call Run once
// per test binary, from its only Test function.
package testkit

import (
	"flag"
	"os"
	"strconv"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	_ "pgregory.net/rapid" // registers the flag rapid.seed
)

const (
	defaultSeed = 1
	// rapidSteps is the mean number of actions in one state-machine test. It exceeds
	// rapid's default of 30 because an action that does not apply returns without
	// effect, and still counts.
	rapidSteps = "50"
)

// Seed returns the seed of this run: SPINDLE_SEED if it is a positive integer, 1
// otherwise.
func Seed() int64 {
	s, err := strconv.ParseInt(os.Getenv("SPINDLE_SEED"), 10, 64)
	if err != nil || s <= 0 {
		return defaultSeed
	}
	return s
}

// Run runs the ginkgo suite of the calling package with the seed of this run.
func Run(t *testing.T, name string) {
	t.Helper()
	if err := flag.Set("rapid.seed", strconv.FormatInt(Seed(), 10)); err != nil {
		t.Fatalf("set rapid.seed: %v", err)
	}
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		t.Fatalf("set rapid.nofailfile: %v", err)
	}
	if err := flag.Set("rapid.steps", rapidSteps); err != nil {
		t.Fatalf("set rapid.steps: %v", err)
	}
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = Seed()
	ginkgo.RunSpecs(t, name, suite, reporter)
}
