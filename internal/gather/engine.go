package gather

import (
	"context"
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sardinespindle/sardinespindle/internal/mechanism"
	"github.com/sardinespindle/sardinespindle/internal/outcome"
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
	maxCrashes   = 4096
	// oneCrash is the time in which losses of like requests at one upstream are one
	// crash, which cuts all its connections at once.
	oneCrash = 100 * time.Millisecond
)

// Options of an Engine.
type Options struct {
	Upstream   Upstream
	Poison     Poison // may be nil
	Mechanisms mechanism.Set
	Log        *log.Logger           // may be nil
	Registerer prometheus.Registerer // may be nil
}

// Engine runs searches. It is safe for use by several goroutines.
type Engine struct {
	up       Upstream
	poison   Poison
	log      *log.Logger
	start    time.Time
	mode     mode
	metrics  *metrics
	budgets  *sharded.Map[string, budget]
	memories *sharded.Map[shardKey, memory]
	crashes  *sharded.Map[reportKey, time.Duration] // last report by fingerprint and upstream
}

// mode says which mechanisms are on.
type mode struct {
	baseline, snapshot, coverage, echo, poison bool
}

// budget is what the searches of one workload share: tokens, the choice of snapshot
// and counters.
type budget struct {
	retry  retry.Bucket
	reask  retry.Bucket
	hedge  hedge.Bucket
	cursor int // next shard asked for its newest snapshot

	choice   choice
	counters *counters
}

// earn pays for good replies.
func (b *budget) earn(replies int) {
	b.retry.Earn(retry.Retries, replies)
	b.reask.Earn(retry.Reasks, replies)
}

type shardKey struct{ workload, shard string }

type reportKey struct{ fingerprint, address string }

// memory is what is known of one shard.
type memory struct {
	seen snapshot.Shard
	held coverage.Holdings
}

// New returns an Engine.
func New(o Options) *Engine {
	logger := o.Log
	if logger == nil {
		logger = log.New(io.Discard)
	}
	m := o.Mechanisms
	return &Engine{
		up:      o.Upstream,
		poison:  o.Poison,
		log:     logger,
		start:   time.Now(),
		metrics: newMetrics(o.Registerer),
		mode: mode{
			baseline: m.Baseline(),
			snapshot: m.On(settings.ExperimentDisableElemSnapshot),
			coverage: m.On(settings.ExperimentDisableElemCoverage),
			echo:     m.On(settings.ExperimentDisableElemEcho),
			poison:   m.On(settings.ExperimentDisableElemPoison) && o.Poison != nil,
		},
		budgets:  sharded.New[string, budget](maxWorkloads),
		memories: sharded.New[shardKey, memory](maxShards),
		crashes:  sharded.New[reportKey, time.Duration](maxCrashes),
	}
}

// Search runs one search and returns its outcome a little before the deadline at
// the latest. Attempts still in flight are cancelled.
func (e *Engine) Search(ctx context.Context, s Search) outcome.Outcome {
	if s.Workload.Newest == nil || len(s.Workload.Newest.Shards) == 0 {
		return outcome.NotRun(outcome.CoverageUnknown, "workload has no partition map", 0)
	}
	if e.refused(s.Fingerprint) {
		return crashSuspected()
	}
	if !time.Now().Before(s.Deadline) {
		return outcome.NotRun(outcome.DeadlineExceeded, "the deadline passed before anything was sent", 0)
	}
	q, err := e.newQuery(ctx, s)
	if err != nil {
		return outcome.Rejected(outcome.BadRequest, err.Error())
	}
	defer q.close()
	return q.run()
}

func (e *Engine) refused(fingerprint string) bool {
	return e.mode.poison && e.poison.Crashes(fingerprint)
}

// firstReport reports whether a loss is the first of its crash that this VM sees.
func (e *Engine) firstReport(fingerprint, address string) bool {
	now, first := e.now(), false
	e.crashes.Do(reportKey{fingerprint, address}, func(last *time.Duration) {
		first = *last == 0 || now-*last >= oneCrash
		*last = now
	})
	return first
}

// now is the time since the engine's start, as the policies take it.
func (e *Engine) now() time.Duration { return time.Since(e.start) }
