package bench

import (
	"encoding/json"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/standin"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
)

// crashWord returns the word that makes a request crash upstreams, or "".
func crashWord(r Request) string {
	_, rest, _ := strings.Cut(r.Query+r.Body, standin.CrashMark)
	return strings.TrimRight(rest, `"} `)
}

// checkResult checks the answer to a request of a single workload.
func (c *checker) checkResult(s *Attempt) {
	if s.Reply.ResultStatus != http.StatusOK {
		return
	}
	var r standin.SingleReply
	if err := json.Unmarshal([]byte(s.Reply.Result), &r); err != nil || r.Nonce != s.Request.Nonce {
		c.v.add(ForeignAnswer, 1, "%s of %s, nonce %s: result %q", s.Request.Workload, s.Request.Caller, s.Request.Nonce, s.Reply.Result)
	}
	if s.Request.Key != "" && len(c.runsByKey[s.Request.Key]) == 0 {
		c.v.add(AnsweredNotRun, 1, "%s, key %s", s.Request.Workload, s.Request.Key)
	}
}

// checkKeys checks that each idempotency key ran at most once, and did not run where the
// caller was told that it had not.
func (c *checker) checkKeys() {
	for key, runs := range c.runsByKey {
		if len(runs) > 1 {
			c.v.add(RanTwice, len(runs)-1, "key %s ran %d times, %v apart", key, len(runs), time.Duration(runs[1].StartNs-runs[0].StartNs))
		}
		for _, s := range c.attemptsByKey[key] {
			if s.Reply != nil && s.Reply.Outcome == caller.OutcomeNotRun {
				c.checkNotRun(s, runs)
			}
		}
	}
}

// checkAnswers checks that all answers to one idempotency key are the same.
func (c *checker) checkAnswers() {
	for key, attempts := range c.attemptsByKey {
		first := ""
		for _, s := range attempts {
			if !isAnswered(&s) || s.Reply.Result == first {
				continue
			}
			if first != "" {
				c.v.add(AnswersDiffer, 1, "key %s: %q and %q", key, first, s.Reply.Result)
			}
			first = s.Reply.Result
		}
	}
}

// checkNotRun checks a not_run reply against the runs of its key. A run is allowed only
// if another attempt was sent after the reply and before the run.
func (c *checker) checkNotRun(notRun Attempt, runs []standin.Run) {
	for _, run := range runs {
		at := time.Unix(0, run.StartNs)
		excused := false
		for _, t := range c.attemptsByKey[notRun.Request.Key] {
			later := t.Sent.After(notRun.End.Add(-clockSlack)) && !t.Sent.After(at.Add(clockSlack))
			excused = excused || later
		}
		if !excused {
			c.v.add(NotRunButRan, 1, "key %s: refused (%s) through %s, ran %v after the refusal", run.Key, notRun.Reply.Reason, notRun.VM, at.Sub(notRun.End))
		}
	}
}

// checkUpstreams checks the upstreams' counters, and that planned stops were clean.
func (c *checker) checkUpstreams() {
	n := c.Log.Counts
	c.v.add(WorkAfterDrain, n.WorkAfterDrain, "%d requests", n.WorkAfterDrain)
	c.v.add(ConnectionLimit, n.ConnectionsRefused, "%d connections", n.ConnectionsRefused)
	c.checkCrashes()
	for _, vm := range c.Journal.Unclean {
		c.v.add(CutOff, 1, "%s ended uncleanly", vm)
	}
}

// checkCrashes checks how often each request crashed upstreams, at first of one shard, then of all.
func (c *checker) checkCrashes() {
	byWord := map[string][]int64{}
	for key, at := range c.Log.Crashes {
		word, _, _ := strings.Cut(key, "/")
		byWord[word] = append(byWord[word], at...)
	}
	noticed := map[string]int64{}
	for word, at := range byWord {
		slices.Sort(at)
		noticed[word] = math.MaxInt64
		if len(at) >= 3 {
			noticed[word] = at[2] + int64(crashNotice)
		}
		late := countAfter(at, noticed[word])
		c.v.add(CrashRepeated, late-maxLateCrashes, "%s crashed %d upstreams %v after its third", word, late, crashNotice)
	}
	for key, at := range c.Log.Crashes {
		word, _, _ := strings.Cut(key, "/")
		early := len(at) - countAfter(at, noticed[word])
		c.v.add(CrashRepeated, early-maxCrashes, "%s crashed %d upstreams", key, early)
	}
}

// countAfter counts the times later than t.
func countAfter(at []int64, t int64) (n int) {
	for _, u := range at {
		if u > t {
			n++
		}
	}
	return n
}

// checkManifests checks that the generation in force never decreases during one incarnation
// of a VM, and reaches each committed one within manifestTimeout.
func (c *checker) checkManifests() {
	last := map[string]Sample{}
	late := map[string]bool{}
	for _, s := range c.Journal.Samples {
		id := s.VM + "/" + s.Incarnation
		if before, ok := last[id]; ok && s.Generation < before.Generation {
			c.v.add(ManifestReverted, 1, "%s went from %d to %d", s.VM, before.Generation, s.Generation)
		}
		last[id] = s
		due := c.dueGeneration(s)
		if s.Generation >= due {
			late[id] = false
			continue
		}
		if !late[id] && !c.excused(s) {
			late[id] = true
			c.v.add(ManifestLate, 1, "%s has %d in force, %d is due", s.VM, s.Generation, due)
		}
	}
}

// dueGeneration returns the newest generation that must be in force at a sample.
func (c *checker) dueGeneration(s Sample) int {
	n := 0
	for _, k := range c.Journal.Commits {
		if s.At.Sub(k.At) > manifestTimeout {
			n = max(n, k.Generation)
		}
	}
	return n
}

// excused reports whether the VM was paused or could not learn of manifests at any time
// in the manifestTimeout before the sample.
func (c *checker) excused(s Sample) bool {
	from := s.At.Add(-manifestTimeout)
	return overlapsAny(c.Journal.Pauses[s.VM], from, s.At) || overlapsAny(c.Journal.Cuts[s.VM], from, s.At)
}
