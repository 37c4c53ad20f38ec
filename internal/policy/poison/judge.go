package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Fate is what is known of an upstream after an attempt at it.
type Fate int

// Fates of upstreams.
const (
	// Unknown: it has not replied, and nothing else is known of it.
	Unknown Fate = iota
	// Ran: it ran the request and replied.
	Ran
	// Lives: it did not run the request, or runs on though its reply was lost.
	Lives
	// Ended: its process has ended since it got the request.
	Ended
)

// Upstream is an upstream that a request is sent to.
type Upstream interface {
	Address() string
	// RepliedAt returns when it last replied to any request of this VM; 0 if it has not.
	RepliedAt() time.Duration
	// AskedAt returns when the first request was sent that it has not replied to since; 0 for none.
	AskedAt() time.Duration
}

// Attempt is an attempt of a request at one upstream.
type Attempt struct {
	// Shard is the shard that the upstream serves; empty for a request that is not a search.
	Shard string
	Fate  Fate
	// Sent is when the request was sent, Until when its fate was known or, if it still waits, the present.
	Sent, Until time.Duration
	// RepliedAt is when the upstream had last replied to any request of this VM, at Until.
	RepliedAt time.Duration
	// SilentBefore is how long the upstream had not replied to other requests when this one was sent.
	SilentBefore time.Duration
}

// fellSilent reports whether the upstream has been silent while the request waited, for at least d, and was not
// before. It may have replied to others at first, while this request waited for a slot.
func (a Attempt) fellSilent(d, slow time.Duration) bool {
	waited := a.Until - a.Sent
	return a.Fate == Unknown && waited >= d && 2*(a.Until-a.RepliedAt) >= waited && a.SilentBefore < slow
}

// manySilent is the number of silent upstreams that are evidence at once.
const manySilent = 3

// Evidence is what the attempts of one run of a request show.
type Evidence struct {
	// Ran: an upstream ran the request and replied, so it does not end each of them.
	Ran bool
	// Ended is the number of upstreams that ended, EndedInTurn how many of them got the request after another was
	// known to have ended, and the first.
	Ended, EndedInTurn int
	// Silent says that upstreams fell silent, ManySilent that many did at once. That shows nothing if this VM hears of no
	// others either.
	Silent, ManySilent bool
}

// Judge returns what the attempts of one run show; slow is the longest that an idle upstream usually takes to reply.
// An upstream that ends may fall silent instead of closing its connections, as one that loses power does. So may one
// that hangs, so unless there are many, their silence is evidence only after twice that time.
func Judge(attempts []Attempt, slow time.Duration) (e Evidence) {
	silent := 0
	for _, a := range attempts {
		switch {
		case a.Fate == Ran:
			return Evidence{Ran: true}
		case a.Fate == Ended && a.SilentBefore < slow:
			e.Ended++
		case a.fellSilent(slow, slow):
			silent++
			e.Silent = e.Silent || a.fellSilent(2*slow, slow)
		}
	}
	e.ManySilent = silent >= manySilent
	e.Silent = e.Silent || e.ManySilent
	e.EndedInTurn = endedInTurn(attempts, slow)
	return e
}

// endedInTurn returns how many upstreams ended that got the request after another was known to have ended, and the
// first. An upstream that was silent before does not count.
func endedInTurn(attempts []Attempt, slow time.Duration) (n int) {
	var known time.Duration // when the last one that counts was known to have ended
	for _, a := range slices.SortedFunc(slices.Values(attempts), func(a, b Attempt) int { return cmp.Compare(a.Sent, b.Sent) }) {
		if a.Fate == Ended && a.SilentBefore < slow && (n == 0 || a.Sent > known) {
			n++
			known = a.Until
		}
	}
	return n
}

// Losses returns the number of losses to report, at most SuspicionLimit. hears says that this VM hears of other
// upstreams. Upstreams that end at the same time, or fall silent, count as one: other requests run there too.
func (e Evidence) Losses(hears bool) int {
	if e.Ran {
		return 0
	}
	n := e.EndedInTurn
	if e.Silent && hears {
		n++
	}
	return min(n, SuspicionLimit)
}

// JudgeTrial returns the number of losses of a run on trial: one if an upstream may have run the request and did not
// reply. A trial without a result would else be followed by the next.
func JudgeTrial(attempts []Attempt) (losses int) {
	for _, a := range attempts {
		switch a.Fate {
		case Ran:
			return 0
		case Unknown, Ended:
			losses = 1
		case Lives:
		}
	}
	return losses
}

// JudgeShards returns, for a search of which some shards replied, the shards whose upstreams ended under it, and to
// which loss they belong: the nth holds those of which n more upstreams ended in turn. onTrial are the shards of which
// one was asked as a trial.
func JudgeShards(attempts []Attempt, slow time.Duration, onTrial []string) (losses [SuspicionLimit][]string) {
	byShard := map[string][]Attempt{}
	for _, a := range attempts {
		byShard[a.Shard] = append(byShard[a.Shard], a)
	}
	for _, shard := range slices.Sorted(maps.Keys(byShard)) {
		n := 0
		switch {
		case slices.ContainsFunc(byShard[shard], func(a Attempt) bool { return a.Fate == Ran }):
		case slices.Contains(onTrial, shard):
			n = JudgeTrial(byShard[shard])
		default:
			n = min(endedInTurn(byShard[shard], slow), SuspicionLimit)
		}
		for i := range n {
			losses[i] = append(losses[i], shard)
		}
	}
	return losses
}
