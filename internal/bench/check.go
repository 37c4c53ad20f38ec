package bench

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/standin"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
	"github.com/sardinespindle/sardinespindle/schema/gen/manifest"
	"github.com/sardinespindle/sardinespindle/schema/gen/upstream"
)

// ViolationKind names a guarantee that was violated.
type ViolationKind string

// Kinds of violations.
const (
	MixedSnapshot    ViolationKind = "mixed_snapshot"
	WrongCoverage    ViolationKind = "wrong_coverage"
	ForeignAnswer    ViolationKind = "foreign_answer"
	NotRunButRan     ViolationKind = "not_run_but_ran"
	AnsweredNotRun   ViolationKind = "answered_but_not_run"
	RanTwice         ViolationKind = "ran_twice"
	AnswersDiffer    ViolationKind = "answers_differ"
	WorkAfterDrain   ViolationKind = "work_after_drain"
	ConnectionLimit  ViolationKind = "connection_limit"
	CutOff           ViolationKind = "cut_off"
	ManifestReverted ViolationKind = "manifest_reverted"
	ManifestLate     ViolationKind = "manifest_late"
	CrashRepeated    ViolationKind = "crash_repeated"
	LateAnswer       ViolationKind = "late_answer"
)

const (
	// deadlineSlack is how long after its deadline an answer may still reach its caller.
	deadlineSlack = 200 * time.Millisecond
	// manifestTimeout is how soon after its commit every VM must have a manifest in force.
	manifestTimeout = 5 * time.Second
	// maxCrashes is how often one request may crash upstreams of one shard until all VMs know of it: crashNotice after
	// its third crash. Later, it may crash up to maxLateCrashes in all, as the users allow.
	maxCrashes     = 2
	crashNotice    = 4 * time.Second
	maxLateCrashes = 3
	// clockSlack covers the time between an event and its time stamp.
	clockSlack = 2 * time.Millisecond
	// maxExamples bounds the violations that a verdict describes.
	maxExamples = 20
)

// Evidence is what Check compares: what callers saw, what upstreams ran, what was done
// to the VMs, and every partition map that was in use.
type Evidence struct {
	Attempts []Attempt
	Log      standin.Log
	Journal  Journal
	Maps     []manifest.PartitionMap
}

// Verdict counts violations and describes some of them.
type Verdict struct {
	Violations map[ViolationKind]int `json:"violations"`
	Examples   []string              `json:"examples"`
}

// Total returns the number of violations.
func (v *Verdict) Total() int {
	n := 0
	for _, k := range v.Violations {
		n += k
	}
	return n
}

func (v *Verdict) add(k ViolationKind, n int, format string, args ...any) {
	if n <= 0 {
		return
	}
	v.Violations[k] += n
	if len(v.Examples) < maxExamples {
		v.Examples = append(v.Examples, string(k)+": "+fmt.Sprintf(format, args...))
	}
}

// checker holds the evidence, indexed for the checks.
type checker struct {
	Evidence
	v             *Verdict
	corpora       map[string]*standin.Corpus
	runsByKey     map[string][]standin.Run
	attemptsByKey map[string][]Attempt
}

// Check counts the violations in the evidence. It shares only the message types with the
// code under test.
func Check(e Evidence) *Verdict {
	c := &checker{
		Evidence:      e,
		v:             &Verdict{Violations: map[ViolationKind]int{}},
		corpora:       map[string]*standin.Corpus{},
		runsByKey:     map[string][]standin.Run{},
		attemptsByKey: map[string][]Attempt{},
	}
	for _, r := range e.Log.Runs {
		c.runsByKey[r.Key] = append(c.runsByKey[r.Key], r)
	}
	for _, s := range e.Attempts {
		if s.Request.Key != "" {
			c.attemptsByKey[s.Request.Key] = append(c.attemptsByKey[s.Request.Key], s)
		}
	}
	for i := range e.Attempts {
		c.checkAttempt(&e.Attempts[i])
	}
	c.checkKeys()
	c.checkAnswers()
	c.checkUpstreams()
	c.checkManifests()
	return c.v
}

// checkAttempt checks what a caller saw of one attempt.
func (c *checker) checkAttempt(s *Attempt) {
	c.checkTiming(s)
	if s.Reply == nil {
		return
	}
	switch {
	case s.Reply.Outcome == caller.OutcomeAnswered && s.Request.Sharded:
		c.checkSearch(s)
	case s.Reply.Outcome == caller.OutcomeAnswered:
		c.checkResult(s)
	case s.Reply.Outcome == caller.OutcomeNotRun && s.Request.Key == "":
		if n := c.Log.Nonces[s.Request.Nonce]; n > 0 && !containsCrash(s.Request) {
			c.v.add(NotRunButRan, 1, "%s of %s, reason %s: %d sub-requests ran", s.Request.Nonce, s.Request.Caller, s.Reply.Reason, n)
		}
	}
}

func (c *checker) checkTiming(s *Attempt) {
	elapsed := s.End.Sub(s.Sent)
	late := elapsed > s.Request.Deadline+deadlineSlack
	if late && (s.Reply != nil || !s.Refused) && !overlapsAny(c.Journal.Pauses[s.VM], s.Sent, s.End) {
		c.v.add(LateAnswer, 1, "%s of %s through %s: %v after a deadline of %v: %v", s.Request.Workload, s.Request.Caller, s.VM, elapsed, s.Request.Deadline, s.Err)
	}
	if s.Err != nil && !s.Refused && !late && overlapsAny(c.Journal.Stops[s.VM], s.Sent, s.End) {
		c.v.add(CutOff, 1, "%s of %s through %s: %v", s.Request.Workload, s.Request.Caller, s.VM, s.Err)
	}
}

var bodySuffixPattern = regexp.MustCompile(`@(\d+)\.(\d+) ` + standin.NonceMark + `(\S*)$`)

// checkSearch checks the answer to a search against the corpus.
func (c *checker) checkSearch(s *Attempt) {
	r := s.Reply
	what := fmt.Sprintf("%s of %s, nonce %s, through %s", s.Request.Workload, s.Request.Caller, s.Request.Nonce, s.VM)
	if r.Snapshot == nil || r.Coverage == nil {
		c.v.add(WrongCoverage, 1, "%s: no snapshot or no coverage", what)
		return
	}
	for _, d := range r.Documents {
		m := bodySuffixPattern.FindStringSubmatch(d.Body)
		if m == nil || m[3] != s.Request.Nonce || !strings.HasPrefix(d.Id, s.Request.Workload) {
			c.v.add(ForeignAnswer, 1, "%s: document %q", what, d.Body)
			return
		}
		if m[1] != strconv.Itoa(r.Snapshot.Index) || m[2] != strconv.Itoa(r.Snapshot.Map) {
			c.v.add(MixedSnapshot, 1, "%s: answer of %d.%d, document of %s.%s", what, r.Snapshot.Index, r.Snapshot.Map, m[1], m[2])
			return
		}
	}
	if problem := c.coverageError(s); problem != "" {
		c.v.add(WrongCoverage, 1, "%s: %s", what, problem)
	}
}

// coverageError describes what is wrong with the coverage or the documents of an answer,
// or returns "".
func (c *checker) coverageError(s *Attempt) string {
	cov := s.Reply.Coverage
	m := c.partitionMap(s.Request.Workload, s.Reply.Snapshot.Map)
	if m == nil {
		return fmt.Sprintf("no partition map %d", s.Reply.Snapshot.Map)
	}
	var ranges []standin.Range
	missing := 0
	for _, sh := range m.Shards {
		if slices.Contains(cov.Missing, string(sh.Name)) {
			missing++
			continue
		}
		ranges = append(ranges, standin.Range{First: uint32(sh.First), Last: uint32(sh.Last)})
	}
	if missing != len(cov.Missing) || cov.ShardsTotal != len(m.Shards) || cov.ShardsCovered != len(m.Shards)-missing {
		return fmt.Sprintf("%d of %d covered, missing %v, map has %d", cov.ShardsCovered, cov.ShardsTotal, cov.Missing, len(m.Shards))
	}
	if cov.Complete != (missing == 0) {
		return fmt.Sprintf("complete is %v with %d missing", cov.Complete, missing)
	}
	q := upstream.Query{Query: s.Request.Query, Limit: s.Request.Limit}
	want := c.corpus(s.Request.Workload).Search(q, upstream.Snapshot{Index: s.Reply.Snapshot.Index, Map: m.Version}, ranges...)
	if cov.DocumentsCovered != want.DocumentsHeld {
		return fmt.Sprintf("%d documents covered, the covered shards hold %d", cov.DocumentsCovered, want.DocumentsHeld)
	}
	if !sameDocuments(s.Reply.Documents, want.Documents) {
		return fmt.Sprintf("documents %v, want %v", ids(s.Reply.Documents), len(want.Documents))
	}
	return ""
}

func (c *checker) corpus(workload string) *standin.Corpus {
	if c.corpora[workload] == nil {
		c.corpora[workload] = standin.NewCorpus(workload)
	}
	return c.corpora[workload]
}

func (c *checker) partitionMap(workload string, version int) *manifest.PartitionMap {
	for i := range c.Maps {
		if string(c.Maps[i].Workload) == workload && c.Maps[i].Version == version {
			return &c.Maps[i]
		}
	}
	return nil
}

func ids(docs []caller.Document) []string {
	var out []string
	for _, d := range docs {
		out = append(out, d.Id)
	}
	return out
}

func sameDocuments(got []caller.Document, want []upstream.Document) bool {
	if len(got) != len(want) {
		return false
	}
	have := map[string]bool{}
	for _, d := range got {
		have[d.Id] = true
	}
	for _, d := range want {
		if !have[d.Id] {
			return false
		}
	}
	return true
}
