package once

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/google/uuid"
)

type attempt struct {
	key, id, state string
	first, heard   bool
	born           time.Time
	window         time.Duration
	vm             *vm
	ballot         *Ballot
	stage          Stage
	round, sent    int // sent: when the caller sent it, in the order of attempts
}

type message struct {
	to, from, kind, outcome string
	at                      *attempt
	id                      string
	vote                    Vote
	members                 []string
	round                   *Admission
	incarnation             int
	leaving, votes          bool
}

type told struct {
	order  int
	closed bool
}

// world is the model: VMs, callers, an upstream and a network that delays,
// reorders, drops and repeats. Its oracle is runs and refused.
type world struct {
	weak      weakening
	pick      func(n int) int
	p         Params
	rough     int // 1 to roughest
	now       time.Time
	step      int
	vms       []*vm
	named     int
	listed    []string
	cut       map[string]bool
	attempts  []*attempt
	net       []message
	keys      []string
	runs      map[string][]string
	refused   map[string][]told
	violation string
	rounds    int
	order     int // rises with each attempt sent
	wins      int
	replays   int
}

func newWorld(weak weakening, pick func(n int) int) *world {
	w := &world{
		weak: weak, pick: pick, now: time.UnixMilli(1_700_000_000_000), p: Defaults(),
		cut: map[string]bool{}, runs: map[string][]string{}, refused: map[string][]told{},
	}
	w.p.Keep, w.p.Linger, w.p.MaxListAge = 8*time.Second, 9*time.Second, 5*time.Second
	if weak != bootAtOnce {
		w.p.BootWait = w.p.MaxListAge + w.p.FutureSkew + 2*w.p.ClockSkew
	}
	n := 3 + min(pick(6), pick(6))
	w.p.Drift = pick(2)
	w.rough = 1 + pick(roughest)
	for range n {
		w.join(true)
	}
	w.now = w.now.Add(w.p.MaxListAge)
	for _, v := range w.vms {
		w.readList(v)
	}
	return w
}

// actions are the steps that may come at any moment, each as often as its weight.
func (w *world) actions() map[string]func() {
	weights := []struct {
		name   string
		weight int
		act    func()
	}{
		{"deliver", 20, w.deliver}, {"advance", 6, w.advance}, {"flush", 2, w.flush}, {"send", 3, w.send}, {"tick", 2, w.tick},
		{"drop", 1, w.fault(w.drop)}, {"repeat", 1, w.fault(w.repeat)}, {"restart", 1, w.fault(w.restart)},
		{"replace", 1, w.fault(w.replace)}, {"cut", 1, w.fault(w.cutOff)}, {"refresh", 2, w.refresh},
		{"admit", 2, w.admit}, {"siege", 1, w.fault(w.siege)},
		{"giveUp", 1, w.fault(w.giveUp)},
	}
	a := map[string]func(){}
	for _, x := range weights {
		for i := range x.weight {
			a[fmt.Sprint(x.name, i)] = x.act
		}
	}
	return a
}

func (w *world) send() {
	v := w.vms[w.pick(len(w.vms))]
	w.order++
	at := &attempt{vm: v, state: "queued", heard: true, sent: w.order, window: 30 * time.Second}
	if w.pick(4) == 0 { // another manifest, another window
		at.window = w.p.Keep
	}
	serial := true
	if len(w.keys) == 0 || w.pick(4) == 0 && len(w.keys) < 12 {
		ahead := 8
		if w.weak == futureKeys {
			ahead = 20
		}
		born := w.now.Add(time.Duration(w.pick(ahead)-3) * time.Second)
		w.keys = append(w.keys, newKey(born, byte(len(w.keys))))
		at.first = w.pick(2) == 0
	} else {
		serial = w.pick(2) == 0
	}
	at.key = w.keys[max(0, len(w.keys)-1-w.pick(4))]
	if at.first {
		at.key = w.keys[len(w.keys)-1]
	}
	at.born, _ = Birth(at.key)
	for _, o := range w.attempts { // a caller that marks its first attempt gives it up before the next
		if o.key == at.key && (serial || o.first) {
			o.heard = false
		}
	}
	w.attempts = append(w.attempts, at)
}

func (w *world) post(m message) { w.net = append(w.net, m) }

func (w *world) deliver() {
	m, ok := w.take()
	if !ok {
		return
	}
	if m.kind == "run" {
		w.run(m)
		return
	}
	to := w.find(m.to)
	if to == nil || w.cut[m.from] != w.cut[m.to] {
		return
	}
	at, now := m.at, w.clock(to)
	if at == nil {
		w.deliverJoin(m, to)
		return
	}
	switch m.kind {
	case "claim":
		c := Claim{Key: at.key, Fingerprint: "f", Claimant: m.id, Born: at.born, Window: at.window}
		v := to.guard.Claim(now, c, Standing{Votes: w.mayVote(to)})
		w.post(message{kind: "vote", from: to.name, to: m.from, at: at, id: m.id, vote: v, members: w.members(to, at.born)})
	case "vote":
		if at.vm == to && at.state == "claiming" && at.id == m.id {
			w.count(at, m)
		}
	case "release":
		to.guard.Release(now, at.key, m.id, at.born)
		if w.weak == noReleaseMemory && to.guard.entries[at.key] != nil {
			to.guard.entries[at.key].released = nil
		}
	case "record":
		to.guard.Record(now, at.key, m.id, "f", m.outcome, at.born)
	case "reply":
		if at.vm == to && at.state == "sent" {
			w.record(at, m.outcome)
		}
	}
	switch e := to.guard.entries[at.key]; {
	case w.weak == forgetful:
		to.guard.forgot = time.Time{}
	case w.weak == notesAsMemory && e != nil:
		e.whole = true
	}
}

func (w *world) count(at *attempt, m message) {
	if w.weak == listedNow || w.weak == ownView {
		m.members = nil
	}
	if w.weak == voteTwice {
		delete(at.ballot.voted, m.from)
	}
	at.ballot.Add(m.from, m.vote, m.members)
	if m.vote.Verdict == Held || m.vote.Verdict == Mismatch {
		at.stage = Contested
	}
}

// run is the upstream: it runs whatever arrives, and replies.
func (w *world) run(m message) {
	id := fmt.Sprintf("run %d of %s", len(w.runs[m.at.key]), m.at.key)
	w.runs[m.at.key] = append(w.runs[m.at.key], id)
	if len(w.runs[m.at.key]) > 1 {
		w.violation = "ran twice"
	}
	for _, t := range w.refused[m.at.key] {
		if t.closed || m.at.sent <= t.order {
			w.violation = "ran after not run was said"
		}
	}
	w.post(message{kind: "reply", from: m.from, to: m.from, at: m.at, outcome: id})
}

func (w *world) record(at *attempt, outcome string) {
	at.state = "done"
	w.tell(at, outcome)
	for _, v := range w.vms {
		w.post(message{kind: "record", from: at.vm.name, to: v.name, at: at, id: at.id, outcome: outcome})
	}
	if w.weak == releaseSent {
		w.release(at)
	}
}

// tell checks what a caller hears against what the upstream ran.
func (w *world) tell(at *attempt, outcome string) {
	if !at.heard || outcome == "unknown" {
		return
	}
	runs := w.runs[at.key]
	if outcome != "closed" && outcome != "not_run" {
		if !slices.Contains(runs, outcome) {
			w.violation = "another outcome replayed"
		}
		return
	}
	w.refused[at.key] = append(w.refused[at.key], told{w.order, outcome == "closed"})
	if len(runs) > 0 {
		w.violation = "not run said after it ran"
	}
}

func (w *world) release(at *attempt) {
	for _, v := range w.vms {
		w.post(message{kind: "release", from: at.vm.name, to: v.name, at: at, id: at.id})
	}
}

// pickAttempt draws an attempt that has not ended.
func (w *world) pickAttempt() *attempt {
	var open []*attempt
	for _, at := range w.attempts {
		if at.state != "done" && at.state != "dead" {
			open = append(open, at)
		}
	}
	if len(open) == 0 {
		return nil
	}
	return open[w.pick(len(open))]
}

// advance lets one attempt take its next step, however late.
func (w *world) advance() {
	at := w.pickAttempt()
	if at == nil {
		return
	}
	now := w.clock(at.vm)
	switch at.state {
	case "queued":
		switch ahead := at.born.Sub(now) - w.p.FutureSkew - w.p.ClockSkew; {
		case w.weak == naive:
			at.state = "checked"
		case now.After(at.born.Add(at.window)) || w.weak != futureKeys && ahead > 0:
			at.state = "done"
		default:
			w.ask(at)
		}
	case "claiming":
		w.settle(at)
	case "won":
		w.decide(at, now)
	case "checked":
		at.state = "sent"
		w.post(message{kind: "run", from: at.vm.name, at: at})
	}
}

func (w *world) ask(at *attempt) {
	at.state = "claiming"
	if at.round == 0 || w.weak != reusedID {
		w.rounds++
		at.id = fmt.Sprintf("%s/%d", at.vm.name, w.rounds)
	}
	at.round++
	guards := w.members(at.vm, at.born)
	at.ballot = NewBallot(w.p, guards, len(guards))
	at.stage = max(at.stage, Released)
	for _, g := range guards {
		w.post(message{kind: "claim", from: at.vm.name, to: g, at: at, id: at.id})
	}
}

func (w *world) settle(at *attempt) {
	switch at.ballot.Result() {
	case Won:
		at.state = "won"
		w.wins++
		if w.pick(2) == 0 { // the claims not yet delivered are cancelled
			w.net = slices.DeleteFunc(w.net, func(m message) bool { return m.kind == "claim" && m.id == at.id })
		}
	case Known:
		w.replays++
		at.state = "done"
		w.release(at)
		w.tell(at, at.ballot.Outcome())
	case Lost, Reused:
		w.giveBack(at)
	case Open:
		if w.pick(24) == 0 { // timed out
			w.giveBack(at)
		}
	}
}

// giveBack releases a round that was not won, and refuses or tries again.
func (w *world) giveBack(at *attempt) {
	w.release(at)
	if w.pick(2) == 0 {
		w.ask(at)
		return
	}
	at.state = "done"
	if NotRun(at.first, at.stage) || w.weak == noQuorumNotRun && at.stage == Released {
		w.tell(at, "not_run")
	}
}

// decide is the last check of a winner: it sends, releases or closes the key.
func (w *world) decide(at *attempt, now time.Time) {
	switch w.pick(4) {
	case 0:
		at.state = "done"
		w.release(at)
		if NotRun(at.first, at.stage) || w.weak == releasedNotRun {
			w.tell(at, "not_run")
		}
	case 1:
		w.record(at, "closed")
	default:
		at.state = "checked"
		if now.After(at.born.Add(at.window)) {
			w.record(at, "closed")
		}
	}
}

// giveUp ends an attempt by its timeout.
func (w *world) giveUp() {
	at := w.pickAttempt()
	if at == nil {
		return
	}
	switch at.state {
	case "claiming":
		w.giveBack(at)
	case "sent":
		w.record(at, "unknown")
	}
}

// play takes the given number of random steps, until the oracle objects.
func (w *world) play(steps int) {
	actions := w.actions()
	names := slices.Sorted(maps.Keys(actions))
	for w.step = 1; w.step <= steps && w.violation == ""; w.step++ {
		actions[names[w.pick(len(names))]]()
	}
}

// newKey returns a UUIDv7 of a caller, born at the given time.
func newKey(born time.Time, n byte) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(born.UnixMilli())<<16|0x7000)
	id[8], id[15] = 0x80, n
	return "shop/" + id.String()
}
