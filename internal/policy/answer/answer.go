// Package answer decides whether a search is answered now with the shards covered so
// far, waits for more replies, or fails. It keeps no state, so its functions may be
// called concurrently.
package answer

import (
	"math"

	"github.com/sardinespindle/sardinespindle/schema/gen/manifest"
)

// SmallShare is the largest share of shards that a partial answer may leave out before
// its time is up, once all of them are late.
const SmallShare = 0.05

// State is the progress of a search.
type State struct {
	Trade   manifest.GrantTrade
	Minimum float64 // minimum share of shards, 0 to 1
	// Total counts the shards of the snapshot's partition map, Covered those with a
	// reply, and Open those without one that may still get it.
	Total, Covered, Open int
	// TimeUp is set once the answer is due.
	TimeUp bool
	// Late is set when each open shard was hedged, if possible, long enough ago that nearly
	// all hedges would have got a reply.
	Late bool
}

// Verdict is what to do with a search now.
type Verdict int

// Verdicts on a search.
const (
	// Wait for more replies.
	Wait Verdict = iota
	// Give: answer with the shards covered so far.
	Give
	// Refuse: fail, as the coverage is below the minimum share and cannot reach it in time.
	Refuse
)

// Decide returns the verdict for a search that must not wait once its time is up.
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
	if s.Trade == manifest.GrantTradePartial && s.Covered >= need && restNegligible(s) {
		return Give
	}
	return Wait
}

// Early returns the verdict for a search that may also be answered late, at a lower value.
// It is answered when it is complete, or when it covers enough and either its time is up
// or no shard is open. Once its time is up, it is answered as soon as it covers enough.
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

// Need returns the least number of shards that an answer must cover. It is at least 1,
// since an answer without any shard is of no use.
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

func restNegligible(s State) bool { return s.Late && Few(s) }

// Few reports whether at most SmallShare of the shards is missing.
func Few(s State) bool {
	return float64(s.Total-s.Covered) <= SmallShare*float64(s.Total)
}
