package once

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

func TestOnce(t *testing.T) { testkit.Run(t, "policy/once") }

const (
	modelSteps = 500
	soundRuns  = 10000
	// weakSeed is fixed: whether a weakness is found must not hang on the run's seed.
	weakSeed = 1
	weakRuns = 40000
)

var _ = Describe("claims on keys", func() {
	It("run each key at most once and never belie not run", func() {
		Expect(flag.Set("rapid.steps", strconv.Itoa(modelSteps))).To(Succeed())
		wins, replays := 0, 0
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
			w := newWorld(sound, pick)
			steps := map[string]func(*rapid.T){}
			for name, act := range w.actions() {
				steps[name] = func(*rapid.T) { w.step++; act() }
			}
			steps[""] = func(t *rapid.T) {
				if w.violation != "" {
					t.Fatal(w.violation)
				}
			}
			t.Repeat(steps)
			wins += w.wins
			replays += w.replays
		})
		Expect(wins).To(BeNumerically(">", 0))
		fmt.Fprintf(GinkgoWriter, "wins %d, replays %d\n", wins, replays)
	})

	It("hold in many longer random runs", func() {
		wins, replays, runs, violation := search(sound, uint64(testkit.Seed()), soundRuns)
		fmt.Fprintf(GinkgoWriter, "wins %d, replays %d, %q in run %d\n", wins, replays, violation, runs)
		Expect(violation).To(BeEmpty())
		Expect(wins).To(BeNumerically(">", 1000))
		Expect(replays).To(BeNumerically(">", 100))
	})

	DescribeTable("fail once a rule is left out", func(weak weakening) {
		_, _, runs, violation := search(weak, weakSeed, weakRuns)
		fmt.Fprintf(GinkgoWriter, "%s: %q in run %d\n", weak, violation, runs)
		Expect(violation).NotTo(BeEmpty())
	},
		Entry(nil, naive), Entry(nil, noDrift), Entry(nil, noAbstention), Entry(nil, listedNow),
		Entry(nil, releaseSent), Entry(nil, reusedID), Entry(nil, voteTwice), Entry(nil, noQuorumNotRun),
		Entry(nil, releasedNotRun), Entry(nil, forgetful), Entry(nil, skewedVMs), Entry(nil, futureKeys), Entry(nil, notesAsMemory),
	)
})

// search plays random runs until the oracle objects.
func search(weak weakening, seed uint64, limit int) (wins, replays, runs int, violation string) {
	for runs = range limit {
		rng := rand.New(rand.NewPCG(seed, uint64(runs)))
		w := newWorld(weak, rng.IntN)
		w.play(modelSteps)
		wins, replays = wins+w.wins, replays+w.replays
		if w.violation != "" {
			return wins, replays, runs, w.violation
		}
	}
	return wins, replays, runs, ""
}
