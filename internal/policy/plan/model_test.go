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

// The model replays a load on shards of two upstreams without any I/O: upstreams with
// slots, a bounded queue and pauses, and VMs that decide by the policies alone.

const (
	ms       = time.Millisecond
	slots    = 2
	queueLen = 12
	oneWay   = 1 * ms
)

// kind is one kind of search.
type kind struct {
	name       string
	perSecond  float64
	work       time.Duration
	objective  time.Duration
	giveUp     time.Duration
	least      float64
	worth      float64
	lateCredit float64
}

var (
	browse = kind{"browse", 71, 28 * ms, 200 * ms, 3 * time.Second, 0.89, 2, 0.1}
	lookup = kind{"lookup", 24, 9200 * time.Microsecond, 80 * ms, 1200 * ms, 0.75, 1, 0.1}
)

// event is something that happens at a time.
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

// world is one run of the model.
type world struct {
	now    time.Duration
	events events
	rng    *rand.Rand
	shards [][]*upstreamModel
	vms    []*vmModel

	tally map[string]*tally
}

// tally is what became of the searches of one kind that were asked in a span.
type tally struct {
	asked, inTime, late, refused, failed int
	credit                               float64
}

func (w *world) at(t time.Duration, do func()) { heap.Push(&w.events, event{t, do}) }

func (w *world) run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
}

// upstreamModel is one upstream.
type upstreamModel struct {
	w       *world
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
	pauseEvery = 6 * time.Second
	pauseFor   = 250 * ms
)

// paused returns how long the upstream still pauses.
func (u *upstreamModel) paused() time.Duration {
	in := (u.w.now + u.phase) % pauseEvery
	if in < pauseFor {
		return pauseFor - in
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
		took := time.Duration(float64(a.work)*u.slow(u.w.now)) + u.paused()
		if next := pauseEvery - (u.w.now+u.phase)%pauseEvery; u.paused() == 0 && took > next {
			took += pauseFor
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

// cancel ends an attempt: its connection closes.
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

// vmModel is one VM.
type vmModel struct {
	w       *world
	servers map[*upstreamModel]*view
	works   map[string]*forecast.Work
	budgets []repeat.Bucket
}

// view is what a VM knows of one upstream.
type view struct {
	forecast.Server
	flying []time.Duration
}

func (v *view) flight(now time.Duration) forecast.Flight {
	f := forecast.Flight{Count: len(v.flying), Slots: slots}
	for _, at := range v.flying {
		f.Oldest = max(f.Oldest, now-at)
	}
	return f
}

func (v *view) land(at time.Duration) {
	for i, x := range v.flying {
		if x == at {
			v.flying = append(v.flying[:i], v.flying[i+1:]...)
			return
		}
	}
}

var fleetLimits = repeat.Limits{Ratio: 0.2, Slack: 129, Window: 10 * time.Second}

func newWorld(seed uint64, vms, shards int, slow, sheds func(shard, replica int, now time.Duration) float64) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), tally: map[string]*tally{}}
	for s := range shards {
		var us []*upstreamModel
		for r := range 2 {
			us = append(us, &upstreamModel{
				w:     w,
				slow:  func(now time.Duration) float64 { return slow(s, r, now) },
				sheds: func(now time.Duration) float64 { return sheds(s, r, now) },
				phase: time.Duration(w.rng.Int64N(int64(pauseEvery))),
			})
		}
		w.shards = append(w.shards, us)
	}
	for range vms {
		v := &vmModel{
			w: w, servers: map[*upstreamModel]*view{}, works: map[string]*forecast.Work{},
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

// load lets searches of a kind come from from until until.
func (w *world) load(k kind, from, until time.Duration) {
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

// work draws the work of one part: lognormal with a spread of 0.35 and a rare tail.
func (w *world) work(k kind) time.Duration {
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
	vm     *vmModel
	k      kind
	begun  time.Duration
	parts  int
	open   int
	need   int
	total  int
	flying []*attemptModel
	over   bool
	shards []*shardModel
}

type shardModel struct {
	n       int
	tried   []*upstreamModel
	ran     []*upstreamModel // those that did not refuse
	flying  int
	covered bool
}

func (v *vmModel) work(k kind) *forecast.Work {
	if v.works[k.name] == nil {
		v.works[k.name] = &forecast.Work{}
	}
	return v.works[k.name]
}

// mostSends is the most attempts of one shard, refused ones included.
const mostSends = 4

// pick chooses an upstream of a shard as the client does.
func (v *vmModel) pick(k kind, sh *shardModel) (*upstreamModel, time.Duration) {
	var us []*upstreamModel
	var costs []time.Duration
	for _, u := range v.w.shards[sh.n] {
		if slices.Contains(sh.ran, u) || len(sh.tried) > 0 && sh.tried[len(sh.tried)-1] == u {
			continue
		}
		us = append(us, u)
		costs = append(costs, v.servers[u].Cost(v.w.now, v.work(k).Usual(v.w.now), v.servers[u].flight(v.w.now)))
	}
	if len(us) == 0 || len(sh.tried) >= mostSends {
		return nil, plan.Never
	}
	i := plan.Choose(costs, v.w.rng.Float64)
	return us[i], costs[i]
}

func (v *vmModel) search(k kind) {
	s := &searchModel{vm: v, k: k, begun: v.w.now, total: len(v.w.shards)}
	s.need = int(math.Ceil(k.least*float64(s.total) - 1e-9))
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
		Expected: make([]time.Duration, s.total), Need: s.need,
		Left: s.answerAt() - now, Most: s.begun + s.k.giveUp - now,
	}
	picks := make([]*upstreamModel, s.total)
	s.shards = make([]*shardModel, s.total)
	for i := range s.total {
		s.shards[i] = &shardModel{n: i}
		v.budgets[i].Earn(now, fleetLimits, len(v.w.vms))
		picks[i], ps.Expected[i] = v.pick(s.k, s.shards[i])
	}
	verdict := plan.Decide(ps)
	if verdict.Refuse {
		s.end(func(t *tally) { t.refused++ })
		return
	}
	for i, ask := range verdict.Ask {
		if ask {
			s.send(s.shards[i], picks[i])
		}
	}
	v.w.at(now+time.Duration(float64(s.k.objective)*hedgeShare), s.hedge)
	v.w.at(s.answerAt(), s.decide)
	v.w.at(s.begun+s.k.giveUp, func() { s.end(func(t *tally) { t.failed++ }) })
}

const hedgeShare = 0.4

func (s *searchModel) answerAt() time.Duration {
	return s.begun + time.Duration(float64(s.k.objective)*0.95) - 8*ms
}

func (s *searchModel) send(sh *shardModel, u *upstreamModel) {
	v := s.vm
	w := v.w
	at := w.now
	view := v.servers[u]
	usual := v.work(s.k).Usual(v.w.now)
	sh.tried = append(sh.tried, u)
	sh.ran = append(sh.ran, u)
	sh.flying++
	s.open++
	view.flying = append(view.flying, at)
	a := &attemptModel{to: u, work: w.work(s.k)}
	s.flying = append(s.flying, a)
	a.done = func(ok bool, l forecast.Load) {
		i := slices.Index(s.flying, a)
		if i < 0 {
			return
		}
		s.flying = slices.Delete(s.flying, i, i+1)
		view.land(at)
		sh.flying--
		if !ok {
			sh.ran = slices.DeleteFunc(sh.ran, func(x *upstreamModel) bool { return x == u })
			view.Refused(w.now)
		} else {
			if !l.Queued() {
				v.work(s.k).Observe(w.now, w.now-at)
			}
			view.Replied(w.now, w.now-at, usual, l)
		}
		s.landed(sh, ok)
	}
	w.at(w.now+oneWay, func() { u.arrive(a) })
}

func (s *searchModel) landed(sh *shardModel, ok bool) {
	s.open--
	if ok && !sh.covered {
		sh.covered = true
		s.parts++
	}
	if !ok && !sh.covered && sh.flying == 0 {
		s.repeat(sh, false)
		s.revive()
	}
	s.decide()
}

// repeat sends a shard's request to the other upstream, if the budget allows.
func (s *searchModel) repeat(sh *shardModel, hedge bool) {
	u, expected := s.vm.pick(s.k, sh)
	if u == nil || !plan.WorthRepeat(expected, s.answerAt()-s.vm.w.now, s.parts+s.live(), s.need) {
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

// revive asks a shard that was left out, where the answer depends on it.
func (s *searchModel) revive() {
	for s.parts+s.live() < s.need {
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
	if s.over {
		return
	}
	for _, sh := range s.shards {
		if !sh.covered && sh.flying == 1 && len(sh.tried) == 1 {
			s.repeat(sh, true)
		}
	}
}

func (s *searchModel) live() (n int) {
	for _, sh := range s.shards {
		if !sh.covered && sh.flying > 0 {
			n++
		}
	}
	return n
}

func (s *searchModel) decide() {
	if s.over {
		return
	}
	live := s.live()
	timeUp := s.vm.w.now >= s.answerAt()
	switch {
	case s.parts == s.total || s.parts >= s.need && (timeUp || live == 0):
		share := float64(s.parts) / float64(s.total)
		if s.vm.w.now+2*ms <= s.begun+s.k.objective {
			s.end(func(t *tally) { t.inTime++; t.credit += share * share })
		} else {
			s.end(func(t *tally) { t.late++; t.credit += s.k.lateCredit * share * share })
		}
	case s.parts+live < s.need:
		s.end(func(t *tally) { t.failed++ })
	}
}

func (s *searchModel) end(count func(*tally)) {
	if s.over {
		return
	}
	s.over = true
	count(s.tally())
	now := s.vm.w.now
	for _, a := range s.flying {
		view := s.vm.servers[a.to]
		for _, at := range view.flying {
			if at >= s.begun && at <= now {
				view.Unanswered(now, now-at, s.vm.work(s.k).Usual(now))
				view.land(at)
				break
			}
		}
		a.cancel()
	}
	s.flying = nil
}
