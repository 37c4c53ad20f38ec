package once

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// omittedRule names the rule that a simulation leaves out, by what happens without it.
type omittedRule string

const (
	allRules          omittedRule = ""
	noClaims          omittedRule = "requests run without a claim"
	ownViewOnly       omittedRule = "a claimant counts only the voters that it knows"
	noAdmission       omittedRule = "new VMs vote before a quorum counts them"
	votesOnOlderKeys  omittedRule = "a new VM votes on keys born before its admission"
	noBootWait        omittedRule = "a new fleet votes while the earlier one still does"
	noMaxListAge      omittedRule = "guards vote however old their VM list is"
	noStartAbstention omittedRule = "a restarted guard votes on keys born before its start"
	listedOnly        omittedRule = "only the VMs listed now count as voters"
	releaseAfterSend  omittedRule = "a claimant releases its votes after sending"
	claimantReused    omittedRule = "a claimant ID is used for a second round"
	repeatedVotes     omittedRule = "a guard's vote is counted once for each reply"
	noQuorumNotRun    omittedRule = "not run is reported for an unmarked attempt without a quorum"
	releasedNotRun    omittedRule = "not run is reported for an unmarked attempt after a release"
	noDroppedBirth    omittedRule = "a dropped key is claimed again with a longer window"
	noClockSkewBound  omittedRule = "VM clocks differ by more than the bound"
	noFutureLimit     omittedRule = "keys born far in the future are accepted"
	incompleteEntries omittedRule = "an entry added by a release counts as complete"
	noReleaseMemory   omittedRule = "released claimants are not kept"
)

// excessSkew is how far beyond FutureSkew a key's birth may lie under noFutureLimit.
const excessSkew = 20 * time.Second

// maxFaultRate is the largest faultRate, at which every fault that is drawn happens.
const maxFaultRate = 4

// vm is a VM of the simulation: a guard, and the claimant of the attempts sent to it.
type vm struct {
	name        string
	incarnation int
	offset      time.Duration // of its clock
	guard       *Guard
	view        *View
	admission   *Admission
	votes, left bool
	list        []string  // the VM list as this VM last read it
	read, gone  time.Time // when it last read a list with its name; when it stops running
	started     time.Time
}

func (s *simulation) clock(v *vm) time.Time { return s.now.Add(v.offset) }

// join adds a listed VM; only a founder votes without admission.
func (s *simulation) join(founder bool) *vm {
	v := &vm{name: fmt.Sprint("vm", s.nextVM)}
	s.nextVM++
	s.vms, s.listed = append(s.vms, v), append(s.listed, v.name)
	s.start(v)
	v.votes = founder || s.omitted == noAdmission
	return v
}

// start starts a process of a VM: with empty state, another clock and the current list.
func (s *simulation) start(v *vm) {
	v.offset = time.Duration(s.pick(3)-1) * s.p.ClockSkew / 2
	if s.omitted == noClockSkewBound {
		v.offset *= 8
	}
	p, started := s.p, s.clock(v)
	switch s.omitted {
	case noStartAbstention:
		started = started.Add(-time.Hour)
	case noFutureLimit: // raises FutureSkew, yet leaves the abstention on older keys as it is
		p.FutureSkew += excessSkew
		started = started.Add(-excessSkew)
	}
	v.incarnation++
	v.started = s.clock(v)
	v.guard, v.view, v.admission = NewGuard(p, started), NewView(s.p, 64), nil
	v.votes, v.left = s.omitted == noAdmission, false
	s.readList(v)
}

// readList reads the platform's current list on a VM.
func (s *simulation) readList(v *vm) {
	v.list = slices.Clone(s.listed)
	if slices.Contains(v.list, v.name) {
		v.read = s.clock(v)
	}
	v.view.Observe(s.clock(v), append(v.list, v.name))
}

// members returns the VMs that a VM counts for a key born at the given time.
func (s *simulation) members(v *vm, born time.Time) []string {
	if s.omitted == listedOnly {
		return v.list
	}
	v.view.Observe(s.clock(v), append(v.list, v.name))
	m, _ := v.view.Members(born)
	return m
}

// present returns the VMs that a VM counts for keys born from now on.
func (s *simulation) present(v *vm) []string {
	if s.omitted == listedOnly {
		return v.list
	}
	v.view.Observe(s.clock(v), append(v.list, v.name))
	return v.view.Present(s.clock(v))
}

func (s *simulation) mayVote(v *vm) bool {
	fresh := s.clock(v).Sub(v.read) < s.p.MaxListAge
	return v.votes && !v.left && (fresh || s.omitted == noMaxListAge)
}

func (s *simulation) find(name string) *vm {
	i := slices.IndexFunc(s.vms, func(v *vm) bool { return v.name == name })
	if i < 0 {
		return nil
	}
	return s.vms[i]
}

// fault returns a function that calls act at the simulation's faultRate. With probability
// 1/3 the simulation leaves the fault out.
func (s *simulation) fault(act func()) func() {
	if s.pick(3) == 0 {
		return func() {}
	}
	return func() {
		if s.pick(maxFaultRate) < s.faultRate {
			act()
		}
	}
}

// flush delivers messages and advances attempts for a while, without faults.
func (s *simulation) flush() {
	for range 60 {
		s.deliver()
		if s.pick(3) == 0 {
			s.advance()
		}
	}
}

// tick advances the clock and removes the VMs that have stopped.
func (s *simulation) tick() {
	s.now = s.now.Add([]time.Duration{10, 200, 1000, 2000, 5000}[s.pick(5)] * time.Millisecond)
	if s.pick(3) > 0 {
		s.refresh()
	}
	s.vms = slices.DeleteFunc(s.vms, func(v *vm) bool { return !v.gone.IsZero() && s.now.After(v.gone) })
	for _, at := range s.attempts {
		if s.find(at.vm.name) != at.vm {
			at.state = "dead"
		}
	}
}

func (s *simulation) restart() {
	v := s.vms[s.pick(len(s.vms))]
	s.start(v)
	for _, at := range s.attempts {
		if at.vm == v {
			at.state = "dead"
		}
	}
}

// replace removes VMs from the list; some announce that they leave, the others keep voting
// for a while. It adds as many new VMs, or none.
func (s *simulation) replace() {
	add := s.pick(2) == 0
	for range 1 + s.pick(3) {
		v := s.vms[s.pick(len(s.vms))]
		if !v.gone.IsZero() || s.nextVM > 24 || len(s.listed) < 3 {
			return
		}
		s.unlist(v)
		if s.pick(2) == 0 {
			v.left = true
			s.announce(v)
		}
		if add {
			s.join(false)
		}
	}
}

// unlist removes a VM from the list; the VM keeps running for up to 35 s.
func (s *simulation) unlist(v *vm) {
	v.gone = s.now.Add(time.Duration(s.pick(8)) * 5 * time.Second)
	s.listed = slices.DeleteFunc(s.listed, func(n string) bool { return n == v.name })
}

// announce reports to every VM known to v that v asks to vote, or has stopped voting.
func (s *simulation) announce(v *vm) {
	known := s.present(v)
	if v.left {
		known = slices.Collect(maps.Keys(v.view.seen))
		slices.Sort(known)
	} else {
		v.admission = NewAdmission(s.p, known)
		v.admission.Add(v.name, false, nil)
	}
	for _, to := range known {
		if to != v.name {
			s.post(message{kind: "join", from: v.name, to: to, leaving: v.left, round: v.admission, incarnation: v.incarnation})
		}
	}
}

// admit starts an admission of a VM that does not vote yet.
func (s *simulation) admit() {
	v := s.vms[s.pick(len(s.vms))]
	if !v.votes && !v.left {
		s.announce(v)
	}
}

// deliverJoin processes a join, or the reply to one, at its receiver.
func (s *simulation) deliverJoin(m message, to *vm) {
	now, id := s.clock(to), fmt.Sprint(m.incarnation)
	switch {
	case m.kind == "joined":
		if to.admission != m.round || to.votes {
			return
		}
		to.admission.Add(m.from, m.votes, m.members)
		if to.admission.Admitted(now.Sub(to.started)) {
			to.view.Observe(now, to.admission.Members())
			to.votes = true
			if s.omitted != noStartAbstention && s.omitted != votesOnOlderKeys {
				to.guard.Admit(now)
			}
		}
	case m.leaving:
		to.view.Leave(now, m.from, id)
	default:
		to.view.Join(now, m.from, id)
		known := s.present(to)
		s.post(message{kind: "joined", from: to.name, to: m.from, round: m.round, votes: s.mayVote(to), members: known})
	}
}

// refresh makes some of the VMs that reach the platform read its list.
func (s *simulation) refresh() {
	for _, v := range s.vms {
		if s.pick(2) == 0 && !s.cutOff[v.name] {
			s.readList(v)
		}
	}
}

// partition heals the network, or cuts some VMs off from the others and from the platform,
// which may then replace them.
func (s *simulation) partition() {
	clear(s.cutOff)
	if s.pick(3) > 0 {
		s.split(s.pick(2) == 0)
	}
}

// split cuts each VM off with probability 1/2; the platform may replace those cut off.
func (s *simulation) split(replace bool) {
	for _, v := range slices.Clone(s.vms) {
		s.cutOff[v.name] = s.pick(2) == 0
		if s.cutOff[v.name] && replace && v.gone.IsZero() && s.nextVM < 24 {
			s.unlist(v)
			s.join(false)
		}
	}
}

// longPartition is a partition that lasts: the platform usually replaces one side, the new
// VMs ask to vote, and both sides receive new requests.
func (s *simulation) longPartition() {
	clear(s.cutOff)
	s.split(s.pick(4) > 0)
	for range 1 + s.pick(12) {
		s.tick()
		for range 3 {
			s.admit()
		}
		s.flush()
		for range 1 + s.pick(4) {
			s.send()
		}
		s.flush()
	}
}

// takeMessage removes a random message from the network.
func (s *simulation) takeMessage() (message, bool) {
	if len(s.net) == 0 {
		return message{}, false
	}
	i := s.pick(len(s.net))
	m := s.net[i]
	s.net = slices.Delete(s.net, i, i+1)
	return m, true
}

func (s *simulation) drop() { s.takeMessage() }

// repeat duplicates a random message. The upstream runs each message, so a request to it is
// not duplicated.
func (s *simulation) repeat() {
	if m, ok := s.takeMessage(); ok {
		s.net = append(s.net, m)
		if m.kind != "run" {
			s.net = append(s.net, m)
		}
	}
}
