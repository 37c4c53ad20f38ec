package claims

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/pause"
	"github.com/sardinespindle/sardinespindle/internal/policy/once"
	"github.com/sardinespindle/sardinespindle/schema/gen/peer"
	"github.com/sardinespindle/sardinespindle/schema/gen/settings"
)

const (
	// roundTimeout bounds one round of voting.
	roundTimeout = 300 * time.Millisecond
	// giveUpAfter is how long after its start a claim begins no further round.
	giveUpAfter = time.Second
	// maxClaimDuration bounds a claim, and the time until its request must be written, if the
	// request has a later deadline or none.
	maxClaimDuration = 10 * time.Second
	// replyMargin is subtracted from a lookup's wait, to leave time to answer the caller.
	replyMargin = 5 * time.Millisecond
	// baseBackoff is the range of the random pause before the second round or delivery
	// attempt. backoff doubles the range for each further one, maxBackoffDoublings times at
	// most.
	baseBackoff         = 8 * time.Millisecond
	maxBackoffDoublings = 5
	// retryAfter is sent to callers that may retry, if no better time is known.
	retryAfter = time.Second
)

var (
	errNoTime  = errors.New("no time left for a lookup")
	errNoReply = errors.New("lookup without a reply")
)

// Request asks for the claim on a key.
type Request struct {
	// Key is the caller's name, a slash and its idempotency key.
	Key string
	// Fingerprint is the hash of workload and body.
	Fingerprint string
	// Window is the workload's resend window.
	Window time.Duration
}

// Verdict is the result of a claim.
type Verdict int

// Verdicts.
const (
	// Won: this VM alone may send the request.
	Won Verdict = iota
	// Recorded: the key's outcome is recorded. Its text is empty if it was not stored,
	// because it was too large or the guards had no capacity left for it.
	Recorded
	// InProgress: another attempt holds the key.
	InProgress
	// Mismatch: the key was used with another body.
	Mismatch
	// Expired: the key is older than the resend window; its request may have run within that window.
	Expired
	// Future: the key's birth is so far ahead that no VM can have accepted it.
	Future
	// NoQuorum: fewer guards than a quorum granted their vote.
	NoQuorum
	// Malformed: the key is not a UUIDv7.
	Malformed
)

// String returns the verdict as a metric label.
func (v Verdict) String() string {
	names := [...]string{"won", "recorded", "in_progress", "mismatch", "expired", "future", "no_quorum", "malformed"}
	return names[v]
}

// Decision is the result of Claim.
type Decision struct {
	Verdict Verdict
	// Hold is set if the verdict is Won.
	Hold *Hold
	// Outcome is set if the verdict is Recorded.
	Outcome string
	// RetryAfter is 0 if a retry is of no use.
	RetryAfter time.Duration
	// Stage is how far the claim got, if it was not won.
	Stage once.Stage
	// Detail explains the verdict to a human reader.
	Detail string
}

// NotRun reports whether the caller may be told that the request did not run. First
// states that the caller has not sent the request before.
func (d Decision) NotRun(first bool) bool {
	return d.Verdict != Won && once.NotRun(first, d.Stage)
}

// Claim claims a key by the votes of its guards. If another attempt holds the key, it
// waits for that attempt's outcome, until the deadline of ctx.
func (c *Claims) Claim(ctx context.Context, r Request) Decision {
	start := c.o.Boot()
	d := c.claim(ctx, r)
	c.metrics.record(d, c.o.Boot()-start)
	return d
}

func (c *Claims) claim(ctx context.Context, r Request) Decision {
	born, err := once.Birth(r.Key)
	if err != nil {
		return Decision{Verdict: Malformed, Stage: once.Unclaimed, Detail: err.Error()}
	}
	// With the mechanism off, every claim is won without a vote and has no deadline.
	if !c.o.Mechanisms.On(settings.ExperimentDisableElemClaims) {
		return Decision{Verdict: Won, Hold: &Hold{c: c, deadline: 1<<63 - 1, done: make(chan struct{})}}
	}
	now := c.now()
	if d, early := c.checkBirth(now, born, r.Window); early {
		return d
	}
	ctx, cancel := context.WithTimeout(ctx, maxClaimDuration)
	defer cancel()
	a := &attempt{c: c, r: r, born: born, start: c.o.Boot()}
	a.deadline = a.start + born.Add(r.Window).Sub(now)
	if t, ok := ctx.Deadline(); ok {
		a.deadline = min(a.deadline, a.start+time.Until(t))
	}
	return a.run(ctx)
}

// checkBirth returns a decision and true if the key is past its resend window or born too
// far in the future, since no guard would vote on it.
func (c *Claims) checkBirth(now, born time.Time, window time.Duration) (Decision, bool) {
	ahead := born.Sub(now) - c.o.Params.FutureSkew
	if ahead > c.o.Params.ClockSkew {
		return Decision{Verdict: Future, RetryAfter: ahead, Stage: once.Contested,
			Detail: fmt.Sprintf("key is born %s ahead of this VM's clock", born.Sub(now))}, true
	}
	if now.After(born.Add(window)) {
		return Decision{Verdict: Expired, Stage: once.Contested,
			Detail: fmt.Sprintf("key is %s old, its window is %s", now.Sub(born), window)}, true
	}
	return Decision{}, false
}

// attempt is one call of Claim, which may take several rounds of voting.
type attempt struct {
	c        *Claims
	r        Request
	born     time.Time
	start    time.Duration
	deadline time.Duration
}

// run repeats rounds until a decision is final, giveUpAfter has passed or ctx ends.
func (a *attempt) run(ctx context.Context) Decision {
	var last Decision
	for try := 0; ; try++ {
		d, final := a.round(ctx)
		if final {
			return d
		}
		if last.Stage == once.Contested {
			d.Stage = once.Contested
		}
		last = d
		if a.c.o.Boot()-a.start > giveUpAfter {
			return last
		}
		if !pause.Sleep(ctx, backoff(try)) {
			return last
		}
	}
}

// round asks every guard for its vote once. It reports whether its decision is final.
func (a *attempt) round(ctx context.Context) (Decision, bool) {
	guards := a.c.observe()
	members, ok := a.c.members(a.born)
	if !ok {
		return Decision{Verdict: NoQuorum, RetryAfter: retryAfter, Stage: once.Unclaimed, Detail: "no VM list yet"}, false
	}
	claimant := fmt.Sprintf("%s/%s/%d", a.c.o.VM, a.c.o.Incarnation, a.c.rounds.Add(1))
	b := once.NewBallot(a.c.o.Params, members, len(guards))
	a.collectVotes(ctx, b, guards, claimant)
	if b.Result() == once.Won {
		h := &Hold{
			c: a.c, key: a.r.Key, fingerprint: a.r.Fingerprint, claimant: claimant, born: a.born,
			deadline: a.deadline, need: b.Quorum(), guards: guards, done: make(chan struct{}),
		}
		a.c.register(h)
		return Decision{Verdict: Won, Hold: h}, true
	}
	a.c.deliverRelease(ctx, a.r.Key, claimant, guards)
	return a.decideLost(ctx, b)
}

// collectVotes asks all guards in parallel and returns once the ballot is decided.
func (a *attempt) collectVotes(ctx context.Context, b *once.Ballot, guards []string, claimant string) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	type reply struct {
		guard string
		vote  *peer.Vote
	}
	replies := make(chan reply, len(guards))
	claim := peer.Claim{
		Key: a.r.Key, Fingerprint: a.r.Fingerprint, Claimant: claimant, BornMs: int(a.born.UnixMilli()),
		WindowMs: int(a.r.Window.Milliseconds()), Generation: a.c.o.Generation(),
	}
	for _, g := range guards {
		go func() { replies <- reply{g, a.c.requestVote(ctx, g, &claim)} }()
	}
	for b.Result() == once.Open {
		got := <-replies
		if got.vote == nil {
			b.NoReply(got.guard)
			continue
		}
		v := once.Vote{Verdict: once.Verdict(got.vote.Verdict), Holder: got.vote.Holder, Outcome: got.vote.Outcome}
		b.Add(got.guard, v, got.vote.Members)
	}
}

// requestVote returns a guard's vote; nil if it did not reply or sent none.
func (c *Claims) requestVote(ctx context.Context, vm string, m *peer.Claim) *peer.Vote {
	if vm == c.o.VM {
		if r := c.handleClaim(m); r != nil {
			return r.Vote
		}
		return nil
	}
	r, err := c.o.Call(ctx, vm, &peer.Message{Claim: m})
	if err != nil || r == nil {
		return nil
	}
	return r.Vote
}

// decideLost decides on a round without a quorum, and reports whether that is final.
func (a *attempt) decideLost(ctx context.Context, b *once.Ballot) (Decision, bool) {
	switch b.Result() {
	case once.Known:
		return Decision{Verdict: Recorded, Outcome: b.Outcome(), Stage: once.Contested}, true
	case once.Reused:
		return Decision{Verdict: Mismatch, Stage: once.Contested, Detail: "key was used with another body"}, true
	}
	if holder := b.Holder(); holder != "" {
		return a.decideContested(ctx, holder)
	}
	detail := fmt.Sprintf("%d of %d votes needed; %d abstained, %d full, %d with a newer manifest",
		b.Count(once.Granted), b.Quorum(), b.Count(once.Abstained), b.Count(once.Full), b.Count(once.StaleGeneration))
	return Decision{Verdict: NoQuorum, RetryAfter: retryAfter, Stage: once.Released, Detail: detail}, b.Count(once.StaleGeneration) == 0
}

// decideContested decides on a round in which another claimant holds votes, by asking that
// claimant's VM. Only a VM that replies without an outcome leads to another round: its
// attempt has given up, or is still running.
func (a *attempt) decideContested(ctx context.Context, holder string) (Decision, bool) {
	outcome, known, err := a.lookup(ctx, holder)
	if known {
		return Decision{Verdict: Recorded, Outcome: outcome, Stage: once.Contested}, true
	}
	d := Decision{Verdict: InProgress, RetryAfter: retryAfter, Stage: once.Contested, Detail: "another attempt holds the key"}
	return d, err != nil
}

// lookup asks the VM of another claimant for the outcome and waits until that claimant is
// done. It reports whether the outcome is known.
func (a *attempt) lookup(ctx context.Context, holder string) (string, bool, error) {
	vm, _, _ := strings.Cut(holder, "/")
	wait := a.deadline - a.c.o.Boot() - replyMargin
	if vm == "" || wait <= 0 {
		return "", false, errNoTime
	}
	m := &peer.Message{Lookup: &peer.Lookup{
		Key: a.r.Key, Fingerprint: a.r.Fingerprint, WaitMs: int(wait.Milliseconds()),
	}}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	r, err := a.c.call(ctx, vm, m)
	if err != nil {
		return "", false, err
	}
	if r == nil || r.Found == nil {
		return "", false, errNoReply
	}
	return r.Found.Outcome, r.Found.Known, nil
}

// call sends a message to another VM, or handles it if it is for this one.
func (c *Claims) call(ctx context.Context, vm string, m *peer.Message) (*peer.Message, error) {
	if vm == c.o.VM {
		return c.Handle(ctx, vm, m), nil
	}
	return c.o.Call(ctx, vm, m)
}

// backoff returns a random pause whose maximum doubles with each attempt, up to 257 ms.
func backoff(attempt int) time.Duration {
	return time.Millisecond + rand.N(baseBackoff<<min(attempt, maxBackoffDoublings))
}
