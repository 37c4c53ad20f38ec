// Package answer decides whether a search is answered now with the shards covered so
// far, waits for more replies, or fails. It keeps no state, so its functions may be
// called concurrently.
package answer

import (
	"math"

	"github.com/sardinespindle/sardinespindle/schema/gen/manifest"
)

// SmallShare is the share of missing shards up to which a partial answer is sent before its
// time is up, once all pending shards are late.
const SmallShare = 0.05

// State is the progress of a search.
type State struct {
	Trade   manifest.GrantTrade
	Minimum float64 // minimum share of shards, 0 to 1
	// Total counts the shards of the snapshot's partition map, Covered those with a
	// reply, and Pending those without one that may still get it.
	Total, Covered, Pending int
	// TimeUp is set once the answer is due.
	TimeUp bool
	// AllLate is set when each pending shard has been hedged, or has found no replica for a
	// hedge, and the time in which nearly all hedges get a reply has passed since.
	AllLate bool
}

// Verdict is what to do with a search now.
type Verdict int

// Verdicts on a search.
const (
	// Wait for more replies.
	Wait Verdict = iota
	// Send: answer with the shards covered so far.
	Send
	// Fail: too few shards are covered, and enough cannot be covered in time.
	Fail
)

// Decide returns the verdict for a search that must not wait once its time is up.
func Decide(s State) Verdict {
	if s.Covered == s.Total && s.Total > 0 {
		return Send
	}
	need := MinShards(s)
	if s.Covered+s.Pending < need {
		return Fail
	}
	if s.TimeUp || s.Pending == 0 {
		return finalVerdict(s, need)
	}
	if s.Trade == manifest.GrantTradePartial && s.Covered >= need && fewMissingAllLate(s) {
		return Send
	}
	return Wait
}

// DecideAllowLate returns the verdict for a search that may also be answered late, when the
// answer is worth less. The search is answered when it is complete, or when it
// covers enough and either its time is up or no shard is pending.
func DecideAllowLate(s State) Verdict {
	need := MinShards(s)
	switch {
	case s.Covered == s.Total && s.Total > 0:
		return Send
	case s.Covered+s.Pending < need:
		return Fail
	case s.Covered >= need && (s.TimeUp || s.Pending == 0):
		return Send
	}
	return Wait
}

// MinShards returns the least number of shards that an answer must cover. It is at least 1,
// since an answer without any shard is of no use.
func MinShards(s State) int {
	if s.Trade == manifest.GrantTradeComplete {
		return max(1, s.Total)
	}
	const rounding = 1e-9
	return max(1, int(math.Ceil(s.Minimum*float64(s.Total)-rounding)))
}

func finalVerdict(s State, need int) Verdict {
	if s.Covered >= need {
		return Send
	}
	return Fail
}

func fewMissingAllLate(s State) bool { return s.AllLate && FewMissing(s) }

// FewMissing reports whether at most SmallShare of the shards is missing.
func FewMissing(s State) bool {
	return float64(s.Total-s.Covered) <= SmallShare*float64(s.Total)
}
