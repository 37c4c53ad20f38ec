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
	"github.com/sardinespindle/sardinespindle/internal/policy/takeover"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
)

const (
	// The time reserved to write the answer is 1/reserveDivisor of the time left at the
	// start of a search, but no more than maxReserve.
	reserveDivisor = 20
	maxReserve     = 5 * time.Millisecond
	// defaultLimit is the number of documents returned where the query sets no limit.
	defaultLimit = 10
	// The events channel has capacity for one attempt per shard, and for repeats of one
	// in extraEventsDivisor shards.
	extraEventsDivisor = 4
)

// query is one search in progress. Only the goroutine that runs the search uses its
// mutable fields; the goroutines of attempts and loss reports send on its channels.
type query struct {
	e        *Engine
	s        Search
	workload string
	ctx      context.Context
	cancel   context.CancelFunc
	start    time.Time
	answerBy time.Time
	body     []byte

	counters *counters
	sampled  bool // the search is traced
	cursor   int  // selects the shard that is asked for its newest snapshot

	target    snapshot.ID // the snapshot to complete; finish may answer with another
	hasTarget bool
	pin       *snapshot.ID           // points to the target; nil before there is one
	pmap      *manifest.PartitionMap // the target's partition map, or the newest without a target
	shards    map[string]*shard
	shardBuf  []shard  // backing for the plan; it never grows, because pointers to its elements are kept
	plan      []*shard // the shards of pmap
	merge     coverage.Merge
	counts    [statusCount]int // shards of the plan by status

	events         chan *attempt // ended attempts
	reports        chan lossReport
	pendingReports int  // goroutines that report a loss or wait for a permit
	retryDenied    bool // the fleet did not permit a retry

	timer             *time.Timer
	wake              time.Time // when runDue must run; zero if nothing is scheduled
	hedgesRescheduled bool      // rescheduleHedges has run
	hedgeFill         float64   // fill of the hedge bucket when last read
	inflight          int
	cancelledInflight int // attempts in flight that are cancelled already
	attempts          int
	finishRequested   bool             // PassThrough.Finish was closed
	dueReported       bool             // PassThrough.OnDue was due
	ledger            *takeover.Ledger // of a pass-through search
	confirmed         *confirmations   // of the ledger's announcements
	mayHaveRun        bool             // an attempt that has ended may have run
	replied           bool             // a good reply arrived
	goodReplies       int
	unknownMapReplies int // replies of an unknown partition map while no part of the target had arrived
	crashedAttempts   int // pass-through attempts during which the upstream crashed
	deferred          int // shards deferred by deferReask
	cost              outcome.Cost
	losses            int
	lossRetries       int  // retries since the first loss
	unreachable       bool // this VM reaches no upstream
	trial             trial
	waitSeen          bool          // a replica of a pass-through search wants a pause, or is at its limit
	maxRetryAfter     time.Duration // longest wait that an upstream asked for or plan.Decide estimates
}

// shardStatus is the progress of one shard towards the target.
type shardStatus int

const (
	open    shardStatus = iota // an attempt is in flight or scheduled, or waits for a decision
	covered                    // its part of the target has arrived
	idle                       // no part has arrived, and nothing is in flight or scheduled
	statusCount
)

// shard is the state of one shard in one search.
type shard struct {
	name            string
	workload        *manifest.Workload // the workload whose upstreams serve the shard
	key             string             // the shard's name within workload; empty for a pass-through search
	status          shardStatus
	planned         bool // it belongs to the plan
	replicas        int
	tried           []string // replicas to which an attempt was sent
	blocked         []string // replicas that get no further attempt
	inflight        []*attempt
	started         time.Time
	quantile        time.Duration // a high quantile of its latency; 0 if not known
	hedgeAt         time.Time     // when a hedge is due; zero if none is
	hedgedAt        time.Time     // when a hedge was last sent, or found no replica
	pickAt          time.Time     // when the next pick is due; zero if none is
	failedPicks     int           // in a row
	hedged          bool          // a hedge was sent or is no longer tried
	awaitingPermit  bool          // its retry waits until the fleet permits it
	deferred        bool          // its re-ask waits for resumeDeferred
	awaitsTrial     bool          // it is asked once the shard on trial has replied
	gaveUp          bool          // no further attempt is sent, except by askLeftOut
	retries         int
	reasks          int
	missingCause    string     // why a pass-through search has no part of the shard
	index           int        // in the plan
	announced       *announced // pass-through attempt that waits to be sent; nil for none
	notRunBy        string     // the last replica that did not run a pass-through attempt
	repeatDenied    string     // why the last repeat of a pass-through attempt was not sent, see pickRepeat
	reachedAttempts int        // ended attempts that may have reached a replica

	failedHedgePicks int // hedges that found no replica

	// Backing for the usual number of attempts, without an allocation.
	firstAttempt attempt
	triedBuf     [2]string
	inflightBuf  [2]*attempt
}

// attempt is one request to one upstream.
type attempt struct {
	id        string
	address   string
	pin       *snapshot.ID // the snapshot asked for; nil for the newest
	hedge     bool
	cancelled bool // because its shard is covered
	cancel    context.CancelFunc
	shard     *shard
	result    upstream.Result // set before the attempt is sent on events
}

func (e *Engine) newQuery(ctx context.Context, s Search) (*query, error) {
	body, err := encodeQuery(&s)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	remaining := s.Deadline.Sub(now)
	q := &query{e: e, s: s, workload: string(s.Workload.Name), body: body, start: now, answerBy: lastDecision(s, remaining)}
	q.ctx, q.cancel = context.WithCancel(ctx)
	q.sampled = trace.SpanContextFromContext(ctx).IsSampled()
	q.loadState()
	n := len(q.pmap.Shards)
	q.shards = make(map[string]*shard, n)
	q.shardBuf = make([]shard, 0, n)
	q.plan = make([]*shard, 0, n)
	q.reports = make(chan lossReport, maxReports)
	q.events = make(chan *attempt, n+n/extraEventsDivisor+1)
	if s.PassThrough != nil && s.PassThrough.Announce != nil {
		q.confirmed = &confirmations{wake: make(chan struct{}, 1)}
	}
	q.setPlan()
	q.timer = time.NewTimer(remaining)
	return q, nil
}

// lastDecision returns when a search ends at the latest: at GiveUpAt for a pass-through one,
// else early enough to write the answer by the deadline.
func lastDecision(s Search, remaining time.Duration) time.Time {
	if s.PassThrough != nil {
		return s.PassThrough.GiveUpAt
	}
	return s.Deadline.Add(-min(maxReserve, remaining/reserveDivisor))
}

// encodeQuery returns the body of the sub-requests; it sets a missing limit in s.
func encodeQuery(s *Search) ([]byte, error) {
	if s.PassThrough != nil {
		return s.PassThrough.Request.Body, nil
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

// close cancels the attempts in flight, updates the counters and credits the budgets.
func (q *query) close() {
	q.cancel()
	q.timer.Stop()
	if q.attempts > 0 {
		q.counters.needed.Add(float64(len(q.plan)))
	}
	q.counters.cancelled.Add(float64(q.inflight - q.cancelledInflight))
	q.e.workloads.Update(q.workload, func(w *workloadState) { w.earn(q.goodReplies) })
}

// run runs the search, waits for its loss reports and fills in its cost.
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
	case q.counts[open] == 0 && q.s.PassThrough != nil:
		return q.failPassThrough()
	case q.inflight == 0 && q.s.PassThrough == nil:
		return q.notRun()
	}
	var finish <-chan struct{}
	if q.s.PassThrough != nil {
		finish = q.s.PassThrough.Finish
	}
	var confirmed <-chan struct{}
	if q.confirmed != nil {
		confirmed = q.confirmed.wake
	}
	for {
		if q.ledger != nil {
			q.reportAnnounced()
		}
		if out, done := q.decide(); done {
			return out
		}
		q.resetTimer()
		select {
		case at := <-q.events:
			q.handle(at)
		case r := <-q.reports:
			q.handleReport(r)
		case <-q.timer.C:
			q.wake = time.Time{}
			q.runDue(time.Now())
		case <-confirmed:
			q.sendConfirmed(time.Now())
		case <-finish:
			q.finishRequested, finish = true, nil
		case <-q.ctx.Done():
			return q.unknown(outcome.Canceled, "caller went away")
		}
	}
}

// setPlan sets the plan to the shards of the target's partition map.
func (q *query) setPlan() {
	for _, sh := range q.plan {
		sh.planned = false
	}
	q.plan = q.plan[:0]
	q.counts = [statusCount]int{}
	for i := range q.pmap.Shards {
		sh := q.shard(string(q.pmap.Shards[i].Name))
		sh.planned = true
		q.plan = append(q.plan, sh)
		sh.status = q.statusOf(sh)
		q.counts[sh.status]++
	}
}

func (q *query) shard(name string) *shard {
	sh, ok := q.shards[name]
	if !ok {
		sh = q.newShard()
		sh.name = name
		q.assignWorkload(sh)
		sh.tried = sh.triedBuf[:0]
		sh.inflight = sh.inflightBuf[:0]
		q.shards[name] = sh
	}
	return sh
}

func (q *query) newShard() *shard {
	n := len(q.shardBuf)
	if n == cap(q.shardBuf) {
		return &shard{}
	}
	q.shardBuf = q.shardBuf[:n+1]
	return &q.shardBuf[n]
}

func (q *query) statusOf(sh *shard) shardStatus {
	switch {
	case q.merge.Has(q.target, sh.name):
		return covered
	case len(sh.inflight) > 0 || sh.announced != nil || sh.awaitingPermit || sh.deferred || sh.awaitsTrial || !sh.pickAt.IsZero():
		return open
	default:
		return idle
	}
}

// updateStatus recomputes the status of sh and the counts after a change of sh.
func (q *query) updateStatus(sh *shard) {
	if !sh.planned {
		return
	}
	q.counts[sh.status]--
	sh.status = q.statusOf(sh)
	q.counts[sh.status]++
}

// resetTimer sets the timer to the next wake-up, or to answerBy if that is earlier.
func (q *query) resetTimer() {
	next := q.answerBy
	if !q.wake.IsZero() && q.wake.Before(next) {
		next = q.wake
	}
	q.timer.Reset(time.Until(next))
}

// wakeAt ensures that runDue runs at t or earlier.
func (q *query) wakeAt(t time.Time) {
	if q.wake.IsZero() || t.Before(q.wake) {
		q.wake = t
	}
}
