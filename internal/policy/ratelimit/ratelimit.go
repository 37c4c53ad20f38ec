// Package ratelimit divides the rate of requests that an upstream in need takes from all VMs
// together. Each VM that may send to it gets an equal share, computed from the names of these VMs;
// no message precedes a request. The limit is the fleet's, so a VM that the upstream told tells the
// others, and the newest word counts, whichever VM heard it. Times must come from a clock that
// advances while the VM is paused. The package is pure; the owner guards each State.
package ratelimit

import (
	"math"
	"slices"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/policy/connbudget"
)

const (
	// holderTime bounds the VMs that share a limit: so many that one request of each is what the
	// upstream takes in this time. All of them may send one at the same moment.
	holderTime = time.Second
	// burstTime is the time whose share a VM may send at once, if that is more than one request.
	burstTime = 250 * time.Millisecond
	// tellChange is the relative change of a limit that the fleet is told.
	tellChange = 0.1
	// tellInterval is how often the fleet is told a limit that lasts, for VMs that started since.
	tellInterval = 20 * time.Second
)

// Share returns the requests a second that self may send to an upstream at address that takes
// perSecond, where senders are all VMs that may send to it; 0 if self may send none. If the limit
// is too low for all of them, some hold it, chosen by rendezvous hashing. While self knows no other
// sender, it assumes connbudget.DefaultFleetSize.
func Share(perSecond float64, address, self string, senders []string) float64 {
	switch {
	case len(senders) == 0, len(senders) == 1 && senders[0] == self:
		return perSecond / connbudget.DefaultFleetSize
	case !slices.Contains(senders, self):
		return 0
	}
	n := holders(perSecond, len(senders))
	if connbudget.Rank(address, self, senders) >= n {
		return 0
	}
	return perSecond / float64(n)
}

// holders returns how many of the given number of senders share a limit.
func holders(perSecond float64, senders int) int {
	return min(max(1, int(perSecond*holderTime.Seconds())), senders)
}

// Holders returns the senders whose Share of a limit is not 0.
func Holders(perSecond float64, address string, senders []string) []string {
	return connbudget.Top(address, senders, holders(perSecond, len(senders)))
}

// State is what one VM knows of the limit of one incarnation of an upstream, and how many requests
// it may send there now. The zero value has no limit.
type State struct {
	perSecond float64       // 0 for none
	heardAt   time.Duration // when a VM heard that from the upstream; 0 if none has
	toldAt    time.Duration // when the fleet was told last
	told      float64       // what it was told

	share      float64 // of this VM, in requests a second
	tokens     float64
	refilledAt time.Duration
}

// PerSecond returns the limit; 0 for none.
func (s *State) PerSecond() float64 { return s.perSecond }

// Share returns the share of this VM in requests a second.
func (s *State) Share() float64 { return s.share }

// Replied records what the reply to a request that was sent at sentAt and replied to at now names:
// a limit, or 0 for none. A reply to a request that was sent before the limit was last heard may be
// older than that. It reports whether the limit changed by enough to tell the fleet.
func (s *State) Replied(sentAt, now time.Duration, perSecond float64) (changed bool) {
	if perSecond == 0 && (s.perSecond == 0 || sentAt < s.heardAt) {
		return false
	}
	return s.set(now, perSecond)
}

// Told records what another VM told the fleet at a time, and reports whether the limit changed by
// enough to tell the fleet.
func (s *State) Told(at time.Duration, perSecond float64) (changed bool) {
	if at > s.toldAt {
		s.toldAt, s.told = at, perSecond
	}
	if at <= s.heardAt {
		return false
	}
	return s.set(at, perSecond)
}

func (s *State) set(at time.Duration, perSecond float64) (changed bool) {
	changed = differs(s.perSecond, perSecond)
	s.perSecond, s.heardAt = perSecond, at
	return changed
}

// TellDue reports whether the fleet should be told at now what this VM knows.
func (s *State) TellDue(now time.Duration) bool {
	if differs(s.perSecond, s.told) {
		return true
	}
	return s.perSecond > 0 && now-s.toldAt >= tellInterval
}

// RecordTold records that this VM tells the fleet at now.
func (s *State) RecordTold(now time.Duration) { s.toldAt, s.told = now, s.perSecond }

// differs reports whether two limits differ by enough to tell the fleet.
func differs(a, b float64) bool {
	return (a == 0) != (b == 0) || math.Abs(a-b) > tellChange*max(a, b)
}

// SetShare sets the share of this VM at now, see Share. The first request of a share that begins may
// be sent after a random part, phase, of the time that the share takes for one: the VMs learn of a
// limit at about the same time.
func (s *State) SetShare(now time.Duration, share, phase float64) {
	s.refill(now)
	if s.share == 0 {
		s.tokens = 1 - phase
	}
	s.share = share
	s.tokens = min(s.tokens, s.burst())
}

// burst returns how many requests may be sent at once.
func (s *State) burst() float64 { return max(1, s.share*burstTime.Seconds()) }

func (s *State) refill(now time.Duration) {
	if now > s.refilledAt {
		s.tokens = min(s.tokens+s.share*(now-s.refilledAt).Seconds(), s.burst())
		s.refilledAt = now
	}
}

// Wait returns how long it takes from now until this VM may send a request; 0 if it may now. If it
// has no share, that is the time in which the upstream takes one from any VM.
func (s *State) Wait(now time.Duration) time.Duration {
	switch {
	case s.perSecond == 0:
		return 0
	case s.share == 0:
		return seconds(1 / s.perSecond)
	}
	s.refill(now)
	return max(0, seconds((1-s.tokens)/s.share))
}

// Take takes one request from the share at now, if there is a limit. It reports whether one was
// taken, and false for ok if none may be sent.
func (s *State) Take(now time.Duration) (taken, ok bool) {
	if s.perSecond == 0 {
		return false, true
	}
	if s.Wait(now) > 0 {
		return false, false
	}
	s.tokens--
	return true, true
}

// Return returns a request that was taken and not sent.
func (s *State) Return() { s.tokens = min(s.tokens+1, s.burst()) }

// maxWait is longer than any request waits, and fits a time.Duration.
const maxWait = 24 * time.Hour

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxWait.Seconds()) * float64(time.Second))
}
