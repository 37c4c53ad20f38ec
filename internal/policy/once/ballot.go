package once

// Result is the state of a claimant's round of votes.
type Result int

// Results of a round.
const (
	// Open: the votes so far decide nothing and more may come.
	Open Result = iota
	// Won: a quorum granted its votes.
	Won
	// Lost: every guard has replied or failed to, without a quorum; the claimant must
	// release the votes.
	Lost
	// Known: a guard has a recorded outcome.
	Known
	// Reused: a guard knows the key with the fingerprint of another request.
	Reused
)

// Ballot counts the votes of one round of one claimant.
type Ballot struct {
	unknownVoters int
	members       map[string]bool
	asked         int
	counted       map[string]bool
	granted       int
	verdicts      map[Verdict]int
	holders       map[string]int
	outcome       string
}

// NewBallot returns an empty Ballot for a round that asks the given number of guards, where
// members are the voters that the claimant itself counts for the key.
func NewBallot(p Params, members []string, asked int) *Ballot {
	b := &Ballot{
		unknownVoters: p.UnknownVoters, members: make(map[string]bool), asked: asked,
		counted: make(map[string]bool), verdicts: make(map[Verdict]int), holders: make(map[string]int),
	}
	b.addMembers(members)
	return b
}

// Add counts a guard's vote, unless a vote or a NoReply of that guard was counted before.
// members are the voters that the guard counts for the key. If the vote is granted, they
// are added to the claimant's members, which may lack VMs that joined lately or left since
// the key's birth.
func (b *Ballot) Add(guard string, v Vote, members []string) {
	if b.counted[guard] {
		return
	}
	b.counted[guard] = true
	b.verdicts[v.Verdict]++
	switch v.Verdict {
	case Granted:
		b.granted++
		b.addMembers(members)
	case Held:
		b.holders[v.Holder]++
	case Recorded:
		if len(v.Outcome) > len(b.outcome) {
			b.outcome = v.Outcome
		}
	}
}

// NoReply records that a guard failed to reply.
func (b *Ballot) NoReply(guard string) { b.counted[guard] = true }

// Quorum returns the number of granted votes needed to win.
func (b *Ballot) Quorum() int { return Quorum(len(b.members), b.unknownVoters) }

func (b *Ballot) addMembers(members []string) {
	for _, m := range members {
		b.members[m] = true
	}
}

// Result returns the state of the round. A round is Lost or Reused only once every guard
// has replied or failed to, since any one of them may know the outcome. For the same reason
// an outcome that is recorded without its text makes the round Known only then.
func (b *Ballot) Result() Result {
	all := len(b.counted) >= b.asked
	switch {
	case b.verdicts[Recorded] > 0 && (all || b.outcome != ""):
		return Known
	case b.verdicts[Recorded] > 0:
		return Open
	case b.verdicts[Mismatch] > 0 && all:
		return Reused
	case b.verdicts[Mismatch] > 0:
		return Open
	case b.granted >= b.Quorum():
		return Won
	case all:
		return Lost
	}
	return Open
}

// Outcome returns the recorded outcome of a round that is Known.
func (b *Ballot) Outcome() string { return b.outcome }

// Count returns the number of guards that gave the verdict.
func (b *Ballot) Count(v Verdict) int { return b.verdicts[v] }

// Holder returns the other claimant that holds the most votes; "" if there is none.
func (b *Ballot) Holder() string {
	var holder string
	for h, n := range b.holders {
		if n > b.holders[holder] || n == b.holders[holder] && h < holder {
			holder = h
		}
	}
	return holder
}
