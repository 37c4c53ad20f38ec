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
	// roundTime bounds one round of votes.
	roundTime = 300 * time.Millisecond
	// claimTime is the time after which no further round is held.
	claimTime = time.Second
	// longestClaim bounds a claim whose request has no deadline.
	longestClaim = 10 * time.Second
	// replyTime is kept for the reply to the caller.
	replyTime = 5 * time.Millisecond
	// firstBackoff is the longest pause before the second round.
	firstBackoff = 8 * time.Millisecond
	maxDoublings = 5
	// retryAfter is when a caller should come back, where nothing else is known.
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

// Verdict says what became of a claim.
type Verdict int

// Verdicts.
const (
	// Won: this VM alone may send the request.
	Won Verdict = iota
	// Recorded: the outcome is known; empty where it was too large to keep.
	Recorded
	// InProgress: another attempt holds the key.
	InProgress
	// Mismatch: the key was used with another body.
	Mismatch
	// Expired: the key is past its window. It may have run within.
	Expired
	// Future: the key's birth lies too far ahead for any VM to have accepted it.
	Future
	// NoQuorum: too few guards gave their vote.
	NoQuorum
	// Malformed: the key is no UUIDv7.
	Malformed
)

// String returns the verdict as a metric label.
func (v Verdict) String() string {
	names := [...]string{"won", "recorded", "in_progress", "mismatch", "expired", "future", "no_quorum", "malformed"}
	return names[v]
}

// Decision is the answer to a request for a claim.
type Decision struct {
	Verdict Verdict
	// Hold is set where the verdict is Won.
	Hold *Hold
	// Outcome is set where the verdict is Recorded.
	Outcome string
	// RetryAfter says when to come back; 0 where coming back is of no use.
	RetryAfter time.Duration
	// Stage is how far this attempt got, where it did not win.
	Stage once.Stage
	// Detail explains the verdict to a person.
	Detail string
}

// NotRun reports whether the caller may be told that the request did not run.
// First says that the caller marked the attempt as its first.
func (d Decision) NotRun(first bool) bool {
	return d.Verdict != Won && once.NotRun(first, d.Stage)
}

// Claim asks the guards for a key, bounded by the deadline of ctx. It waits for
// the outcome of another attempt that holds the key.
func (c *Claims) Claim(ctx context.Context, r Request) Decision {
	begin := c.o.Boot()
	d := c.claim(ctx, r)
	c.metrics.done(d, c.o.Boot()-begin)
	return d
}

func (c *Claims) claim(ctx context.Context, r Request) Decision {
	born, err := once.Birth(r.Key)
	if err != nil {
		return Decision{Verdict: Malformed, Stage: once.Unclaimed, Detail: err.Error()}
	}
	if !c.o.Mechanisms.On(settings.ExperimentDisableElemClaims) {
		return Decision{Verdict: Won, Hold: &Hold{c: c, until: 1<<63 - 1, done: make(chan struct{})}}
	}
	now := c.now()
	if d, early := c.outside(now, born, r.Window); early {
		return d
	}
	ctx, cancel := context.WithTimeout(ctx, longestClaim)
	defer cancel()
	a := &attempt{c: c, r: r, born: born, begin: c.o.Boot()}
	a.until = a.begin + born.Add(r.Window).Sub(now)
	if t, ok := ctx.Deadline(); ok {
		a.until = min(a.until, a.begin+time.Until(t))
	}
	return a.run(ctx)
}

// outside decides on keys that no guard would vote on.
func (c *Claims) outside(now, born time.Time, window time.Duration) (Decision, bool) {
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

// attempt is one caller's request for a key at this VM, over several rounds.
type attempt struct {
	c     *Claims
	r     Request
	born  time.Time
	begin time.Duration
	until time.Duration
}

// run holds rounds until one decides or the time is up.
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
		if a.c.o.Boot()-a.begin > claimTime {
			return last
		}
		if !pause.For(ctx, jitter(try)) {
			return last
		}
	}
}

// round asks every guard once, and settles what came back.
func (a *attempt) round(ctx context.Context) (Decision, bool) {
	guards := a.c.observe()
	members, ok := a.c.members(a.born)
	if !ok {
		return Decision{Verdict: NoQuorum, RetryAfter: retryAfter, Stage: once.Unclaimed, Detail: "no VM list yet"}, false
	}
	claimant := fmt.Sprintf("%s/%s/%d", a.c.o.VM, a.c.o.Incarnation, a.c.attempt.Add(1))
	b := once.NewBallot(a.c.o.Params, members, len(guards))
	a.poll(ctx, b, guards, claimant)
	if b.Result() == once.Won {
		h := &Hold{
			c: a.c, key: a.r.Key, fingerprint: a.r.Fingerprint, claimant: claimant, born: a.born,
			until: a.until, need: b.Need(), guards: guards, done: make(chan struct{}),
		}
		a.c.live(h)
		return Decision{Verdict: Won, Hold: h}, true
	}
	a.c.release(ctx, a.r.Key, claimant, guards)
	return a.lost(ctx, b)
}

// poll asks all guards in parallel until the ballot is decided.
func (a *attempt) poll(ctx context.Context, b *once.Ballot, guards []string, claimant string) {
	ctx, cancel := context.WithTimeout(ctx, roundTime)
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
		go func() { replies <- reply{g, a.c.ask(ctx, g, &claim)} }()
	}
	for b.Result() == once.Open {
		got := <-replies
		if got.vote == nil {
			b.Miss(got.guard)
			continue
		}
		v := once.Vote{Verdict: once.Verdict(got.vote.Verdict), Holder: got.vote.Holder, Outcome: got.vote.Outcome}
		b.Add(got.guard, v, got.vote.Members)
	}
}

// ask returns a guard's vote, nil where there is none.
func (c *Claims) ask(ctx context.Context, vm string, m *peer.Claim) *peer.Vote {
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

// lost says what a round without a quorum means, and whether that is final.
func (a *attempt) lost(ctx context.Context, b *once.Ballot) (Decision, bool) {
	switch b.Result() {
	case once.Known:
		return Decision{Verdict: Recorded, Outcome: b.Outcome(), Stage: once.Contested}, true
	case once.Reused:
		return Decision{Verdict: Mismatch, Stage: once.Contested, Detail: "key was used with another body"}, true
	}
	if holder := b.Holder(); holder != "" {
		return a.contested(ctx, holder)
	}
	detail := fmt.Sprintf("%d of %d votes needed; %d abstained, %d full, %d with a newer manifest",
		b.Count(once.Granted), b.Need(), b.Count(once.Abstained), b.Count(once.Full), b.Count(once.StaleGeneration))
	return Decision{Verdict: NoQuorum, RetryAfter: retryAfter, Stage: once.Released, Detail: detail}, b.Count(once.StaleGeneration) == 0
}

// contested settles a round in which another claimant holds votes: its VM knows
// the outcome, or has given up, or can't be reached.
func (a *attempt) contested(ctx context.Context, holder string) (Decision, bool) {
	outcome, known, err := a.lookup(ctx, holder)
	if known {
		return Decision{Verdict: Recorded, Outcome: outcome, Stage: once.Contested}, true
	}
	d := Decision{Verdict: InProgress, RetryAfter: retryAfter, Stage: once.Contested, Detail: "another attempt holds the key"}
	return d, err != nil
}

// lookup asks the VM of another claimant for the outcome, and waits for it.
func (a *attempt) lookup(ctx context.Context, holder string) (string, bool, error) {
	vm, _, _ := strings.Cut(holder, "/")
	wait := a.until - a.c.o.Boot() - replyTime
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

// call sends a message to a VM, which may be this one.
func (c *Claims) call(ctx context.Context, vm string, m *peer.Message) (*peer.Message, error) {
	if vm == c.o.VM {
		return c.Handle(ctx, vm, m), nil
	}
	return c.o.Call(ctx, vm, m)
}

// jitter returns a random pause that grows with each try.
func jitter(try int) time.Duration {
	return time.Millisecond + rand.N(firstBackoff<<min(try, maxDoublings))
}
