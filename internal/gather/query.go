package gather

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/internal/policy/coverage"
	"github.com/sardinespindle/sardinespindle/internal/policy/snapshot"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
)

const (
	// reserveShare and maxReserve bound the time kept back to write the answer.
	reserveShare = 20 // a 1/20 of the time given
	maxReserve   = 5 * time.Millisecond
	// defaultLimit is the number of documents of a search that names none.
	defaultLimit = 10
)

// query is one search in progress. Only its own goroutine touches it, but for
// its events.
type query struct {
	e        *Engine
	s        Search
	workload string
	ctx      context.Context
	cancel   context.CancelFunc
	begun    time.Time
	answerBy time.Time
	body     []byte

	target    snapshot.ID // the snapshot wanted
	hasTarget bool
	pmap      *manifest.PartitionMap // the target's
	shards    map[string]*shard
	plan      []*shard // the shards of pmap
	merge     coverage.Merge
	counts    [classes]int // shards of the plan by class

	events  chan event
	reports chan report
	// reporting counts reports of losses under way.
	reporting int
	denied    bool // the fleet did not permit a retry

	timer    *time.Timer
	wake     time.Time
	judged   bool    // the open shards were judged by their siblings
	fill     float64 // of the hedges' bucket, when last seen
	inflight int
	dropped  int // of those in flight, cancelled already
	attempts int
	ran      bool // an attempt may have run
	replied  bool // a reply of a snapshot arrived
	cost     outcome.Cost
	losses   int
	lossTry  int           // retries since the first loss
	after    time.Duration // longest Retry-After that an upstream asked for
}

// class says where a shard of the plan stands.
type class int

const (
	open    class = iota // an attempt is in flight or due
	covered              // its part of the target is there
	dead                 // nothing more will come
	classes
)

// shard is one shard in one search.
type shard struct {
	name     string
	class    class
	planned  bool
	replicas []string
	tried    []string // replicas that got an attempt
	barred   []string // replicas not to be tried again
	flying   []*attempt
	started  time.Time
	quantile time.Duration // a high quantile of its latency; 0 where not known
	hedgeAt  time.Time     // zero where no hedge is due
	hedgedAt time.Time     // when the hedge was sent or given up
	pickAt   time.Time     // zero where no pick is due
	picks    int
	hedged   bool // a hedge was sent, or will not be
	asking   bool // its retry waits for permission
	given    bool // given up: nothing more is sent
	retries  int
	reasks   int

	hedgeTries int
}

// attempt is one sub-request in flight.
type attempt struct {
	id      string
	address string
	want    *snapshot.ID
	hedge   bool
	dropped bool // cancelled, for its shard is covered
	cancel  context.CancelFunc
}

type event struct {
	shard   *shard
	attempt *attempt
	result  upstream.Result
}

func (e *Engine) newQuery(ctx context.Context, s Search) (*query, error) {
	if s.Query.Limit <= 0 {
		s.Query.Limit = defaultLimit
	}
	body, err := json.Marshal(s.Query)
	if err != nil {
		return nil, fmt.Errorf("encode query: %w", err)
	}
	now := time.Now()
	left := s.Deadline.Sub(now)
	q := &query{
		e: e, s: s, workload: string(s.Workload.Name), body: body, begun: now,
		answerBy: s.Deadline.Add(-min(maxReserve, left/reserveShare)),
	}
	q.ctx, q.cancel = context.WithCancel(ctx)
	q.choose()
	q.shards = make(map[string]*shard, len(q.pmap.Shards))
	q.reports = make(chan report, maxReports)
	q.events = make(chan event, len(q.pmap.Shards))
	q.setPlan()
	q.timer = time.NewTimer(left)
	return q, nil
}

// close cancels what is in flight and counts.
func (q *query) close() {
	q.cancel()
	q.timer.Stop()
	m := q.e.metrics
	if q.attempts > 0 {
		m.count(q.workload, kindNeeded, len(q.plan))
	}
	m.count(q.workload, kindCancelled, q.inflight-q.dropped)
}

// run runs the search and adds what it cost.
func (q *query) run() outcome.Outcome {
	out := q.loop()
	q.awaitReports()
	q.cost.Sent += q.inflight
	out.Cost = q.cost
	return out
}

func (q *query) loop() outcome.Outcome {
	q.launchAll()
	if q.inflight == 0 {
		return q.nothingSent()
	}
	for {
		if out, done := q.decide(); done {
			return out
		}
		q.arm()
		select {
		case ev := <-q.events:
			q.handle(ev)
		case r := <-q.reports:
			q.reported(r)
		case <-q.timer.C:
			q.wake = time.Time{}
			q.fire(time.Now())
		case <-q.ctx.Done():
			return q.unfinished(outcome.Canceled, "caller went away")
		}
	}
}

// setPlan makes the shards of the target's partition map the plan.
func (q *query) setPlan() {
	for _, sh := range q.plan {
		sh.planned = false
	}
	q.plan = q.plan[:0]
	q.counts = [classes]int{}
	for i := range q.pmap.Shards {
		sh := q.shard(string(q.pmap.Shards[i].Name))
		sh.planned = true
		q.plan = append(q.plan, sh)
		sh.class = q.classify(sh)
		q.counts[sh.class]++
	}
}

func (q *query) shard(name string) *shard {
	sh, ok := q.shards[name]
	if !ok {
		sh = &shard{name: name}
		for _, u := range q.s.Workload.Replicas[name] {
			sh.replicas = append(sh.replicas, u.Address)
		}
		q.shards[name] = sh
	}
	return sh
}

func (q *query) classify(sh *shard) class {
	switch {
	case q.merge.Has(q.target, sh.name):
		return covered
	case len(sh.flying) > 0 || sh.asking || !sh.pickAt.IsZero():
		return open
	default:
		return dead
	}
}

// touch brings the counts up to date after a change of sh.
func (q *query) touch(sh *shard) {
	if !sh.planned {
		return
	}
	q.counts[sh.class]--
	sh.class = q.classify(sh)
	q.counts[sh.class]++
}

// arm sets the timer for the next thing that is due.
func (q *query) arm() {
	next := q.answerBy
	if !q.wake.IsZero() && q.wake.Before(next) {
		next = q.wake
	}
	q.timer.Reset(time.Until(next))
}

// wakeAt makes sure that fire runs at t at the latest.
func (q *query) wakeAt(t time.Time) {
	if q.wake.IsZero() || t.Before(q.wake) {
		q.wake = t
	}
}
