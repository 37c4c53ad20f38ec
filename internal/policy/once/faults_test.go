package once

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// weakening names a rule that the model leaves out.
type weakening string

const (
	sound           weakening = ""
	naive           weakening = "no claim at all"
	ownView         weakening = "a quorum of the voters that the claimant knows"
	unadmitted      weakening = "newcomers that vote before they are counted"
	oldKeys         weakening = "a newcomer that votes on keys born before its admission"
	bootAtOnce      weakening = "a new fleet that votes while the former one does"
	oldLists        weakening = "guards that vote however old their list is"
	noAbstention    weakening = "a restarted guard that votes on older keys"
	listedNow       weakening = "a quorum of the VMs listed now"
	releaseSent     weakening = "votes given back after sending"
	reusedID        weakening = "a claimant id used for a second round"
	voteTwice       weakening = "a guard counted once for each answer"
	noQuorumNotRun  weakening = "not run said of an unmarked attempt without a quorum"
	releasedNotRun  weakening = "not run said of an unmarked attempt after a release"
	forgetful       weakening = "a key forgotten, then claimed with a longer window"
	skewedVMs       weakening = "VM clocks further apart than the bound"
	futureKeys      weakening = "keys from the future accepted"
	notesAsMemory   weakening = "a noted release taken for memory of the key"
	noReleaseMemory weakening = "no memory of released claimants"
)

// aheadOfBound is how far keys from the future are accepted where that rule is left out.
const aheadOfBound = 20 * time.Second

// roughest is the number of levels of how often faults come.
const roughest = 4

type vm struct {
	name        string
	incarnation int
	offset      time.Duration
	guard       *Guard
	view        *View
	admission   *Admission
	votes, left bool
	list        []string // the VM list as this VM last read it
	read, gone  time.Time
	started     time.Time
}

func (w *world) clock(v *vm) time.Time { return w.now.Add(v.offset) }

// join adds a listed VM; only the founders vote from the beginning.
func (w *world) join(founder bool) *vm {
	v := &vm{name: fmt.Sprint("vm", w.named)}
	w.named++
	w.vms, w.listed = append(w.vms, v), append(w.listed, v.name)
	w.start(v)
	v.votes = founder || w.weak == unadmitted
	return v
}

// start gives a VM an empty memory, another clock and a fresh list.
func (w *world) start(v *vm) {
	v.offset = time.Duration(w.pick(3)-1) * w.p.ClockSkew / 2
	if w.weak == skewedVMs {
		v.offset *= 8
	}
	p, started := w.p, w.clock(v)
	switch w.weak {
	case noAbstention:
		started = started.Add(-time.Hour)
	case futureKeys: // accepts what the abstention rule does not allow for
		p.FutureSkew += aheadOfBound
		started = started.Add(-aheadOfBound)
	}
	v.incarnation++
	v.started = w.clock(v)
	v.guard, v.view, v.admission = NewGuard(p, started), NewView(w.p, 64), nil
	v.votes, v.left = w.weak == unadmitted, false
	w.readList(v)
}

func (w *world) readList(v *vm) {
	v.list = slices.Clone(w.listed)
	if slices.Contains(v.list, v.name) {
		v.read = w.clock(v)
	}
	v.view.Observe(w.clock(v), append(v.list, v.name))
}

// members returns the VMs that a VM counts for a key.
func (w *world) members(v *vm, born time.Time) []string {
	if w.weak == listedNow {
		return v.list
	}
	v.view.Observe(w.clock(v), append(v.list, v.name))
	m, _ := v.view.Members(born)
	return m
}

func (w *world) present(v *vm) []string {
	if w.weak == listedNow {
		return v.list
	}
	v.view.Observe(w.clock(v), append(v.list, v.name))
	return v.view.Present(w.clock(v))
}

func (w *world) mayVote(v *vm) bool {
	fresh := w.clock(v).Sub(v.read) < w.p.MaxListAge
	return v.votes && !v.left && (fresh || w.weak == oldLists)
}

func (w *world) find(name string) *vm {
	i := slices.IndexFunc(w.vms, func(v *vm) bool { return v.name == name })
	if i < 0 {
		return nil
	}
	return w.vms[i]
}

// fault makes a fault as frequent as this world is rough; a world knows only some.
func (w *world) fault(act func()) func() {
	if w.pick(3) == 0 {
		return func() {}
	}
	return func() {
		if w.pick(roughest) < w.rough {
			act()
		}
	}
}

// flush lets the network and the attempts go on for a while without a fault.
func (w *world) flush() {
	for range 60 {
		w.deliver()
		if w.pick(3) == 0 {
			w.advance()
		}
	}
}

func (w *world) tick() {
	w.now = w.now.Add([]time.Duration{10, 200, 1000, 2000, 5000}[w.pick(5)] * time.Millisecond)
	if w.pick(3) > 0 {
		w.refresh()
	}
	w.vms = slices.DeleteFunc(w.vms, func(v *vm) bool { return !v.gone.IsZero() && w.now.After(v.gone) })
	for _, at := range w.attempts {
		if w.find(at.vm.name) != at.vm {
			at.state = "dead"
		}
	}
}

func (w *world) restart() {
	v := w.vms[w.pick(len(w.vms))]
	w.start(v)
	for _, at := range w.attempts {
		if at.vm == v {
			at.state = "dead"
		}
	}
}

// replace takes VMs off the list, which run on for a while, some after a word of
// leaving; it adds as many or none.
func (w *world) replace() {
	add := w.pick(2) == 0
	for range 1 + w.pick(3) {
		v := w.vms[w.pick(len(w.vms))]
		if !v.gone.IsZero() || w.named > 24 || len(w.listed) < 3 {
			return
		}
		w.unlist(v)
		if w.pick(2) == 0 {
			v.left = true
			w.announce(v)
		}
		if add {
			w.join(false)
		}
	}
}

// unlist takes a VM off the list; it runs on for a while.
func (w *world) unlist(v *vm) {
	v.gone = w.now.Add(time.Duration(w.pick(8)) * 5 * time.Second)
	w.listed = slices.DeleteFunc(w.listed, func(n string) bool { return n == v.name })
}

// announce tells every VM known that a VM wants to vote, or votes no more.
func (w *world) announce(v *vm) {
	known := w.present(v)
	if v.left {
		known = slices.Collect(maps.Keys(v.view.seen))
		slices.Sort(known)
	} else {
		v.admission = NewAdmission(w.p, known)
		v.admission.Add(v.name, false, nil)
	}
	for _, to := range known {
		if to != v.name {
			w.post(message{kind: "join", from: v.name, to: to, leaving: v.left, round: v.admission, incarnation: v.incarnation})
		}
	}
}

// admit starts a round of admission of one newcomer.
func (w *world) admit() {
	v := w.vms[w.pick(len(w.vms))]
	if !v.votes && !v.left {
		w.announce(v)
	}
}

// deliverJoin hands over a message of admission.
func (w *world) deliverJoin(m message, to *vm) {
	now, id := w.clock(to), fmt.Sprint(m.incarnation)
	switch {
	case m.kind == "joined":
		if to.admission != m.round || to.votes {
			return
		}
		to.admission.Add(m.from, m.votes, m.members)
		if to.admission.Admitted(now.Sub(to.started)) {
			to.view.Observe(now, to.admission.Members())
			to.votes = true
			if w.weak != noAbstention && w.weak != oldKeys {
				to.guard.Admit(now)
			}
		}
	case m.leaving:
		to.view.Leave(now, m.from, id)
	default:
		to.view.Join(now, m.from, id)
		known := w.present(to)
		w.post(message{kind: "joined", from: to.name, to: m.from, round: m.round, votes: w.mayVote(to), members: known})
	}
}

func (w *world) refresh() {
	for _, v := range w.vms {
		if w.pick(2) == 0 && !w.cut[v.name] {
			w.readList(v)
		}
	}
}

// cutOff heals the network, or cuts some VMs off from the others and from the
// platform, which may then replace them.
func (w *world) cutOff() {
	clear(w.cut)
	if w.pick(3) > 0 {
		w.split(w.pick(2) == 0)
	}
}

func (w *world) split(replace bool) {
	for _, v := range slices.Clone(w.vms) {
		w.cut[v.name] = w.pick(2) == 0
		if w.cut[v.name] && replace && v.gone.IsZero() && w.named < 24 {
			w.unlist(v)
			w.join(false)
		}
	}
}

// siege is a cut that lasts: the platform replaces one side, the newcomers ask to
// vote, and fresh orders come in on both sides.
func (w *world) siege() {
	clear(w.cut)
	w.split(w.pick(4) > 0)
	for range 1 + w.pick(12) {
		w.tick()
		for range 3 {
			w.admit()
		}
		w.flush()
		for range 1 + w.pick(4) {
			w.send()
		}
		w.flush()
	}
}

func (w *world) take() (message, bool) {
	if len(w.net) == 0 {
		return message{}, false
	}
	i := w.pick(len(w.net))
	m := w.net[i]
	w.net = slices.Delete(w.net, i, i+1)
	return m, true
}

func (w *world) drop() { w.take() }

func (w *world) repeat() {
	if m, ok := w.take(); ok {
		w.net = append(w.net, m)
		if m.kind != "run" {
			w.net = append(w.net, m)
		}
	}
}
