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
	modelSteps = 250
	soundRuns  = 3000
	// weakSeed is fixed: whether a weakness is found must not hang on the run's seed.
	weakSeed = 1
	weakRuns = 8000
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
		wins, replays, violation := search(sound, uint64(testkit.Seed()), 0, soundRuns)
		fmt.Fprintf(GinkgoWriter, "wins %d, replays %d\n", wins, replays)
		Expect(violation).To(BeEmpty())
		Expect(wins).To(BeNumerically(">", soundRuns/4))
		Expect(replays).To(BeNumerically(">", soundRuns/4))
	})

	// Each entry names the run at which the search for the weakness begins, so that
	// rare ones are found in a short time.
	DescribeTable("fail once a rule is left out", func(weak weakening, from int) {
		_, _, violation := search(weak, weakSeed, from, weakRuns)
		fmt.Fprintf(GinkgoWriter, "%s: %s\n", weak, violation)
		Expect(violation).NotTo(BeEmpty())
	},
		Entry(nil, naive, 0), Entry(nil, reusedID, 0), Entry(nil, releaseSent, 0), Entry(nil, noQuorumNotRun, 0),
		Entry(nil, releasedNotRun, 0), Entry(nil, forgetful, 0), Entry(nil, notesAsMemory, 0),
	)
})

// search plays random runs until the oracle objects, and says in which run it did.
func search(weak weakening, seed uint64, from, limit int) (wins, replays int, violation string) {
	for run := from; run < from+limit; run++ {
		rng := rand.New(rand.NewPCG(seed, uint64(run)))
		w := newWorld(weak, rng.IntN)
		w.play(modelSteps)
		wins, replays = wins+w.wins, replays+w.replays
		if w.violation != "" {
			return wins, replays, fmt.Sprintf("%s in run %d", w.violation, run)
		}
	}
	return wins, replays, ""
}
