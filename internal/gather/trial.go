package gather

import (
	"slices"

	"github.com/sardinespindle/sardinespindle/internal/upstream"
)

// trial is that of a search, or of some of its shards, that may end the upstreams that run it. One shard is asked; the
// others wait until that has replied.
type trial struct {
	ofAll            bool     // all shards are on trial
	suspects         []string // else those that are
	underway, failed bool
	shard            *shard // the one asked
}

// startTrial starts the trial, if the search has one. Without a permission to try them, its suspects fail at once.
func (q *query) startTrial() {
	q.trial = trial{ofAll: q.s.Trial, underway: q.s.Trial}
	if p := q.s.PassThrough; p != nil {
		q.trial.suspects, q.trial.underway = p.Suspects, q.s.Trial || p.TrySuspects
	}
	q.trial.failed = !q.trial.underway
}

// onTrial reports whether a shard is on trial.
func (q *query) onTrial(sh *shard) bool {
	return q.trial.ofAll || slices.Contains(q.trial.suspects, sh.name)
}

// mayAsk reports whether a shard may be asked now. If not, it waits for the end of the trial, or is given up.
func (q *query) mayAsk(sh *shard) bool {
	switch {
	case !q.onTrial(sh):
		return true
	case q.trial.failed:
		sh.gaveUp, sh.missingCause = true, "suspected"
		return false
	case !q.trial.underway || q.trial.shard == sh:
		return true
	case q.trial.shard == nil:
		q.trial.shard = sh
		return true
	}
	sh.awaitsTrial = true
	q.updateStatus(sh)
	return false
}

// endTrial ends the trial, if it is under way. The shards that wait are asked if it passed, and else given up.
func (q *query) endTrial(passed bool) {
	if !q.trial.underway {
		return
	}
	q.trial.underway, q.trial.failed = false, !passed
	for _, sh := range q.plan {
		if !sh.awaitsTrial {
			continue
		}
		sh.awaitsTrial = false
		if !passed || !q.askAwaiting(sh) {
			sh.gaveUp = true
		}
		if !passed {
			sh.missingCause = "suspected"
		}
		q.updateStatus(sh)
	}
}

// askAwaiting asks a shard that has waited, and reports whether it did.
func (q *query) askAwaiting(sh *shard) bool {
	if q.s.PassThrough == nil {
		return q.launch(sh, q.pin) || !sh.pickAt.IsZero()
	}
	t, _, err := q.pickPassThrough(sh)
	if err != nil {
		sh.missingCause = "no_replica"
		return false
	}
	return q.sendOrAnnounce(sh, t, announced{paid: true})
}

// judgeTrial ends the trial if the attempt of its shard has ended with a class that decides it. It reports whether the
// shard is on a trial that has failed, and so is asked no more.
func (q *query) judgeTrial(sh *shard, c upstream.Class) (failed bool) {
	if q.trial.shard == sh {
		switch {
		case c == upstream.OK || c == upstream.Failed:
			q.endTrial(true) // the upstream ran the request and replied
		case c.MayHaveRun():
			q.endTrial(false)
		}
	}
	return q.trial.failed && q.onTrial(sh)
}

// moveTrial asks another shard if the one on trial did not run the request, unless too few shards are left.
func (q *query) moveTrial() {
	if !q.trial.underway || q.trial.shard != nil && q.trial.shard.status == open {
		return
	}
	for _, sh := range q.plan {
		if !sh.awaitsTrial || q.counts[covered]+q.counts[open] < q.minShards() {
			continue
		}
		sh.awaitsTrial, q.trial.shard = false, sh
		asked := q.askAwaiting(sh)
		sh.gaveUp = !asked
		q.updateStatus(sh)
		if asked {
			return
		}
	}
	q.endTrial(false)
}
