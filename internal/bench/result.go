package bench

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/standin"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
)

// cdfPoints is the number of points of a latency distribution.
const cdfPoints = 200

// resultFile is the name of the file with an experiment's results.
const resultFile = "result.json"

// Result is what an experiment measured under one policy.
type Result struct {
	Experiment string   `json:"experiment"`
	Deployment string   `json:"deployment"`
	Policy     string   `json:"policy"`
	Disable    []string `json:"disable"`
	Seed       uint64   `json:"seed"`
	VMs        int      `json:"vms"`
	Seconds    float64  `json:"seconds"`
	// Attempts, in total and by outcome; NoReply counts those without a valid reply.
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	NotRun   int `json:"not_run"`
	Unknown  int `json:"unknown"`
	Rejected int `json:"rejected"`
	NoReply  int `json:"no_reply"`
	// Keys counts the non-idempotent requests without their resends; KeysAnswered those with
	// an answer to any attempt.
	Keys         int `json:"keys"`
	KeysAnswered int `json:"keys_answered"`
	// Unsent counts the requests dropped because the bench had maxOutstanding others
	// under way.
	Unsent int `json:"unsent"`
	// Latencies of answered attempts, from the time due.
	P50Ms        float64 `json:"p50_ms"`
	P99Ms        float64 `json:"p99_ms"`
	P999Ms       float64 `json:"p999_ms"`
	CoverageMean float64 `json:"coverage_mean"`
	// ExtraLoad is the sub-requests that upstreams received, divided by those needed;
	// 1 means none extra.
	ExtraLoad float64 `json:"extra_load"`
	// Goodput is the attempts answered in time per second.
	Goodput float64 `json:"goodput"`
	// Timeline is the goodput and Offered the attempts due, in each second of the load.
	Timeline   []float64             `json:"timeline"`
	Offered    []float64             `json:"offered"`
	Violations int                   `json:"violations"`
	Breakdown  map[ViolationKind]int `json:"breakdown"`
	Examples   []string              `json:"examples"`
	Reasons    map[string]int        `json:"reasons"`
	// PlatformReads is the most reads in one second, by all VMs together.
	PlatformReads int            `json:"platform_reads"`
	VM            Usage          `json:"vm"`
	Upstreams     standin.Counts `json:"upstreams"`
	Groups        []Group        `json:"groups"`
}

// Group holds the measurements of one caller's requests to one workload.
type Group struct {
	Workload     string  `json:"workload"`
	Caller       string  `json:"caller"`
	Requests     int     `json:"requests"`
	Answered     int     `json:"answered"`
	P50Ms        float64 `json:"p50_ms"`
	P99Ms        float64 `json:"p99_ms"`
	P999Ms       float64 `json:"p999_ms"`
	CoverageMean float64 `json:"coverage_mean"`
	// CDFMs are latencies at cdfPoints equal steps of the distribution.
	CDFMs []float64 `json:"cdf_ms"`
}

// measurements are what a result is computed from.
type measurements struct {
	attempts []Attempt
	dropped  int
	counts   standin.Counts
	verdict  *Verdict
	elapsed  time.Duration
	rounds   int
	reads    int
	usage    Usage
	shards   map[string]int
}

// merge adds another round. The usage stays that of the first round.
func (m *measurements) merge(o *measurements) {
	m.attempts = append(m.attempts, o.attempts...)
	m.dropped += o.dropped
	m.elapsed += o.elapsed
	m.rounds += o.rounds
	m.reads = max(m.reads, o.reads)
	a, b := &m.counts, o.counts
	a.Received += b.Received
	a.Searches += b.Searches
	a.Ran += b.Ran
	a.Shed += b.Shed
	a.Canceled += b.Canceled
	a.Probes += b.Probes
	a.Connections += b.Connections
	a.ConnectionsRefused += b.ConnectionsRefused
	a.WorkAfterDrain += b.WorkAfterDrain
	a.Crashes += b.Crashes
	for k, n := range o.verdict.Violations {
		m.verdict.Violations[k] += n
	}
	m.verdict.Examples = append(m.verdict.Examples, o.verdict.Examples...)
}

// tally collects latencies and coverage.
type tally struct {
	requests  int
	latencies []float64
	coverage  []float64
}

func (t *tally) add(s *Attempt) {
	t.requests++
	if !isAnswered(s) {
		return
	}
	t.latencies = append(t.latencies, float64(s.End.Sub(s.Due).Microseconds())/1000)
	if c := s.Reply.Coverage; c != nil && c.ShardsTotal > 0 {
		t.coverage = append(t.coverage, float64(c.ShardsCovered)/float64(c.ShardsTotal))
	}
}

func isAnswered(s *Attempt) bool {
	return s.Reply != nil && s.Reply.Outcome == caller.OutcomeAnswered
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

func mean(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	return sum / float64(len(v))
}

func (t *tally) group(workload, callerName string) Group {
	slices.Sort(t.latencies)
	g := Group{
		Workload: workload, Caller: callerName,
		Requests: t.requests, Answered: len(t.latencies),
		P50Ms: quantile(t.latencies, 0.5), P99Ms: quantile(t.latencies, 0.99), P999Ms: quantile(t.latencies, 0.999),
		CoverageMean: mean(t.coverage),
	}
	for i := range cdfPoints {
		if len(t.latencies) > 0 {
			g.CDFMs = append(g.CDFMs, quantile(t.latencies, (float64(i)+0.5)/cdfPoints))
		}
	}
	return g
}

// result computes the result under one policy.
func (m *measurements) result(o RunOptions, policy string) *Result {
	r := &Result{
		Experiment: o.Experiment, Deployment: o.Deployment, Policy: policy, Disable: o.Disable,
		Seed: o.Seed, VMs: o.VMs, Seconds: m.elapsed.Seconds(),
		Requests: len(m.attempts), Unsent: m.dropped, PlatformReads: m.reads, Upstreams: m.counts, VM: m.usage,
		Violations: m.verdict.Total(), Breakdown: m.verdict.Violations, Examples: m.verdict.Examples,
		Reasons: map[string]int{},
	}
	all := &tally{}
	groups := map[string]*tally{}
	keys := map[string]bool{}
	needed, inTime := 0, 0
	for i := range m.attempts {
		s := &m.attempts[i]
		r.count(s)
		if s.Request.Key != "" {
			keys[s.Request.Key] = keys[s.Request.Key] || isAnswered(s)
		}
		all.add(s)
		k := s.Request.Workload + "/" + s.Request.Caller
		if groups[k] == nil {
			groups[k] = &tally{}
		}
		groups[k].add(s)
		needed += m.needed(s)
		if isAnswered(s) && s.End.Sub(s.Due) <= s.Request.Deadline+deadlineSlack {
			inTime++
			r.Timeline = addToSecond(r.Timeline, s.Offset, m.rounds)
		}
		r.Offered = addToSecond(r.Offered, s.Offset, m.rounds)
	}
	r.Keys = len(keys)
	for _, ok := range keys {
		if ok {
			r.KeysAnswered++
		}
	}
	g := all.group("", "")
	r.P50Ms, r.P99Ms, r.P999Ms, r.CoverageMean = g.P50Ms, g.P99Ms, g.P999Ms, g.CoverageMean
	if needed > 0 {
		r.ExtraLoad = float64(m.counts.Searches) / float64(needed)
	}
	r.Goodput = float64(inTime) / m.elapsed.Seconds()
	for _, k := range slices.Sorted(maps.Keys(groups)) {
		w, callerName := filepath.Split(k)
		r.Groups = append(r.Groups, groups[k].group(filepath.Clean(w), callerName))
	}
	return r
}

// addToSecond counts one event in its second. It adds 1/rounds, so that line holds the mean
// over the rounds.
func addToSecond(line []float64, at time.Duration, rounds int) []float64 {
	sec := int(at / time.Second)
	for len(line) <= sec {
		line = append(line, 0)
	}
	line[sec] += 1 / float64(max(1, rounds))
	return line
}

// needed returns the fewest sub-requests that an attempt can need.
func (m *measurements) needed(s *Attempt) int {
	if !s.Request.Sharded || s.Refused {
		return 0
	}
	if s.Reply != nil && (s.Reply.Outcome == caller.OutcomeNotRun || s.Reply.Outcome == caller.OutcomeRejected) {
		return 0
	}
	if s.Reply != nil && s.Reply.Coverage != nil {
		return s.Reply.Coverage.ShardsTotal
	}
	return m.shards[s.Request.Workload]
}

func (r *Result) count(s *Attempt) {
	if s.Reply == nil {
		r.NoReply++
		return
	}
	switch s.Reply.Outcome {
	case caller.OutcomeAnswered:
		r.Answered++
	case caller.OutcomeNotRun:
		r.NotRun++
	case caller.OutcomeUnknown:
		r.Unknown++
	case caller.OutcomeRejected:
		r.Rejected++
	}
	if s.Reply.Reason != "" {
		r.Reasons[string(s.Reply.Outcome)+"/"+s.Reply.Reason]++
	}
}

// writeResults writes the results and their plots into dir.
func writeResults(dir string, results []*Result) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return fmt.Errorf("results: %w", err)
	}
	body, err := json.MarshalIndent(results, "", " ")
	if err != nil {
		return fmt.Errorf("results: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, resultFile), append(body, '\n'), fileMode); err != nil {
		return fmt.Errorf("results: %w", err)
	}
	return plotAll(dir, results)
}
