package poison

import (
	"context"
	"slices"
	"sync"
	"time"

	policy "github.com/sardinespindle/sardinespindle/internal/policy/poison"
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

	mu       sync.Mutex // guards the fields below
	attempts map[string]*watched
	check    *time.Timer // nil before the first attempt
	reported int         // losses
	ended    bool
	judged   bool // it has ended, and End has reported what it showed then
	answered bool // an upstream had replied then
}

// watched is an attempt that a run watches.
type watched struct {
	upstream policy.Upstream
	attempt  policy.Attempt // Until and RepliedAt are set once done
	done     bool
}

// checkAfter is how long after its first attempt a run that still waits is judged for the first time: others may
// get the request again before its deadline.
const checkAfter = 2500 * time.Millisecond

// Sending records that an attempt is about to be sent to an upstream.
func (r *Run) Sending(u policy.Upstream, shard string) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempts == nil {
		r.attempts = map[string]*watched{}
	}
	w := &watched{upstream: u, attempt: policy.Attempt{Shard: shard, Sent: r.g.now()}}
	if asked := u.AskedAt(); asked > 0 {
		w.attempt.SilentBefore = w.attempt.Sent - asked
	}
	r.attempts[u.Address()] = w
	if r.check == nil && !r.ended {
		r.check = time.AfterFunc(checkAfter, r.judgeEarly)
	}
}

// Sent records what is known of an upstream after the attempt at it.
func (r *Run) Sent(u policy.Upstream, f policy.Fate) { r.recordFate(u, f) }

// Gone records that an upstream is known to have ended that has not replied since an attempt.
func (r *Run) Gone(u policy.Upstream) { r.recordFate(u, policy.Ended) }

// recordFate records the fate of an upstream, unless one is known. If the run has ended, it reports what follows.
func (r *Run) recordFate(u policy.Upstream, f policy.Fate) {
	if r == nil {
		return
	}
	r.mu.Lock()
	w := r.attempts[u.Address()]
	if w == nil || w.upstream != u || w.attempt.Fate != policy.Unknown {
		r.mu.Unlock()
		return
	}
	w.attempt = w.at(r.g.now())
	w.attempt.Fate, w.done = f, true
	late, answered := r.judged && f == policy.Ended, r.answered
	r.mu.Unlock()
	switch {
	case !late:
	case answered:
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
	r.ended = true
	if r.check != nil {
		r.check.Stop()
	}
	r.mu.Unlock()
	ran, losses := r.judge(ctx)
	r.mu.Lock()
	r.judged, r.answered = true, ran
	r.mu.Unlock()
	r.g.endRun(r.q.Fingerprint)
	if ran {
		r.g.clear(r.q.Fingerprint, r.disproves)
		r.reportShards()
		r.clearShards()
	}
	var told sync.WaitGroup
	for _, id := range r.takeUnreported(losses) {
		told.Go(func() { r.g.reportLoss(ctx, r.q.Fingerprint, id) })
	}
	told.Wait()
	r.g.withdraw(r.q.Fingerprint)
	if r.tried != nil {
		r.g.endRun(r.q.shardsFingerprint())
		r.g.withdraw(r.q.shardsFingerprint())
	}
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
	ended := r.ended
	r.mu.Unlock()
	if !ended {
		r.reportByGossip()
	}
}

// reportByGossip reports what the run shows now. The fleet learns that by gossip.
func (r *Run) reportByGossip() {
	ran, losses := r.judge(context.Background())
	if ran {
		return
	}
	for _, id := range r.takeUnreported(losses) {
		r.g.stateLoss(r.q.Fingerprint, id)
	}
}

// judge returns whether the request ran at an upstream that replied, and else how many losses the run shows.
func (r *Run) judge(ctx context.Context) (ran bool, losses int) {
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
	return e.Ran, losses
}

// snapshot returns the attempts as they are now, the addresses of their upstreams, and when the first was sent.
func (r *Run) snapshot() (attempts []policy.Attempt, addresses []string, since time.Duration) {
	since = r.g.now()
	now := since
	r.mu.Lock()
	defer r.mu.Unlock()
	for address, w := range r.attempts {
		attempts, addresses, since = append(attempts, w.at(now)), append(addresses, address), min(since, w.attempt.Sent)
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
