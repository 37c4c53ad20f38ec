package gather

import (
	"context"
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sardinespindle/sardinespindle/internal/mechanism"
	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/internal/poison"
	"github.com/sardinespindle/sardinespindle/internal/policy/coverage"
	"github.com/sardinespindle/sardinespindle/internal/policy/hedge"
	"github.com/sardinespindle/sardinespindle/internal/policy/retry"
	"github.com/sardinespindle/sardinespindle/internal/policy/snapshot"
	"github.com/sardinespindle/sardinespindle/internal/sharded"
	"github.com/sardinespindle/sardinespindle/schema/gen/settings"
)

const (
	maxWorkloads = 4096
	maxShards    = 32_768
	maxLosses    = 4096
	// crashWindow groups losses: a crash closes all connections of an upstream at once. So
	// losses of one fingerprint at one upstream count as one crash if each follows the one
	// before within this time.
	crashWindow = 100 * time.Millisecond
	// An idle upstream replies within the time of a search divided by slowDivisor.
	slowDivisor = 4
)

// Options configure an Engine.
type Options struct {
	Upstream   Upstream
	Poison     Poison // may be nil
	Mechanisms mechanism.Set
	Log        *log.Logger           // may be nil
	Registerer prometheus.Registerer // may be nil
}

// Engine runs searches. It is safe for concurrent use.
type Engine struct {
	client     Upstream
	poison     Poison
	log        *log.Logger
	start      time.Time
	enabled    mechanisms
	metrics    *metrics
	workloads  *sharded.Map[string, workloadState]
	shards     *sharded.Map[shardKey, shardState]
	lastLosses *sharded.Map[lossKey, time.Duration] // time of the last loss
}

// mechanisms says which mechanisms are on, and whether the baseline policy is in force.
type mechanisms struct {
	baseline, snapshot, coverage, echo, poison bool
}

// workloadState is what the searches of one workload share.
type workloadState struct {
	retry  retry.Bucket
	reask  retry.Bucket
	hedge  hedge.Bucket
	cursor int // rotates the shard that is asked for its newest snapshot

	choice   choice
	counters *counters
}

// earn credits good replies to the budgets of retries and re-asks.
func (w *workloadState) earn(replies int) {
	w.retry.Earn(retry.RetryBudget, replies)
	w.reask.Earn(retry.ReaskBudget, replies)
}

type shardKey struct{ workload, shard string }

type lossKey struct{ fingerprint, address string }

// shardState is what earlier replies showed of one shard.
type shardState struct {
	snapshots snapshot.Shard
	counts    coverage.ShardCounts
}

// New returns an Engine.
func New(o Options) *Engine {
	logger := o.Log
	if logger == nil {
		logger = log.New(io.Discard)
	}
	m := o.Mechanisms
	return &Engine{
		client:  o.Upstream,
		poison:  o.Poison,
		log:     logger,
		start:   time.Now(),
		metrics: newMetrics(o.Registerer),
		enabled: mechanisms{
			baseline: m.Baseline(),
			snapshot: m.On(settings.ExperimentDisableElemSnapshot),
			coverage: m.On(settings.ExperimentDisableElemCoverage),
			echo:     m.On(settings.ExperimentDisableElemEcho),
			poison:   m.On(settings.ExperimentDisableElemPoison) && o.Poison != nil,
		},
		workloads:  sharded.New[string, workloadState](maxWorkloads),
		shards:     sharded.New[shardKey, shardState](maxShards),
		lastLosses: sharded.New[lossKey, time.Duration](maxLosses),
	}
}

// Search runs one search and returns its outcome by the deadline. Before it returns, it
// cancels the attempts still in flight.
func (e *Engine) Search(ctx context.Context, s Search) outcome.Outcome {
	if s.Workload.NewestMap == nil || len(s.Workload.NewestMap.Shards) == 0 {
		return outcome.NotRun(outcome.CoverageUnknown, "workload has no partition map", 0)
	}
	if !time.Now().Before(s.Deadline) {
		return outcome.NotRun(outcome.DeadlineExceeded, "the deadline passed before anything was sent", 0)
	}
	if e.enabled.poison {
		a := e.poison.Admit(poison.Request{Fingerprint: s.Fingerprint, ID: s.ID, Slow: time.Until(s.Deadline) / slowDivisor})
		if a.Refused {
			return crashSuspected()
		}
		defer a.Run.End(ctx)
		s.Trial, s.Watcher = a.Trial, a.Run
	}
	q, err := e.newQuery(ctx, s)
	if err != nil {
		return outcome.Rejected(outcome.BadRequest, err.Error())
	}
	defer q.close()
	return q.run()
}

// firstLoss records a loss and reports whether it is the first that this VM sees
// of a crash.
func (e *Engine) firstLoss(fingerprint, address string) bool {
	now, first := e.now(), false
	e.lastLosses.Update(lossKey{fingerprint, address}, func(last *time.Duration) {
		first = *last == 0 || now-*last >= crashWindow
		*last = now
	})
	return first
}

// now returns the time since the engine started, which is the clock of the policies.
func (e *Engine) now() time.Duration { return time.Since(e.start) }
