package once

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/google/uuid"
)

// attempt is one attempt of a caller at a VM. waiting says that the caller still waits for
// its answer.
type attempt struct {
	key, id, state string
	first, waiting bool
	born           time.Time
	window         time.Duration
	vm             *vm
	ballot         *Ballot
	stage          Stage
	round, sent    int // sent is its number in the order in which callers sent attempts
}

// message is a message between VMs, or to and from the upstream.
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

// notRunAnswer is a "not run" that a caller received. order is the number of the last
// attempt sent before it; closed says that later attempts must not run either.
type notRunAnswer struct {
	order  int
	closed bool
}

// simulation is the model: VMs, callers, an upstream and a network that delays, reorders,
// drops and duplicates messages. Its oracle is runs and notRuns, by key; violation names
// the promise that was broken, if any.
type simulation struct {
	omitted   omittedRule
	pick      func(n int) int
	p         Params
	faultRate int // 1 to maxFaultRate
	now       time.Time
	step      int
	vms       []*vm
	nextVM    int
	listed    []string
	cutOff    map[string]bool
	attempts  []*attempt
	net       []message
	keys      []string
	runs      map[string][]string
	notRuns   map[string][]notRunAnswer
	violation string
	rounds    int
	order     int // the number of attempts sent
	wins      int
	replays   int
}

func newSimulation(omitted omittedRule, pick func(n int) int) *simulation {
	s := &simulation{
		omitted: omitted, pick: pick, now: time.UnixMilli(1_700_000_000_000), p: DefaultParams(),
		cutOff: map[string]bool{}, runs: map[string][]string{}, notRuns: map[string][]notRunAnswer{},
	}
	s.p.MinRetention, s.p.AbsentTTL, s.p.MaxListAge = 8*time.Second, 9*time.Second, 5*time.Second
	if omitted != noBootWait {
		s.p.BootWait = s.p.MaxListAge + s.p.FutureSkew + 2*s.p.ClockSkew
	}
	n := 3 + min(pick(6), pick(6))
	s.p.UnknownVoters = pick(2)
	s.faultRate = 1 + pick(maxFaultRate)
	for range n {
		s.join(true)
	}
	s.now = s.now.Add(s.p.MaxListAge)
	for _, v := range s.vms {
		s.readList(v)
	}
	return s
}

// actions returns the steps that may happen at any time, each as often as its weight. The
// order of their names determines what a fixed seed does, so the names stay as they are.
func (s *simulation) actions() map[string]func() {
	weights := []struct {
		name   string
		weight int
		act    func()
	}{
		{"deliver", 20, s.deliver}, {"advance", 6, s.advance}, {"flush", 2, s.flush}, {"send", 3, s.send}, {"tick", 2, s.tick},
		{"drop", 1, s.fault(s.drop)}, {"repeat", 1, s.fault(s.repeat)}, {"restart", 1, s.fault(s.restart)},
		{"replace", 1, s.fault(s.replace)}, {"cut", 1, s.fault(s.partition)}, {"refresh", 2, s.refresh},
		{"admit", 2, s.admit}, {"siege", 1, s.fault(s.longPartition)},
		{"giveUp", 1, s.fault(s.giveUp)},
	}
	a := map[string]func(){}
	for _, x := range weights {
		for i := range x.weight {
			a[fmt.Sprint(x.name, i)] = x.act
		}
	}
	return a
}

// send makes a caller send an attempt, under a new key or a recent one.
func (s *simulation) send() {
	v := s.vms[s.pick(len(s.vms))]
	s.order++
	at := &attempt{vm: v, state: "queued", waiting: true, sent: s.order, window: 30 * time.Second}
	if s.pick(4) == 0 { // another manifest may set a shorter window
		at.window = s.p.MinRetention
	}
	abandonsLast := true
	if len(s.keys) == 0 || s.pick(4) == 0 && len(s.keys) < 12 {
		ahead := 8
		if s.omitted == noFutureLimit {
			ahead = 20
		}
		born := s.now.Add(time.Duration(s.pick(ahead)-3) * time.Second)
		s.keys = append(s.keys, newKey(born, byte(len(s.keys))))
		at.first = s.pick(2) == 0
	} else {
		abandonsLast = s.pick(2) == 0
	}
	at.key = s.keys[max(0, len(s.keys)-1-s.pick(4))]
	if at.first {
		at.key = s.keys[len(s.keys)-1]
	}
	at.born, _ = Birth(at.key)
	for _, o := range s.attempts { // a marked first attempt is always abandoned before the next is sent
		if o.key == at.key && (abandonsLast || o.first) {
			o.waiting = false
		}
	}
	s.attempts = append(s.attempts, at)
}

// post puts a message on the network.
func (s *simulation) post(m message) { s.net = append(s.net, m) }

// deliver takes a random message from the network and processes it at its receiver.
func (s *simulation) deliver() {
	m, ok := s.takeMessage()
	if !ok {
		return
	}
	if m.kind == "run" {
		s.run(m)
		return
	}
	to := s.find(m.to)
	if to == nil || s.cutOff[m.from] != s.cutOff[m.to] {
		return
	}
	at, now := m.at, s.clock(to)
	if at == nil {
		s.deliverJoin(m, to)
		return
	}
	switch m.kind {
	case "claim":
		c := Claim{Key: at.key, Fingerprint: "f", Claimant: m.id, Born: at.born, Window: at.window}
		v := to.guard.Claim(now, c, GuardState{Votes: s.mayVote(to)})
		s.post(message{kind: "vote", from: to.name, to: m.from, at: at, id: m.id, vote: v, members: s.members(to, at.born)})
	case "vote":
		if at.vm == to && at.state == "claiming" && at.id == m.id {
			s.count(at, m)
		}
	case "release":
		to.guard.Release(now, at.key, m.id, at.born)
		if s.omitted == noReleaseMemory && to.guard.entries[at.key] != nil {
			to.guard.entries[at.key].released = nil
		}
	case "record":
		to.guard.Record(now, at.key, m.id, "f", m.outcome, at.born)
	case "reply":
		if at.vm == to && at.state == "sent" {
			s.record(at, m.outcome)
		}
	}
	switch e := to.guard.entries[at.key]; {
	case s.omitted == noDroppedBirth:
		to.guard.droppedBirth = time.Time{}
	case s.omitted == incompleteEntries && e != nil:
		e.complete = true
	}
}

// count adds a vote to an attempt's ballot.
func (s *simulation) count(at *attempt, m message) {
	if s.omitted == listedOnly || s.omitted == ownViewOnly {
		m.members = nil
	}
	if s.omitted == repeatedVotes {
		delete(at.ballot.counted, m.from)
	}
	at.ballot.Add(m.from, m.vote, m.members)
	if m.vote.Verdict == Held || m.vote.Verdict == Mismatch {
		at.stage = Contested
	}
}

// run is the upstream, which runs every request that arrives and replies.
func (s *simulation) run(m message) {
	id := fmt.Sprintf("run %d of %s", len(s.runs[m.at.key]), m.at.key)
	s.runs[m.at.key] = append(s.runs[m.at.key], id)
	if len(s.runs[m.at.key]) > 1 {
		s.violation = "ran twice"
	}
	for _, t := range s.notRuns[m.at.key] {
		if t.closed || m.at.sent <= t.order {
			s.violation = "ran after not run was reported"
		}
	}
	s.post(message{kind: "reply", from: m.from, to: m.from, at: m.at, outcome: id})
}

// record ends an attempt with an outcome and sends that to the guards.
func (s *simulation) record(at *attempt, outcome string) {
	at.state = "done"
	s.checkAnswer(at, outcome)
	for _, v := range s.vms {
		s.post(message{kind: "record", from: at.vm.name, to: v.name, at: at, id: at.id, outcome: outcome})
	}
	if s.omitted == releaseAfterSend {
		s.release(at)
	}
}

// checkAnswer checks a caller's answer against what the upstream ran.
func (s *simulation) checkAnswer(at *attempt, outcome string) {
	if !at.waiting || outcome == "unknown" {
		return
	}
	runs := s.runs[at.key]
	if outcome != "closed" && outcome != "not_run" {
		if !slices.Contains(runs, outcome) {
			s.violation = "another outcome replayed"
		}
		return
	}
	s.notRuns[at.key] = append(s.notRuns[at.key], notRunAnswer{s.order, outcome == "closed"})
	if len(runs) > 0 {
		s.violation = "not run reported after it ran"
	}
}

// release sends the release of an attempt's round to all VMs.
func (s *simulation) release(at *attempt) {
	for _, v := range s.vms {
		s.post(message{kind: "release", from: at.vm.name, to: v.name, at: at, id: at.id})
	}
}

// pickAttempt returns a random attempt that has not ended; nil if there is none.
func (s *simulation) pickAttempt() *attempt {
	var open []*attempt
	for _, at := range s.attempts {
		if at.state != "done" && at.state != "dead" {
			open = append(open, at)
		}
	}
	if len(open) == 0 {
		return nil
	}
	return open[s.pick(len(open))]
}

// advance lets a random attempt take its next step, however late.
func (s *simulation) advance() {
	at := s.pickAttempt()
	if at == nil {
		return
	}
	now := s.clock(at.vm)
	switch at.state {
	case "queued":
		switch ahead := at.born.Sub(now) - s.p.FutureSkew - s.p.ClockSkew; {
		case s.omitted == noClaims:
			at.state = "checked"
		case now.After(at.born.Add(at.window)) || s.omitted != noFutureLimit && ahead > 0:
			at.state = "done"
		default:
			s.startRound(at)
		}
	case "claiming":
		s.finishRound(at)
	case "won":
		s.useWin(at, now)
	case "checked":
		at.state = "sent"
		s.post(message{kind: "run", from: at.vm.name, at: at})
	}
}

// startRound claims an attempt's key at all guards that its VM counts.
func (s *simulation) startRound(at *attempt) {
	at.state = "claiming"
	if at.round == 0 || s.omitted != claimantReused {
		s.rounds++
		at.id = fmt.Sprintf("%s/%d", at.vm.name, s.rounds)
	}
	at.round++
	guards := s.members(at.vm, at.born)
	at.ballot = NewBallot(s.p, guards, len(guards))
	at.stage = max(at.stage, Released)
	for _, g := range guards {
		s.post(message{kind: "claim", from: at.vm.name, to: g, at: at, id: at.id})
	}
}

// finishRound acts on the state of an attempt's round.
func (s *simulation) finishRound(at *attempt) {
	switch at.ballot.Result() {
	case Won:
		at.state = "won"
		s.wins++
		if s.pick(2) == 0 { // claims not delivered yet are cancelled
			s.net = slices.DeleteFunc(s.net, func(m message) bool { return m.kind == "claim" && m.id == at.id })
		}
	case Known:
		s.replays++
		at.state = "done"
		s.release(at)
		s.checkAnswer(at, at.ballot.Outcome())
	case Lost, Reused:
		s.releaseRound(at)
	case Open:
		if s.pick(24) == 0 { // timed out
			s.releaseRound(at)
		}
	}
}

// releaseRound releases a round that was not won, and starts another or ends the attempt.
func (s *simulation) releaseRound(at *attempt) {
	s.release(at)
	if s.pick(2) == 0 {
		s.startRound(at)
		return
	}
	at.state = "done"
	if NotRun(at.first, at.stage) || s.omitted == noQuorumNotRun && at.stage == Released {
		s.checkAnswer(at, "not_run")
	}
}

// useWin continues an attempt that won its key: it releases or closes the key, or goes on
// to send the request.
func (s *simulation) useWin(at *attempt, now time.Time) {
	switch s.pick(4) {
	case 0:
		at.state = "done"
		s.release(at)
		if NotRun(at.first, at.stage) || s.omitted == releasedNotRun {
			s.checkAnswer(at, "not_run")
		}
	case 1:
		s.record(at, "closed")
	default:
		at.state = "checked"
		if now.After(at.born.Add(at.window)) {
			s.record(at, "closed")
		}
	}
}

// giveUp times a random attempt out: it releases its round or records an unknown outcome.
func (s *simulation) giveUp() {
	at := s.pickAttempt()
	if at == nil {
		return
	}
	switch at.state {
	case "claiming":
		s.releaseRound(at)
	case "sent":
		s.record(at, "unknown")
	}
}

// runSteps takes up to the given number of random steps and stops at a violation.
func (s *simulation) runSteps(steps int) {
	actions := s.actions()
	names := slices.Sorted(maps.Keys(actions))
	for s.step = 1; s.step <= steps && s.violation == ""; s.step++ {
		actions[names[s.pick(len(names))]]()
	}
}

// newKey returns a caller's UUIDv7 key, born at the given time.
func newKey(born time.Time, n byte) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(born.UnixMilli())<<16|0x7000)
	id[8], id[15] = 0x80, n
	return "shop/" + id.String()
}
