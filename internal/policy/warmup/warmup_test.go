package warmup_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sardinespindle/sardinespindle/internal/policy/warmup"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

func TestWarmup(t *testing.T) { testkit.Run(t, "policy/warmup") }

const (
	t0      = time.Hour
	coldFor = 3 * time.Second
)

// life is the cold times of an upstream: cold from each start until the end of the same index.
type life struct{ starts, ends []time.Duration }

func drawLife(rng *rand.Rand) (l life) {
	at := t0
	for range 4 {
		at += time.Duration(rng.Int64N(int64(8 * time.Second)))
		l.starts = append(l.starts, at)
		l.ends = append(l.ends, at+time.Duration(1+rng.Int64N(int64(coldFor))))
		at = l.ends[len(l.ends)-1]
	}
	return l
}

// left returns the time until the upstream is warm at a time, and the number of the cold time; -1 if
// it is warm.
func (l life) left(at time.Duration) (left time.Duration, episode int) {
	for i := range l.starts {
		if at >= l.starts[i] && at < l.ends[i] {
			return l.ends[i] - at, i
		}
	}
	return 0, -1
}

var _ = Describe("State", func() {
	var s warmup.State
	BeforeEach(func() { s = warmup.State{} })
	until := func(now time.Duration) time.Duration { u, _ := s.Until(now); return u }
	source := func(now time.Duration) warmup.Source { _, by := s.Until(now); return by }

	// A VM that takes an upstream for warm too early sends it more than it survives. Entries are read up
	// to 2 s after they were written, replies arrive up to 1 s after they were sent and out of order.
	It("stays cold until the upstream is warm once this VM has evidence of that cold time", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
			l := drawLife(rng)
			type evidence struct {
				at    time.Duration
				apply func(*warmup.State)
				shows int // the cold time that it is evidence of; -1 for none
			}
			var all []evidence
			for range 200 {
				made := t0 + time.Duration(rng.Int64N(int64(40*time.Second)))
				left, episode := l.left(made)
				if rng.IntN(4) == 0 {
					// An entry is written when the upstream becomes cold, not when it becomes warm.
					if episode < 0 {
						continue
					}
					at := made + time.Duration(rng.Int64N(int64(2*time.Second)))
					all = append(all, evidence{at, func(s *warmup.State) {
						s.Published(warmup.Published{ReadAt: at, Left: left, Stated: true}, false, coldFor)
					}, episode})
					continue
				}
				sentAt, at := made-time.Duration(rng.Int64N(int64(time.Second))), made+time.Duration(rng.Int64N(int64(time.Second)))
				all = append(all, evidence{at, func(s *warmup.State) { s.Replied(sentAt, at, left, true, coldFor) }, episode})
			}
			slices.SortFunc(all, func(a, b evidence) int { return int(a.at - b.at) })
			var s warmup.State
			shown := -1
			for _, e := range all {
				e.apply(&s)
				shown = max(shown, e.shows)
				if left, episode := l.left(e.at); episode >= 0 && episode == shown && !s.Cold(e.at+left-1) {
					t.Fatalf("warm %v before the upstream is", left)
				}
			}
		})
	})

	It("counts the time of an entry from when it was read, and runs down without the store", func() {
		s.Published(warmup.Published{ReadAt: t0, Left: 2 * time.Second, Stated: true}, true, coldFor)
		Expect(until(t0)).To(Equal(t0 + 2*time.Second))
		Expect(source(t0)).To(Equal(warmup.Entry))
		Expect(s.Cold(t0 + 2*time.Second - 1)).To(BeTrue())
		Expect(s.Cold(t0 + 2*time.Second)).To(BeFalse())
		Expect(source(t0 + 2*time.Second)).To(Equal(warmup.Elapsed))
	})

	It("takes a new incarnation whose entry states no time for cold, a known one not", func() {
		s.Published(warmup.Published{ReadAt: t0}, false, coldFor)
		Expect(s.Cold(t0)).To(BeFalse())
		s.Published(warmup.Published{ReadAt: t0}, true, coldFor)
		Expect(until(t0)).To(Equal(t0 + coldFor))
		s = warmup.State{}
		s.Published(warmup.Published{ReadAt: t0, Stated: true}, true, coldFor)
		Expect(s.Cold(t0)).To(BeFalse(), "it states that it is warm")
	})

	// A VM that sees an upstream fail and return does not know yet what its new process publishes.
	It("takes a failed upstream for cold until it has returned for as long as upstreams are cold", func() {
		s.Failed(t0, coldFor)
		Expect(s.Cold(t0 + 5*time.Second)).To(BeTrue())
		s.Replied(t0-1, t0+time.Second, 0, false, coldFor)
		Expect(until(t0)).To(BeNumerically(">", t0+5*time.Second), "the request was sent before")
		s.Returned(t0+5*time.Second, coldFor)
		Expect(until(t0)).To(Equal(t0 + 8*time.Second))
		s.Returned(t0+6*time.Second, coldFor)
		Expect(until(t0)).To(Equal(t0+8*time.Second), "it returned before")
		s.Replied(t0+6*time.Second, t0+7*time.Second, 0, true, coldFor)
		Expect(s.Cold(t0 + 7*time.Second)).To(BeFalse())
		Expect(source(t0 + 7*time.Second)).To(Equal(warmup.Reply))
	})

	// The end of a cold time that the upstream stated was forgotten when it failed and returned.
	It("keeps to the time that the upstream stated, whatever is known of its failures", func() {
		s.Published(warmup.Published{ReadAt: t0, Left: 10 * time.Second, Stated: true}, true, coldFor)
		s.Failed(t0+time.Second, coldFor)
		s.Returned(t0+2*time.Second, coldFor)
		Expect(until(t0)).To(Equal(t0 + 10*time.Second))
		Expect(source(t0)).To(Equal(warmup.Entry))
	})

	It("ends at an entry that says that it is warm, unless that may be older than the failure", func() {
		s.Failed(t0, coldFor)
		s.Published(warmup.Published{ReadAt: t0 + time.Second, Stated: true}, false, coldFor)
		Expect(s.Cold(t0 + time.Second)).To(BeTrue())
		s.Published(warmup.Published{ReadAt: t0 + 3*time.Second, Stated: true}, false, coldFor)
		Expect(s.Cold(t0 + 3*time.Second)).To(BeFalse())
	})

	It("does not wait for ever for a failed upstream, since this VM may have no share to try it", func() {
		s.Failed(t0, coldFor)
		Expect(s.Cold(t0 + coldFor + 10*time.Second)).To(BeFalse())
	})

	It("takes the word of another VM, but not to shorten its own", func() {
		s.Announced(t0, time.Second)
		Expect(source(t0)).To(Equal(warmup.Peer))
		s.Replied(t0, t0, 2*time.Second, true, coldFor)
		s.Announced(t0, time.Second)
		Expect(until(t0)).To(Equal(t0 + 2*time.Second))
	})

	It("takes huge and negative times, and none at all", func() {
		s.Published(warmup.Published{ReadAt: t0, Left: math.MaxInt64, Stated: true}, true, math.MaxInt64)
		Expect(until(t0)).To(Equal(t0 + warmup.MaxLeft))
		s.Failed(t0, math.MaxInt64)
		s.Returned(t0+time.Second, math.MaxInt64)
		s.Replied(t0+time.Second, t0+time.Second, math.MaxInt64, true, math.MaxInt64)
		Expect(s.Cold(t0 + time.Hour)).To(BeTrue())
		s = warmup.State{}
		s.Published(warmup.Published{ReadAt: t0, Left: -1, Stated: true}, true, -1)
		s.Failed(t0, 0)
		s.Failed(t0, -1)
		s.Published(warmup.Published{ReadAt: t0}, true, -1)
		Expect(s.Cold(t0)).To(BeFalse())
	})
})
