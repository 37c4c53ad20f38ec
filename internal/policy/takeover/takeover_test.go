package takeover_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sardinespindle/sardinespindle/internal/policy/takeover"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

func TestTakeover(t *testing.T) { testkit.Run(t, "takeover") }

// runningVM is a VM that runs the search of a history.
type runningVM struct {
	ledger   *takeover.Ledger
	inFlight map[takeover.Replica]bool
	// toSender and toVM are messages under way: updates with their sequence numbers, and
	// confirmations.
	toSender []report
	toVM     []int
}

type report struct {
	update   takeover.Update
	sequence int
}

// history is a search with one shard. Its sender gives it to one VM after the other; those it has
// given up may go on.
type history struct {
	maxAttempts int
	replicas    []takeover.Replica
	vms         []*runningVM
	record      takeover.Record // as the sender knows it
	ran         map[takeover.Replica]int
	alone       bool // the sender runs the search itself
}

func (h *history) current() *runningVM { return h.vms[len(h.vms)-1] }

// delegate gives the search to the next VM, as forward does.
func (h *history) delegate(alone bool) {
	confirmFirst := h.record.Sent() || h.maxAttempts < 2
	h.alone = alone
	h.vms = append(h.vms, &runningVM{
		ledger: takeover.NewLedger(takeover.Options{
			Shards: 1, MaxAttempts: h.maxAttempts, Before: h.record, Alone: alone, ConfirmFirst: confirmFirst,
		}),
		inFlight: map[takeover.Replica]bool{},
	})
	if !confirmFirst {
		h.record = h.record.WithUnknown(1)
	}
}

// send has a VM send the request to a replica that it has not sent it to, if it may.
func (h *history) send(vm *runningVM, r takeover.Replica) {
	if vm.inFlight[r] {
		return
	}
	switch vm.ledger.Decide(0, r) {
	case takeover.Send:
		vm.ledger.RecordSent(0, r)
		vm.inFlight[r] = true
		h.ran[r]++
	case takeover.Announce:
		vm.ledger.Announce(0, r)
	case takeover.Never, takeover.Wait:
	}
}

var _ = Describe("A search that VMs run one after another", func() {
	// Load pattern: gatherers that are cut off from the sender of a search, or freeze, go on with
	// it beside those that take it over; notices and confirmations are lost or late.
	It("is sent to no more replicas of a shard than may run it", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			h := &history{maxAttempts: rapid.IntRange(1, 4).Draw(t, "max"), record: takeover.NewRecord(1), ran: map[takeover.Replica]int{}}
			for i := range 6 {
				h.replicas = append(h.replicas, takeover.Hash(fmt.Sprint("replica ", i)))
			}
			h.delegate(false)
			anyVM := func() *runningVM { return rapid.SampledFrom(h.vms).Draw(t, "vm") }
			t.Repeat(map[string]func(*rapid.T){
				"send": func(t *rapid.T) { h.send(anyVM(), rapid.SampledFrom(h.replicas).Draw(t, "replica")) },
				"not run": func(t *rapid.T) {
					vm := anyVM()
					if len(vm.inFlight) == 0 {
						return
					}
					r := rapid.SampledFrom(slices.Sorted(maps.Keys(vm.inFlight))).Draw(t, "replica")
					vm.ledger.RecordNotRun(0, r)
					delete(vm.inFlight, r)
					if h.ran[r]--; h.ran[r] == 0 {
						delete(h.ran, r)
					}
				},
				"report": func(*rapid.T) {
					vm := anyVM()
					if u, sequence, ok := vm.ledger.Report(); ok {
						vm.toSender = append(vm.toSender, report{u, sequence})
					}
				},
				"receive report": func(t *rapid.T) {
					vm := h.current() // those of others are not read
					if len(vm.toSender) == 0 || h.alone {
						return
					}
					r := vm.toSender[0]
					vm.toSender = vm.toSender[1:]
					record, ok := h.record.Apply(r.update)
					if !ok {
						t.Fatalf("update %v refused", r.update)
					}
					h.record = record
					vm.toVM = append(vm.toVM, r.sequence)
				},
				"receive confirmation": func(*rapid.T) {
					if vm := anyVM(); len(vm.toVM) > 0 {
						vm.ledger.Confirm(vm.toVM[0])
						vm.toVM = vm.toVM[1:]
					}
				},
				"lose a message": func(t *rapid.T) {
					vm := anyVM()
					if len(vm.toSender) > 0 && rapid.Bool().Draw(t, "report") {
						vm.toSender = vm.toSender[1:]
					} else if len(vm.toVM) > 0 {
						vm.toVM = vm.toVM[1:]
					}
				},
				"take over": func(t *rapid.T) {
					if !h.alone && len(h.vms) < 4 {
						h.delegate(rapid.Bool().Draw(t, "alone"))
					}
				},
				"": func(t *rapid.T) {
					if len(h.ran) > h.maxAttempts {
						t.Fatalf("%d replicas may run the request, of at most %d", len(h.ran), h.maxAttempts)
					}
				},
			})
		})
	})

	It("may use one replica without a message, and swap it while none has run the request", func() {
		l := takeover.NewLedger(takeover.Options{Shards: 2, MaxAttempts: 2})
		a, b := takeover.Hash("a"), takeover.Hash("b")
		Expect(l.Decide(1, a)).To(Equal(takeover.Send))
		l.RecordSent(1, a)
		Expect(l.Decide(1, b)).To(Equal(takeover.Announce))
		l.RecordNotRun(1, a)
		Expect(l.Decide(1, b)).To(Equal(takeover.Send))
		_, _, ok := l.Report()
		Expect(ok).To(BeFalse())
	})

	It("hedges once the sender has confirmed both replicas", func() {
		l := takeover.NewLedger(takeover.Options{Shards: 2, MaxAttempts: 2})
		a, b, c := takeover.Hash("a"), takeover.Hash("b"), takeover.Hash("c")
		l.RecordSent(1, a)
		l.Announce(1, b)
		Expect(l.Decide(1, b)).To(Equal(takeover.Wait))
		u, sequence, ok := l.Report()
		Expect(ok).To(BeTrue())
		Expect(u).To(Equal(takeover.Update{{1, int(a), int(b)}}))
		l.Confirm(sequence)
		Expect(l.Decide(1, b)).To(Equal(takeover.Send))
		l.RecordSent(1, b)
		Expect(l.Decide(1, c)).To(Equal(takeover.Never))
		only, limited := l.Only(1)
		Expect(limited).To(BeTrue())
		Expect(only).To(Equal([]takeover.Replica{a, b}))
	})

	It("is limited to the replicas of the record once they are as many as may run it", func() {
		a, b, c := takeover.Hash("a"), takeover.Hash("b"), takeover.Hash("c")
		record, ok := takeover.NewRecord(2).WithUnknown(2).Apply(takeover.Update{{1, int(a), int(b)}})
		Expect(ok).To(BeTrue())
		Expect(record.Named()).To(Equal(1))
		l := takeover.NewLedger(takeover.Options{Shards: 2, MaxAttempts: 2, Before: record})
		Expect(l.MaybeSent(0)).To(BeTrue())
		Expect(l.Decide(1, a)).To(Equal(takeover.Send))
		Expect(l.Decide(1, c)).To(Equal(takeover.Never))
		Expect(l.Decide(0, c)).To(Equal(takeover.Announce), "one of two replicas is not known")
		l = takeover.NewLedger(takeover.Options{Shards: 2, MaxAttempts: 1, Before: record})
		Expect(l.Decide(0, c)).To(Equal(takeover.Never))
	})

	It("announces what earlier VMs may have used along with its own", func() {
		before := takeover.NewRecord(1).WithUnknown(1)
		l := takeover.NewLedger(takeover.Options{Shards: 1, MaxAttempts: 3, Before: before})
		l.Announce(0, takeover.Hash("a"))
		u, _, _ := l.Report()
		Expect(u).To(Equal(takeover.Update{{0, int(takeover.Unknown), int(takeover.Hash("a"))}}))
	})

	It("keeps a record that updates in any order of shards build up, and refuses a malformed one", func() {
		r := takeover.NewRecord(3)
		Expect(r.Sent()).To(BeFalse())
		r, ok := r.Apply(takeover.Update{{2, 7, 0}, {0, 9}})
		Expect(ok).To(BeTrue())
		Expect(r.Sent()).To(BeTrue())
		Expect(r.Update()).To(Equal(takeover.Update{{0, 9}, {2, 7, 0}}))
		for _, u := range []takeover.Update{{{3, 1}}, {{-1, 1}}, {{}}, {{0, -1}}, {{0, 1 << 16}}} {
			_, ok := r.Apply(u)
			Expect(ok).To(BeFalse(), "%v", u)
		}
	})

	It("tells lists of shards apart by their order and their names", func() {
		Expect(takeover.HashShards([]string{"ab", "c"})).NotTo(Equal(takeover.HashShards([]string{"a", "bc"})))
		Expect(takeover.HashShards([]string{"a", "b"})).NotTo(Equal(takeover.HashShards([]string{"b", "a"})))
		Expect(takeover.HashShards([]string{"a", "b"})).To(Equal(takeover.HashShards([]string{"a", "b"})))
	})
})
