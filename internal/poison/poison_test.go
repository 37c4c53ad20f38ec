package poison_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sardinespindle/sardinespindle/internal/facts"
	"github.com/sardinespindle/sardinespindle/internal/poison"
	policy "github.com/sardinespindle/sardinespindle/internal/policy/poison"
	"github.com/sardinespindle/sardinespindle/internal/policy/roster"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

func TestPoison(t *testing.T) { testkit.Run(t, "poison") }

const fp = "f00d"

// fleet is a group of VMs that call each other directly. It can be partitioned, and
// acknowledgements can be lost.
type fleet struct {
	now       atomic.Int64
	vms       []*modelVM
	mu        sync.Mutex
	partition []int // by VM; VMs in different partitions do not reach each other
	loseAck   bool
}

type modelVM struct {
	*poison.Guard
	fleet   *fleet
	index   int
	store   *facts.Store
	hooks   []func(facts.Fact)
	spreads atomic.Int32 // calls of SpreadTo
	deaf    atomic.Bool  // it hears of no upstream
}

func newFleet(n int) *fleet {
	f := &fleet{partition: make([]int, n)}
	f.now.Store(int64(time.Hour))
	for i := range n {
		v := &modelVM{fleet: f, index: i}
		v.store = facts.New(facts.Options{Name: name(i), Incarnation: "x", Now: f.clock})
		v.Guard = poison.New(poison.Options{
			VM: name(i), Fleet: v, Now: f.clock,
			Hears: func(context.Context, time.Duration, []string) bool { return !v.deaf.Load() },
		})
		f.vms = append(f.vms, v)
	}
	return f
}

func name(i int) string               { return fmt.Sprint("vm", i) }
func (f *fleet) clock() time.Duration { return time.Duration(f.now.Load()) }

func (f *fleet) connected(a, b int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.partition[a] == f.partition[b]
}

// gossip exchanges all facts between the VMs of each partition.
func (f *fleet) gossip() {
	known := make([][]facts.Fact, len(f.vms))
	for i, v := range f.vms {
		known[i] = v.store.List("")
	}
	for i, v := range f.vms {
		for j, fs := range known {
			if i != j && f.connected(i, j) {
				v.store.Merge(fs)
			}
		}
	}
}

func (v *modelVM) Facts() *facts.Store          { return v.store }
func (v *modelVM) OnSpread(fn func(facts.Fact)) { v.hooks = append(v.hooks, fn) }

func (v *modelVM) Roster() []roster.Member {
	out := make([]roster.Member, len(v.fleet.vms))
	for i := range out {
		out[i].Name = name(i)
	}
	return out
}

func (v *modelVM) SpreadTo(_ context.Context, f facts.Fact, vms []string) int {
	acks := 0
	v.spreads.Add(1)
	for _, to := range v.fleet.vms {
		if !slices.Contains(vms, name(to.index)) || !v.fleet.connected(v.index, to.index) {
			continue
		}
		to.store.Merge([]facts.Fact{f})
		for _, hook := range to.hooks {
			hook(f)
		}
		if v.fleet.loseAck && to.index%3 == 0 {
			continue
		}
		v.store.Merge(to.store.List(f.Key[:strings.LastIndexByte(f.Key, '/')+1]))
		acks++
	}
	return acks
}

// resend sends the request through a VM, which retries it once, and returns the number of
// upstreams that it crashed.
func (v *modelVM) resend(id string) (crashes int) {
	for try := range 2 {
		if _, refused := v.Refused(fp); refused {
			return crashes
		}
		crashes++
		v.RecordLoss(context.Background(), fp, fmt.Sprint(id, "-", try))
	}
	return crashes
}

var _ = Describe("a request that crashes upstreams", func() {
	// If VMs did not share losses, each of them would let the request crash upstreams.
	It("crashes at most two if it is resent through every VM in turn", func() {
		f := newFleet(20)
		crashes := 0
		for i, v := range f.vms {
			crashes += v.resend(fmt.Sprint("r", i))
		}
		Expect(crashes).To(Equal(2))
		for _, v := range f.vms {
			after, refused := v.Refused(fp)
			Expect(refused).To(BeTrue())
			Expect(after).To(Equal(10 * time.Second))
		}
		f.now.Add(int64(policy.SuspicionTTL))
		_, refused := f.vms[5].Refused(fp)
		Expect(refused).To(BeFalse())
	})

	// An upstream that ends under another request, or by itself, would have its requests refused for minutes.
	It("is tried again after a while, by one VM at a time, and refused for longer if it crashes another", func() {
		f := newFleet(20)
		crashes := 0
		start := f.now.Load()
		for i := 0; time.Duration(f.now.Load()-start) < policy.SuspicionTTL; i++ {
			crashes += f.vms[i%len(f.vms)].resend(fmt.Sprint("r", i))
			f.now.Add(int64(time.Second))
		}
		Expect(crashes).To(BeNumerically("<=", 2+3))
		Expect(crashes).To(BeNumerically(">", 2))
	})

	// A VM in one partition can be permitted to run a request that crashed an upstream in the
	// other partition.
	It("crashes at most one more if the fleet is partitioned once", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			f := newFleet(rapid.IntRange(3, 9).Draw(t, "VMs"))
			vm := rapid.IntRange(0, len(f.vms)-1)
			crashes, sent, cut := 0, 0, false
			t.Repeat(map[string]func(*rapid.T){
				"resend": func(t *rapid.T) {
					sent++
					crashes += f.vms[vm.Draw(t, "vm")].resend(fmt.Sprint("r", sent))
				},
				"cut": func(t *rapid.T) {
					if cut {
						return
					}
					cut = true
					for i := range f.partition {
						f.partition[i] = rapid.IntRange(0, 1).Draw(t, "side")
					}
				},
				"heal":     func(*rapid.T) { clear(f.partition); f.gossip() },
				"gossip":   func(*rapid.T) { f.gossip() },
				"lose ack": func(t *rapid.T) { f.loseAck = rapid.Bool().Draw(t, "lost") },
				"wait":     func(t *rapid.T) { f.now.Add(rapid.Int64Range(1, int64(time.Second)).Draw(t, "wait")) },
				"": func(t *rapid.T) {
					bound := 2
					if cut {
						bound = 3
					}
					if crashes > bound {
						t.Fatalf("%d upstreams crashed", crashes)
					}
				},
			})
		})
	})

	// Runs already under way can't be stopped, but no further one may start.
	It("crashes at most two, or as many as were sent before the first crash", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			f := newFleet(rapid.IntRange(3, 9).Draw(t, "VMs"))
			vm := rapid.IntRange(0, len(f.vms)-1)
			var running []int
			crashes, early, ids := 0, 0, 0
			t.Repeat(map[string]func(*rapid.T){
				"send": func(t *rapid.T) {
					i := vm.Draw(t, "vm")
					if _, refused := f.vms[i].Refused(fp); refused {
						return
					}
					running = append(running, i)
					if crashes == 0 {
						early++
					}
				},
				"crash": func(t *rapid.T) {
					if len(running) == 0 {
						return
					}
					k := rapid.IntRange(0, len(running)-1).Draw(t, "which")
					crashes++
					ids++
					f.vms[running[k]].RecordLoss(context.Background(), fp, fmt.Sprint(ids))
					running = slices.Delete(running, k, k+1)
				},
				"gossip": func(*rapid.T) { f.gossip() },
				"": func(t *rapid.T) {
					if crashes > max(2, early) {
						t.Fatalf("%d upstreams crashed, %d ran before the first crash", crashes, early)
					}
				},
			})
		})
	})

	// Each of several permissions given at once would crash an upstream.
	It("is permitted to at most one of the VMs that ask at once", func() {
		for round := range 100 {
			f := newFleet(20)
			f.vms[0].RecordLoss(context.Background(), fp, "r0")
			var permitted atomic.Int32
			var wg sync.WaitGroup
			for _, v := range f.vms {
				wg.Go(func() {
					if _, refused := v.Refused(fp); !refused {
						permitted.Add(1)
					}
				})
			}
			wg.Wait()
			Expect(permitted.Load()).To(BeNumerically("<=", 1), "round %d", round)
		}
	})
})

var _ = Describe("a request that does not crash upstreams", func() {
	// Upstreams that crash for another reason must not get their requests refused.
	It("is not refused if it is answered between losses, and not suspected after the next answer", func() {
		f := newFleet(3)
		v := f.vms[0]
		for i := range 5 {
			v.Refused(fp)
			v.RecordAnswer(fp)
			f.gossip()
			v.Refused(fp)
			v.RecordLoss(context.Background(), fp, fmt.Sprint("r", i))
			f.gossip()
		}
		_, refused := f.vms[1].Refused(fp)
		Expect(refused).To(BeFalse())
		f.vms[1].RecordAnswer(fp)
		f.gossip()
		for _, v := range f.vms {
			Expect(v.suspects(fp)).To(BeFalse())
		}
	})

	// A loss that was cleared must not add to a later one and get the request refused.
	It("is cleared on all VMs by an answer", func() {
		f := newFleet(3)
		f.vms[0].RecordLoss(context.Background(), fp, "r1")
		_, refused := f.vms[0].Refused(fp)
		Expect(refused).To(BeFalse(), "a suspected request is permitted once")
		f.vms[0].RecordAnswer(fp)
		f.gossip()
		f.vms[1].RecordLoss(context.Background(), fp, "r2")
		f.gossip()
		_, refused = f.vms[2].Refused(fp)
		Expect(refused).To(BeFalse(), "one loss is left after the answer")
	})

	// A VM that stops during a permitted run must not block the request for long.
	It("is refused while another VM may be running it, until that VM's lease expires", func() {
		f := newFleet(3)
		f.vms[0].RecordLoss(context.Background(), fp, "r1")
		Expect(f.vms[1].suspects(fp)).To(BeTrue())
		_, refused := f.vms[1].Refused(fp)
		Expect(refused).To(BeFalse())
		after, refused := f.vms[2].Refused(fp)
		Expect(refused).To(BeTrue())
		Expect(after).To(BeNumerically("<=", time.Second))
		f.now.Add(int64(policy.RunLease + time.Second))
		_, refused = f.vms[2].Refused(fp)
		Expect(refused).To(BeFalse())
	})
})

var _ = Describe("a guard that records losses", func() {
	// The loss of a busy upstream must not flood the fleet with messages.
	It("sends a limited number of facts if many requests were running, and refuses those it can't ask about", func() {
		f := newFleet(5)
		v := f.vms[0]
		for i := range 500 {
			v.RecordLoss(context.Background(), fmt.Sprint("innocent", i), "r")
		}
		Expect(v.spreads.Load()).To(BeNumerically("<", 100))
		_, refused := v.Refused("innocent499")
		Expect(refused).To(BeTrue())
	})

	// A search loses a connection for each shard; a fact for each would delay its answer.
	It("sends two facts if one request was running on many upstreams", func() {
		f := newFleet(5)
		for i := range 20 {
			f.vms[0].RecordLoss(context.Background(), fp, fmt.Sprint("shard", i))
		}
		Expect(f.vms[0].spreads.Load()).To(BeEquivalentTo(policy.SuspicionLimit))
		for _, v := range f.vms {
			_, refused := v.Refused(fp)
			Expect(refused).To(BeTrue())
		}
	})

	It("uses clock.Boot if no clock is given", func() {
		v := newFleet(2).vms[0]
		g := poison.New(poison.Options{VM: "vm0", Fleet: v})
		_, refused := g.Refused(fp)
		Expect(refused).To(BeFalse())
	})
})
