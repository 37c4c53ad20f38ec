package plan_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/policy/forecast"
	"github.com/sardinespindle/sardinespindle/internal/policy/plan"
	"github.com/sardinespindle/sardinespindle/internal/policy/repeat"
)

// The model simulates a load on shards of two upstreams each, without any I/O: upstreams
// with slots, a bounded queue and pauses, and VMs that decide by the policy packages alone.

const (
	ms       = time.Millisecond
	slots    = 2
	queueLen = 12
	oneWay   = 1 * ms
)

// kind is one kind of search: its load, the limits on an answer and the credit for it.
type kind struct {
	name       string
	perSecond  float64
	work       time.Duration
	objective  time.Duration
	giveUp     time.Duration
	minShare   float64
	value      float64
	lateCredit float64
}

var (
	browse = kind{"browse", 71, 28 * ms, 200 * ms, 3 * time.Second, 0.89, 2, 0.1}
	lookup = kind{"lookup", 24, 9200 * time.Microsecond, 80 * ms, 1200 * ms, 0.75, 1, 0.1}
)

// event is a function that runs at a time of the simulation.
type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// simulation is one run of the model in simulated time.
type simulation struct {
	now    time.Duration
	events events
	rng    *rand.Rand
	shards [][]*upstreamModel
	vms    []*vmModel

	tally map[string]*tally
}

// tally counts the searches of one kind: all that arrived (asked), and those that
// ended, by outcome.
type tally struct {
	asked, inTime, late, shed, failed int
	credit                            float64
}

func (w *simulation) at(t time.Duration, do func()) { heap.Push(&w.events, event{t, do}) }

func (w *simulation) run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
}

// upstreamModel is one upstream. slow returns the factor by which its work takes longer,
// and sheds the share of requests that it sheds even if its queue is not full.
type upstreamModel struct {
	w       *simulation
	slow    func(now time.Duration) float64
	sheds   func(now time.Duration) float64
	phase   time.Duration // of its pauses
	running int
	queue   []*attemptModel
	ran     int
	shed    int
}

// attemptModel is one attempt at an upstream.
type attemptModel struct {
	to        *upstreamModel
	work      time.Duration
	cancelled bool
	running   bool
	done      func(ok bool, l forecast.Load)
}

const (
	pauseInterval = 6 * time.Second
	pauseLength   = 250 * ms
)

// remainingPause returns how long the current pause still lasts, or 0.
func (u *upstreamModel) remainingPause() time.Duration {
	in := (u.w.now + u.phase) % pauseInterval
	if in < pauseLength {
		return pauseLength - in
	}
	return 0
}

func (u *upstreamModel) arrive(a *attemptModel) {
	if a.cancelled {
		return
	}
	if u.w.rng.Float64() < u.sheds(u.w.now) || (u.running >= slots && len(u.queue) >= queueLen) {
		u.shed++
		u.w.at(u.w.now+oneWay, func() { a.done(false, forecast.Load{}) })
		return
	}
	u.queue = append(u.queue, a)
	u.next()
}

func (u *upstreamModel) next() {
	for u.running < slots && len(u.queue) > 0 {
		a := u.queue[0]
		u.queue = u.queue[1:]
		if a.cancelled {
			continue
		}
		u.running++
		u.ran++
		a.running = true
		took := time.Duration(float64(a.work)*u.slow(u.w.now)) + u.remainingPause()
		if next := pauseInterval - (u.w.now+u.phase)%pauseInterval; u.remainingPause() == 0 && took > next {
			took += pauseLength
		}
		u.w.at(u.w.now+took, func() {
			if !a.running {
				return
			}
			a.running = false
			u.running--
			load := forecast.Load{Known: true, Running: u.running, Waiting: len(u.queue), Slots: slots}
			u.w.at(u.w.now+oneWay, func() { a.done(true, load) })
			u.next()
		})
	}
}

// cancel ends an attempt; the upstream stops its work when the closing of the connection
// arrives.
func (a *attemptModel) cancel() {
	a.cancelled = true
	a.to.w.at(a.to.w.now+oneWay, func() {
		if a.running {
			a.running = false
			a.to.running--
			a.to.next()
		}
	})
}

// vmModel is one VM with its estimates and budgets.
type vmModel struct {
	w                *simulation
	servers          map[*upstreamModel]*view
	typicalLatencies map[string]*forecast.TypicalLatency
	budgets          []repeat.Bucket
}

// view is a VM's estimate of one upstream and its requests in flight there.
type view struct {
	forecast.Server
	sentAt []time.Duration
}

func (v *view) inFlight(now time.Duration) forecast.InFlight {
	f := forecast.InFlight{Count: len(v.sentAt), Slots: slots}
	for _, at := range v.sentAt {
		f.Oldest = max(f.Oldest, now-at)
	}
	return f
}

func (v *view) remove(at time.Duration) {
	for i, x := range v.sentAt {
		if x == at {
			v.sentAt = append(v.sentAt[:i], v.sentAt[i+1:]...)
			return
		}
	}
}

var fleetLimits = repeat.Limits{Ratio: 0.2, Slack: 129, Window: 10 * time.Second}

func newSimulation(seed uint64, vms, shards int, slow, sheds func(shard, replica int, now time.Duration) float64) *simulation {
	w := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), tally: map[string]*tally{}}
	for s := range shards {
		var us []*upstreamModel
		for r := range 2 {
			us = append(us, &upstreamModel{
				w:     w,
				slow:  func(now time.Duration) float64 { return slow(s, r, now) },
				sheds: func(now time.Duration) float64 { return sheds(s, r, now) },
				phase: time.Duration(w.rng.Int64N(int64(pauseInterval))),
			})
		}
		w.shards = append(w.shards, us)
	}
	for range vms {
		v := &vmModel{
			w: w, servers: map[*upstreamModel]*view{}, typicalLatencies: map[string]*forecast.TypicalLatency{},
			budgets: make([]repeat.Bucket, shards),
		}
		for _, us := range w.shards {
			for _, u := range us {
				v.servers[u] = &view{}
			}
		}
		w.vms = append(w.vms, v)
	}
	return w
}

// load starts searches of a kind between from and until, as a Poisson process.
func (w *simulation) load(k kind, from, until time.Duration) {
	var next func()
	next = func() {
		if w.now >= until {
			return
		}
		w.vms[w.rng.IntN(len(w.vms))].search(k)
		w.at(w.now+time.Duration(w.rng.ExpFloat64()*float64(time.Second)/k.perSecond), next)
	}
	w.at(from, next)
}

// work draws the work of one sub-request: lognormal with a coefficient of variation of
// 0.35, and five times as long in one of 100 cases.
func (w *simulation) work(k kind) time.Duration {
	const spread = 0.35
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	f := math.Exp(w.rng.NormFloat64()*sigma - sigma*sigma/2)
	if w.rng.Float64() < 0.01 {
		f *= 5
	}
	return time.Duration(float64(k.work) * f)
}

// searchModel is one search in progress.
type searchModel struct {
	vm        *vmModel
	k         kind
	startedAt time.Duration
	parts     int
	open      int
	need      int
	total     int
	inFlight  []*attemptModel
	ended     bool
	shards    []*shardModel
}

type shardModel struct {
	n        int
	tried    []*upstreamModel
	accepted []*upstreamModel // those that did not shed the request
	inFlight int
	covered  bool
}

func (v *vmModel) typicalLatency(k kind) *forecast.TypicalLatency {
	if v.typicalLatencies[k.name] == nil {
		v.typicalLatencies[k.name] = &forecast.TypicalLatency{}
	}
	return v.typicalLatencies[k.name]
}

// maxAttempts is the most attempts for one shard, shed ones included.
const maxAttempts = 4

// pick chooses an upstream of a shard as package upstream does for pass-through requests.
func (v *vmModel) pick(k kind, sh *shardModel) (*upstreamModel, time.Duration) {
	var us []*upstreamModel
	var costs []time.Duration
	for _, u := range v.w.shards[sh.n] {
		if slices.Contains(sh.accepted, u) || len(sh.tried) > 0 && sh.tried[len(sh.tried)-1] == u {
			continue
		}
		us = append(us, u)
		costs = append(costs, v.servers[u].Cost(v.w.now, v.typicalLatency(k).At(v.w.now), v.servers[u].inFlight(v.w.now)))
	}
	if len(us) == 0 || len(sh.tried) >= maxAttempts {
		return nil, plan.Never
	}
	i := plan.Choose(costs, v.w.rng.Float64)
	return us[i], costs[i]
}

func (v *vmModel) search(k kind) {
	s := &searchModel{vm: v, k: k, startedAt: v.w.now, total: len(v.w.shards)}
	s.need = int(math.Ceil(k.minShare*float64(s.total) - 1e-9))
	s.tally().asked++
	s.start()
}

func (s *searchModel) tally() *tally {
	key := s.k.name
	if s.vm.w.tally[key] == nil {
		s.vm.w.tally[key] = &tally{}
	}
	return s.vm.w.tally[key]
}

func (s *searchModel) start() {
	v, now := s.vm, s.vm.w.now
	ps := plan.Search{
		Expected: make([]time.Duration, s.total), MinShards: s.need,
		UntilLate: s.answerAt() - now, UntilGiveUp: s.startedAt + s.k.giveUp - now,
	}
	picks := make([]*upstreamModel, s.total)
	s.shards = make([]*shardModel, s.total)
	for i := range s.total {
		s.shards[i] = &shardModel{n: i}
		v.budgets[i].Earn(now, fleetLimits, len(v.w.vms))
		picks[i], ps.Expected[i] = v.pick(s.k, s.shards[i])
	}
	verdict := plan.Decide(ps)
	if verdict.Shed {
		s.end(func(t *tally) { t.shed++ })
		return
	}
	for i, ask := range verdict.Ask {
		if ask {
			s.send(s.shards[i], picks[i])
		}
	}
	v.w.at(now+time.Duration(float64(s.k.objective)*hedgeShare), s.hedge)
	v.w.at(s.answerAt(), s.decide)
	v.w.at(s.startedAt+s.k.giveUp, func() { s.end(func(t *tally) { t.failed++ }) })
}

// hedgeShare is the share of the objective after which slow shards are hedged.
const hedgeShare = 0.4

// answerAt returns when the answer is due: a margin before the objective.
func (s *searchModel) answerAt() time.Duration {
	return s.startedAt + time.Duration(float64(s.k.objective)*0.95) - 8*ms
}

func (s *searchModel) send(sh *shardModel, u *upstreamModel) {
	v := s.vm
	w := v.w
	at := w.now
	view := v.servers[u]
	typical := v.typicalLatency(s.k).At(v.w.now)
	sh.tried = append(sh.tried, u)
	sh.accepted = append(sh.accepted, u)
	sh.inFlight++
	s.open++
	view.sentAt = append(view.sentAt, at)
	a := &attemptModel{to: u, work: w.work(s.k)}
	s.inFlight = append(s.inFlight, a)
	a.done = func(ok bool, l forecast.Load) {
		i := slices.Index(s.inFlight, a)
		if i < 0 {
			return
		}
		s.inFlight = slices.Delete(s.inFlight, i, i+1)
		view.remove(at)
		sh.inFlight--
		if !ok {
			sh.accepted = slices.DeleteFunc(sh.accepted, func(x *upstreamModel) bool { return x == u })
			view.Shed(w.now)
		} else {
			if !l.Queued() {
				v.typicalLatency(s.k).Observe(w.now, w.now-at)
			}
			view.Replied(w.now, w.now-at, typical, l)
		}
		s.replied(sh, ok)
	}
	w.at(w.now+oneWay, func() { u.arrive(a) })
}

func (s *searchModel) replied(sh *shardModel, ok bool) {
	s.open--
	if ok && !sh.covered {
		sh.covered = true
		s.parts++
	}
	if !ok && !sh.covered && sh.inFlight == 0 {
		s.repeat(sh, false)
		s.askLeftOut()
	}
	s.decide()
}

// repeat sends a shard's request to the other upstream if that is worthwhile and the
// budget allows.
func (s *searchModel) repeat(sh *shardModel, hedge bool) {
	u, expected := s.vm.pick(s.k, sh)
	if u == nil || !plan.RepeatWorthwhile(expected, s.answerAt()-s.vm.w.now, s.parts+s.pending(), s.need) {
		return
	}
	b := &s.vm.budgets[sh.n]
	take := b.Take
	if hedge {
		take = b.TakeHedge
	}
	if !take(s.vm.w.now, fleetLimits, len(s.vm.w.vms)) {
		return
	}
	s.send(sh, u)
}

// askLeftOut asks shards that were left out if the answer depends on them.
func (s *searchModel) askLeftOut() {
	for s.parts+s.pending() < s.need {
		var best *shardModel
		var to *upstreamModel
		least := plan.Never
		for _, sh := range s.shards {
			if len(sh.tried) > 0 {
				continue
			}
			if u, e := s.vm.pick(s.k, sh); u != nil && e < least {
				best, to, least = sh, u, e
			}
		}
		if best == nil {
			return
		}
		s.send(best, to)
	}
}

func (s *searchModel) hedge() {
	if s.ended {
		return
	}
	for _, sh := range s.shards {
		if !sh.covered && sh.inFlight == 1 && len(sh.tried) == 1 {
			s.repeat(sh, true)
		}
	}
}

func (s *searchModel) pending() (n int) {
	for _, sh := range s.shards {
		if !sh.covered && sh.inFlight > 0 {
			n++
		}
	}
	return n
}

func (s *searchModel) decide() {
	if s.ended {
		return
	}
	pending := s.pending()
	timeUp := s.vm.w.now >= s.answerAt()
	switch {
	case s.parts == s.total || s.parts >= s.need && (timeUp || pending == 0):
		share := float64(s.parts) / float64(s.total)
		if s.vm.w.now+2*ms <= s.startedAt+s.k.objective {
			s.end(func(t *tally) { t.inTime++; t.credit += share * share })
		} else {
			s.end(func(t *tally) { t.late++; t.credit += s.k.lateCredit * share * share })
		}
	case s.parts+pending < s.need:
		s.end(func(t *tally) { t.failed++ })
	}
}

func (s *searchModel) end(count func(*tally)) {
	if s.ended {
		return
	}
	s.ended = true
	count(s.tally())
	now := s.vm.w.now
	for _, a := range s.inFlight {
		view := s.vm.servers[a.to]
		for _, at := range view.sentAt {
			if at >= s.startedAt && at <= now {
				view.Unanswered(now, now-at, s.vm.typicalLatency(s.k).At(now))
				view.remove(at)
				break
			}
		}
		a.cancel()
	}
	s.inFlight = nil
}
