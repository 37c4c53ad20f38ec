// Package testkit starts ginkgo suites with fixed seeds, so that a test run
// gives the same verdict each time: rapid neither writes nor replays files of failures.
// SPINDLE_SEED overrides the seed.
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
	// fuzzSteps is the mean length of a history. An action that does not apply counts
	// as a step without effect, so it is above rapid's own 30.
	fuzzSteps = "50"
)

// Seed returns the seed of this run: SPINDLE_SEED or a fixed one.
func Seed() int64 {
	s, err := strconv.ParseInt(os.Getenv("SPINDLE_SEED"), 10, 64)
	if err != nil || s <= 0 {
		return defaultSeed
	}
	return s
}

// Run runs the ginkgo suite of the calling package under the run's seed.
func Run(t *testing.T, name string) {
	t.Helper()
	if err := flag.Set("rapid.seed", strconv.FormatInt(Seed(), 10)); err != nil {
		t.Fatalf("set rapid.seed: %v", err)
	}
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		t.Fatalf("set rapid.nofailfile: %v", err)
	}
	if err := flag.Set("rapid.steps", fuzzSteps); err != nil {
		t.Fatalf("set rapid.steps: %v", err)
	}
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = Seed()
	ginkgo.RunSpecs(t, name, suite, reporter)
}
