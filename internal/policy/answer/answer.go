// Package answer decides when a search is answered: now with what there is, later,
// or with an error. It keeps no state and has no locks.
package answer

import (
	"math"

	"github.com/sardinespindle/sardinespindle/schema/gen/manifest"
)

// SmallShare is the share of shards that a partial answer may leave out before
// its deadline, once waiting for them is worth little.
const SmallShare = 0.05

// State is what a search has reached.
type State struct {
	Trade   manifest.GrantTrade
	Minimum float64 // least share of shards, 0 to 1
	// Total shards of the snapshot's partition map, those covered, and those
	// that are not but may still be.
	Total, Covered, Open int
	// TimeUp says that the answer is due.
	TimeUp bool
	// Late says that each open shard is past the time in which nearly all replies
	// come, and has its hedge out where one could be sent.
	Late bool
}

// Verdict says what to do now.
type Verdict int

// Verdicts on a search.
const (
	// Wait for more replies.
	Wait Verdict = iota
	// Give the answer as it stands.
	Give
	// Refuse: the coverage is below what the caller accepts and cannot rise.
	Refuse
)

// Decide says what to do in state s.
func Decide(s State) Verdict {
	if s.Covered == s.Total && s.Total > 0 {
		return Give
	}
	need := Need(s)
	if s.Covered+s.Open < need {
		return Refuse
	}
	if s.TimeUp || s.Open == 0 {
		return final(s, need)
	}
	if s.Trade == manifest.GrantTradePartial && s.Covered >= need && worthLittle(s) {
		return Give
	}
	return Wait
}

// Early says what to do where an answer that states its true coverage is worth most
// while it is in time: it is given when it is complete, when nothing more will come, or
// when its time is up, if it covers enough. A search that is late is answered as soon as
// it covers enough.
func Early(s State) Verdict {
	need := Need(s)
	switch {
	case s.Covered == s.Total && s.Total > 0:
		return Give
	case s.Covered+s.Open < need:
		return Refuse
	case s.Covered >= need && (s.TimeUp || s.Open == 0):
		return Give
	}
	return Wait
}

// Need returns the least number of shards that an answer must cover; it is never
// 0, for an answer that covers nothing says nothing.
func Need(s State) int {
	if s.Trade == manifest.GrantTradeComplete {
		return max(1, s.Total)
	}
	const rounding = 1e-9
	return max(1, int(math.Ceil(s.Minimum*float64(s.Total)-rounding)))
}

func final(s State, need int) Verdict {
	if s.Covered >= need {
		return Give
	}
	return Refuse
}

func worthLittle(s State) bool { return s.Late && Few(s) }

// Few reports whether only a small share of the shards is missing.
func Few(s State) bool {
	return float64(s.Total-s.Covered) <= SmallShare*float64(s.Total)
}
