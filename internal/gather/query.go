package gather

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/trace"

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
	// eventSlack is the share of shards for whose extra attempts events has room.
	eventSlack = 4
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

	counters *counters
	sampled  bool // the search is traced
	cursor   int  // the shard asked for its newest snapshot

	target    snapshot.ID // the snapshot wanted
	hasTarget bool
	wanted    *snapshot.ID           // the target as attempts carry it, nil for none
	pmap      *manifest.PartitionMap // the target's
	shards    map[string]*shard
	store     []shard  // room for the plan's shards; it never grows
	plan      []*shard // the shards of pmap
	merge     coverage.Merge
	counts    [classes]int // shards of the plan by class

	events  chan *attempt // ended attempts
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
	good     int  // good replies
	pilots   int  // replies of an unknown map, no part being there
	crashed  int  // upstreams that ended while they ran a passed attempt
	parked   int  // shards that wait for a part of a known map
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
	name      string
	workload  *manifest.Workload // whose upstreams serve the shard
	key       string             // the shard's name within workload
	class     class
	planned   bool
	replicas  int
	tried     []string // replicas that got an attempt
	barred    []string // replicas not to be tried again
	flying    []*attempt
	started   time.Time
	quantile  time.Duration // a high quantile of its latency; 0 where not known
	hedgeAt   time.Time     // zero where no hedge is due
	hedgedAt  time.Time     // when the hedge was sent or given up
	pickAt    time.Time     // zero where no pick is due
	picks     int
	hedged    bool // a hedge was sent, or will not be
	asking    bool // its retry waits for permission
	parked    bool // it waits for a part of a known map
	given     bool // given up: nothing more is sent
	retries   int
	reasks    int
	cause     string // why a passed search has no part of it
	refusedBy string // the replica that last refused a passed attempt
	ran       int    // passed attempts that were not refused
	denied    string // why the last repeat of a passed attempt was not sent
	arrived   int    // attempts that have ended and may have reached a replica

	hedgeTries int

	// Room for the usual attempts.
	first     attempt
	triedBuf  [2]string
	flyingBuf [2]*attempt
}

// attempt is one sub-request in flight.
type attempt struct {
	id      string
	address string
	want    *snapshot.ID
	hedge   bool
	dropped bool // cancelled, for its shard is covered
	cancel  context.CancelFunc
	shard   *shard
	result  upstream.Result // set when it has ended
}

func (e *Engine) newQuery(ctx context.Context, s Search) (*query, error) {
	body, err := encodeQuery(&s)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	left := s.Deadline.Sub(now)
	q := &query{
		e: e, s: s, workload: string(s.Workload.Name), body: body, begun: now,
		answerBy: s.Deadline.Add(-min(maxReserve, left/reserveShare)),
	}
	q.ctx, q.cancel = context.WithCancel(ctx)
	q.sampled = trace.SpanContextFromContext(ctx).IsSampled()
	q.open()
	n := len(q.pmap.Shards)
	q.shards = make(map[string]*shard, n)
	q.store = make([]shard, 0, n)
	q.plan = make([]*shard, 0, n)
	q.reports = make(chan report, maxReports)
	q.events = make(chan *attempt, n+n/eventSlack+1)
	q.setPlan()
	q.timer = time.NewTimer(left)
	return q, nil
}

// encodeQuery returns the body of the search's sub-requests.
func encodeQuery(s *Search) ([]byte, error) {
	if s.Pass != nil {
		return s.Pass.Request.Body, nil
	}
	if s.Query.Limit <= 0 {
		s.Query.Limit = defaultLimit
	}
	body, err := json.Marshal(s.Query)
	if err != nil {
		return nil, fmt.Errorf("encode query: %w", err)
	}
	return body, nil
}

// close cancels what is in flight and counts.
func (q *query) close() {
	q.cancel()
	q.timer.Stop()
	if q.attempts > 0 {
		q.counters.needed.Add(float64(len(q.plan)))
	}
	q.counters.cancelled.Add(float64(q.inflight - q.dropped))
	q.e.budgets.Do(q.workload, func(b *budget) { b.earn(q.good) })
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
	switch {
	case q.inflight == 0 && q.s.Pass != nil:
		return q.failPassed()
	case q.inflight == 0:
		return q.nothingSent()
	}
	for {
		if out, done := q.decide(); done {
			return out
		}
		q.arm()
		select {
		case at := <-q.events:
			q.handle(at)
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
		sh = q.newShard()
		sh.name = name
		q.place(sh)
		sh.tried = sh.triedBuf[:0]
		sh.flying = sh.flyingBuf[:0]
		q.shards[name] = sh
	}
	return sh
}

func (q *query) newShard() *shard {
	n := len(q.store)
	if n == cap(q.store) {
		return &shard{}
	}
	q.store = q.store[:n+1]
	return &q.store[n]
}

func (q *query) classify(sh *shard) class {
	switch {
	case q.merge.Has(q.target, sh.name):
		return covered
	case len(sh.flying) > 0 || sh.asking || sh.parked || !sh.pickAt.IsZero():
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
