package poison

import (
	"context"
	"slices"
	"sync"
	"time"

	policy "github.com/sardinespindle/sardinespindle/internal/policy/poison"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
)

// Run is one run of a request on this VM. It watches the request's attempts, and records upstreams that ended
// under it. The methods of a nil Run do nothing.
type Run struct {
	g     *Guard
	q     Request
	trial bool
	known []string // the ids of losses before the run
	tried []string // the suspected shards of which one may be asked

	reporting sync.Mutex                 // held while losses of shards are reported: a report replaces the one before
	shards    [policy.SuspicionLimit]int // the number of shards of each loss reported; guarded by reporting

	mu       sync.Mutex // guards the fields below, and the attempts
	attempts []*watched
	spare    []watched   // allocated for the next attempts
	check    *time.Timer // nil before the first attempt
	reported int         // losses
	ran      bool        // an upstream ran the request and replied
	endedAny bool        // an upstream has ended
	over     bool        // End was called
	judged   bool        // End has reported what the run showed then
}

// watched is an attempt that a run watches.
type watched struct {
	run      *Run
	upstream policy.Upstream
	attempt  policy.Attempt // Until and RepliedAt are set once done
	done     bool
}

const (
	// checkAfter is how long after its first attempt a run that still waits is judged for the first time: others may
	// get the request again before its deadline.
	checkAfter = 2500 * time.Millisecond
	// fewAttempts is the number of attempts for which there is room at first.
	fewAttempts = 2
)

// Sending records that an attempt is about to be sent to an upstream.
func (r *Run) Sending(u policy.Upstream, shard string, now time.Duration) upstream.WatchedAttempt {
	if r == nil {
		return nil
	}
	a := policy.Attempt{Shard: shard, Sent: now}
	if asked := u.AskedAt(); asked > 0 {
		a.SilentBefore = now - asked
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.spare) == 0 {
		r.spare = make([]watched, max(fewAttempts, len(r.attempts)))
	}
	w := &r.spare[0]
	r.spare = r.spare[1:]
	*w = watched{run: r, upstream: u, attempt: a}
	r.attempts = append(r.attempts, w)
	if r.check == nil && !r.over {
		r.check = time.AfterFunc(checkAfter, r.judgeEarly)
	}
	return w
}

// Sent records what is known of the upstream after the attempt.
func (w *watched) Sent(f policy.Fate, now time.Duration) { w.run.recordFate(w, f, now) }

// Gone records that the upstream has ended and has not replied since the attempt.
func (w *watched) Gone(now time.Duration) { w.run.recordFate(w, policy.Ended, now) }

// recordFate records the fate of an attempt's upstream, unless one is known. If the run has ended, it reports what
// follows.
func (r *Run) recordFate(w *watched, f policy.Fate, now time.Duration) {
	r.mu.Lock()
	if w.attempt.Fate != policy.Unknown {
		r.mu.Unlock()
		return
	}
	w.attempt = w.at(now)
	w.attempt.Fate, w.done = f, true
	r.ran, r.endedAny = r.ran || f == policy.Ran, r.endedAny || f == policy.Ended
	late, ran := r.judged && f == policy.Ended, r.ran
	r.mu.Unlock()
	switch {
	case !late:
	case ran:
		r.reportShards()
	default:
		r.reportByGossip()
	}
}

// at returns the attempt as it is at now.
func (w *watched) at(now time.Duration) policy.Attempt {
	a := w.attempt
	if !w.done {
		a.Until, a.RepliedAt = now, w.upstream.RepliedAt()
	}
	return a
}

// End records what the run shows. If upstreams ended, it returns once the guards have acknowledged that, after
// askTimeout at the latest. What is found later of the run's upstreams is recorded then.
func (r *Run) End(ctx context.Context) {
	if r == nil {
		return
	}
	r.mu.Lock()
	r.over = true
	if r.check != nil {
		r.check.Stop()
	}
	ran, endedAny := r.ran, r.endedAny
	r.mu.Unlock()
	if ran {
		r.endAnswered(endedAny)
	} else {
		r.endUnanswered(ctx)
	}
	r.g.endRun(r.q.Fingerprint)
	r.g.withdraw(r.q.Fingerprint)
	if r.tried != nil {
		r.g.endRun(r.q.shardsFingerprint())
		r.g.withdraw(r.q.shardsFingerprint())
	}
}

// endAnswered ends a run of which an upstream replied.
func (r *Run) endAnswered(endedAny bool) {
	r.setJudged()
	r.g.clear(r.q.Fingerprint, r.disproves)
	if endedAny || r.tried != nil {
		r.reportShards()
		r.clearShards()
	}
}

// endUnanswered ends a run of which no upstream replied. The guards are told before it returns, but for the silence of few
// upstreams: slow ones show that, too, and the fleet learns of it by gossip.
func (r *Run) endUnanswered(ctx context.Context) {
	losses, certain := r.judge(ctx)
	r.setJudged()
	if !certain {
		r.stateLosses(losses)
		return
	}
	var told sync.WaitGroup
	for _, id := range r.takeUnreported(losses) {
		told.Go(func() { r.g.reportLoss(ctx, r.q.Fingerprint, id) })
	}
	told.Wait()
}

func (r *Run) setJudged() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.judged = true
}

// clearShards clears the losses of a suspected shard that was tried and has replied.
func (r *Run) clearShards() {
	if r.tried == nil {
		return
	}
	fingerprint := r.q.shardsFingerprint()
	replied := r.repliedShards()
	suspected := r.g.snapshot(fingerprint).Shards
	r.g.clear(fingerprint, func(lossID string) bool {
		return slices.ContainsFunc(suspected[lossID], func(shard string) bool { return slices.Contains(replied, shard) })
	})
}

// reportShards reports the shards whose upstreams ended though others replied.
func (r *Run) reportShards() {
	if !r.q.Search {
		return
	}
	r.reporting.Lock()
	defer r.reporting.Unlock()
	attempts, _, _ := r.snapshot()
	for i, shards := range policy.JudgeShards(attempts, r.q.Slow, r.tried) {
		if len(shards) > r.shards[i] {
			r.shards[i] = len(shards)
			r.g.stateLoss(r.q.shardsFingerprint(), r.q.lossID(i), shards...)
		}
	}
}

// repliedShards returns the shards of which an upstream ran the request and replied.
func (r *Run) repliedShards() (shards []string) {
	attempts, _, _ := r.snapshot()
	for _, a := range attempts {
		if a.Fate == policy.Ran {
			shards = append(shards, a.Shard)
		}
	}
	return shards
}

// disproves reports whether a reply to the run's request shows that a loss has another cause: it occurred before the
// run, or in the same request.
func (r *Run) disproves(lossID string) bool {
	return slices.Contains(r.known, lossID) || r.q.hasLoss(lossID)
}

// judgeEarly reports what the run shows before its end.
func (r *Run) judgeEarly() {
	r.mu.Lock()
	needless := r.over || r.ran
	r.mu.Unlock()
	if !needless {
		r.reportByGossip()
	}
}

// reportByGossip reports what the run, of which no upstream replied, shows now. The fleet learns that by gossip.
func (r *Run) reportByGossip() {
	losses, _ := r.judge(context.Background())
	r.stateLosses(losses)
}

// stateLosses records those of a number of losses that have not been reported yet.
func (r *Run) stateLosses(losses int) {
	for _, id := range r.takeUnreported(losses) {
		r.g.stateLoss(r.q.Fingerprint, id)
	}
}

// judge returns how many losses the run shows, and whether that rests on more than the silence of few upstreams.
func (r *Run) judge(ctx context.Context) (losses int, certain bool) {
	attempts, addresses, since := r.snapshot()
	e := policy.Judge(attempts, r.q.Slow)
	hears := e.Silent && r.g.hears(ctx, since, addresses)
	losses = e.Losses(hears)
	if r.trial {
		losses = policy.JudgeTrial(attempts)
	}
	if losses > 0 || e.Silent {
		r.g.log.Info("no upstream replied to a request", "id", r.q.ID, "fingerprint", r.q.Fingerprint, "attempts", len(attempts),
			"ended", e.Ended, "ended_in_turn", e.EndedInTurn, "silent", e.Silent, "hears_others", hears, "losses", losses)
	}
	return losses, r.trial || e.Ended > 0 || e.ManySilent
}

// snapshot returns the attempts as they are now, the addresses of their upstreams, and when the first was sent.
func (r *Run) snapshot() (attempts []policy.Attempt, addresses []string, since time.Duration) {
	since = r.g.now()
	now := since
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.attempts {
		attempts, addresses, since = append(attempts, w.at(now)), append(addresses, w.upstream.Address()), min(since, w.attempt.Sent)
	}
	return attempts, addresses, since
}

// takeUnreported returns the ids of the losses that have not been reported yet.
func (r *Run) takeUnreported(losses int) (ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for ; r.reported < losses; r.reported++ {
		ids = append(ids, r.q.lossID(r.reported))
	}
	return ids
}
