// Package backoff decides whether an upstream gets requests after what it said of itself in its
// replies: that it leaves, or that it wants none from this VM for a while. Times must come from a
// clock that advances while the VM is paused. The package is pure; the owner guards each State.
package backoff

import (
	"slices"
	"time"
)

// Verdict says whether a request may be sent.
type Verdict int

// The verdicts.
const (
	// Ready: requests may be sent.
	Ready Verdict = iota
	// Resting: the upstream asked this VM for a pause.
	Resting
	// Leaving: the upstream, or another VM that it replied to, said that it leaves.
	Leaving
)

// State is what one VM knows of one incarnation of an upstream. The zero value is Ready.
type State struct {
	leaving   bool
	restUntil time.Duration
}

// Leave records that the upstream leaves, which an incarnation never takes back. It reports whether
// that is new.
func (s *State) Leave() (changed bool) {
	changed = !s.leaving
	s.leaving = true
	return changed
}

// Rest records a refusal at now that asks for a pause. A pause under way is only extended: replies
// to requests that were under way may arrive in any order. It reports whether a pause begins.
func (s *State) Rest(now, pause time.Duration) (begins bool) {
	begins = pause > 0 && s.restUntil <= now
	s.restUntil = max(s.restUntil, now+pause)
	return begins
}

// Verdict returns whether a request may be sent at now, and how long the pause still lasts if the
// upstream rests.
func (s *State) Verdict(now time.Duration) (v Verdict, left time.Duration) {
	switch {
	case s.leaving:
		return Leaving, 0
	case s.restUntil > now:
		return Resting, s.restUntil - now
	default:
		return Ready, 0
	}
}

// UntilEnough returns how long it takes until at least need upstreams of those that rest take
// requests, by what is left of their pauses; 0 if no wait is enough.
func UntilEnough(need int, left []time.Duration) time.Duration {
	if need <= 0 || need > len(left) {
		return 0
	}
	left = slices.Sorted(slices.Values(left))
	return left[need-1]
}
