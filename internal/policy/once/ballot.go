package once

// Result says how a claimant's round stands.
type Result int

// Results of a round.
const (
	// Open: more votes are needed and may still come.
	Open Result = iota
	// Won: a quorum granted its votes.
	Won
	// Lost: a quorum can't be reached; the votes are given back.
	Lost
	// Known: a guard has the outcome.
	Known
	// Reused: a guard knows the key with another fingerprint.
	Reused
)

// Ballot counts the votes of one round of one claimant.
type Ballot struct {
	drift   int
	members map[string]bool
	asked   int
	voted   map[string]bool
	granted int
	count   map[Verdict]int
	holders map[string]int
	outcome string
}

// NewBallot returns the empty count of a round in which asked guards are asked
// and the claimant's own view counts the given members for the key.
func NewBallot(p Params, members []string, asked int) *Ballot {
	b := &Ballot{
		drift: p.Drift, members: make(map[string]bool), asked: asked,
		voted: make(map[string]bool), count: make(map[Verdict]int), holders: make(map[string]int),
	}
	b.know(members)
	return b
}

// Add counts a guard's vote once. Members are those that the guard counts for the
// key: the claimant may not know who joined lately, or left since the key's birth.
func (b *Ballot) Add(guard string, v Vote, members []string) {
	if b.voted[guard] {
		return
	}
	b.voted[guard] = true
	b.count[v.Verdict]++
	switch v.Verdict {
	case Granted:
		b.granted++
		b.know(members)
	case Held:
		b.holders[v.Holder]++
	case Recorded:
		if len(v.Outcome) > len(b.outcome) {
			b.outcome = v.Outcome
		}
	}
}

// Miss counts a guard that gave no answer.
func (b *Ballot) Miss(guard string) { b.voted[guard] = true }

// Need returns the votes needed.
func (b *Ballot) Need() int { return Quorum(len(b.members), b.drift) }

func (b *Ballot) know(members []string) {
	for _, m := range members {
		b.members[m] = true
	}
}

// Result returns how the round stands. A round is lost only once every guard
// has answered or failed to: any one of them may know the outcome.
func (b *Ballot) Result() Result {
	all := len(b.voted) >= b.asked
	switch {
	case b.count[Recorded] > 0 && (all || b.outcome != ""):
		return Known
	case b.count[Recorded] > 0:
		return Open
	case b.count[Mismatch] > 0 && all:
		return Reused
	case b.count[Mismatch] > 0:
		return Open
	case b.granted >= b.Need():
		return Won
	case all:
		return Lost
	}
	return Open
}

// Outcome returns the recorded outcome of a round that is Known.
func (b *Ballot) Outcome() string { return b.outcome }

// Count returns how many guards gave the verdict.
func (b *Ballot) Count(v Verdict) int { return b.count[v] }

// Holder returns the other claimant with most votes; empty where there is none.
func (b *Ballot) Holder() string {
	var holder string
	for h, n := range b.holders {
		if n > b.holders[holder] || n == b.holders[holder] && h < holder {
			holder = h
		}
	}
	return holder
}
