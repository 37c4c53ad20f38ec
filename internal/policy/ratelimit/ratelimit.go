// Package ratelimit divides the rate of requests that an upstream in need takes from all VMs
// together. Each VM that may send to it gets an equal share, computed from the names of these VMs;
// no message precedes a request. The limit is the fleet's: a VM that gets a reply with a limit announces
// it to the others, and the newest reply counts, whichever VM got it. The same shares bound what an upstream
// that is cold gets in any second, see Bound. Times must come from a clock that
// advances while the VM is paused. The package is pure; the owner guards each State.
package ratelimit

import (
	"math"
	"slices"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/policy/connbudget"
)

const (
	// holderTime and moreHolders bound the VMs that share a limit: one request of each is what the upstream
	// takes in holderTime, and moreHolders. All of them may send one at the same moment.
	holderTime  = 2 * time.Second
	moreHolders = 5
	// longestTurn is the longest time that a share takes for one request, unless the limit itself takes longer.
	longestTurn = 4 * time.Second
	// A VM that knows few senders divides a limit by fewSenders times as many; one that knows more, by manySenders
	// times as many and unseenSenders, until that is no more than it knows.
	fewSenders, manySenders, unseenSenders = 1.5, 0.92, 2
	// burstTime is the time whose share a VM may send at once, if that is more than one request.
	burstTime = 250 * time.Millisecond
	// spareTime is how long after the next request may be sent the share goes on to add up.
	spareTime = 100 * time.Millisecond
	// announceChange is the relative change of a limit that is announced.
	announceChange = 0.1
	// announceInterval is how often a limit that lasts is announced, for VMs that started since.
	announceInterval = 20 * time.Second
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
	if connbudget.Rank(address, self, senders) >= holders(perSecond, len(senders)) {
		return 0
	}
	return perSecond / min(float64(mostHolders(perSecond)), fleetSize(len(senders)))
}

// mostHolders returns how many senders share a limit if there are enough. VMs whose views differ choose
// different holders; the more hold a limit, the less the sum of their shares varies.
func mostHolders(perSecond float64) int {
	return max(1, min(int(perSecond*holderTime.Seconds())+moreHolders, int(perSecond*longestTurn.Seconds())))
}

// holders returns how many of the given number of senders share a limit.
func holders(perSecond float64, senders int) int {
	return min(mostHolders(perSecond), senders)
}

// fleetSize returns the number of VMs that a VM which knows the given number of senders divides a limit by.
// A view that misses each VM with a chance of a quarter misses far more in some small fleets; in large ones
// the sum of all shares grows by no more than viewGrowth.
func fleetSize(senders int) float64 {
	n := float64(senders)
	return max(n, min(fewSenders*n, manySenders*n+unseenSenders))
}

// Holders returns the senders whose Share of a limit is not 0.
func Holders(perSecond float64, address string, senders []string) []string {
	return connbudget.Top(address, senders, holders(perSecond, len(senders)))
}

// State is what one VM knows of the limit of one incarnation of an upstream, and how many requests
// it may send there now. The zero value has no limit.
type State struct {
	perSecond   float64       // 0 for none
	confirmedAt time.Duration // when a reply with perSecond arrived, or another VM announced it; 0 for none

	announcedAt time.Duration // of the last announcement by any VM
	announced   float64       // the limit in it

	share      float64 // of this VM, in requests a second
	tokens     float64
	refilledAt time.Duration

	cold *cold // nil if the upstream has no Bound
}

// PerSecond returns the limit; 0 for none.
func (s *State) PerSecond() float64 { return s.perSecond }

// Share returns the share of this VM in requests a second.
func (s *State) Share() float64 { return s.share }

// Replied records what the reply to a request that was sent at sentAt and replied to at now names:
// a limit, or 0 for none. A reply to a request that was sent before the limit was last confirmed
// may be older. It reports whether the limit changed by enough to announce it.
func (s *State) Replied(sentAt, now time.Duration, perSecond float64) (changed bool) {
	if perSecond == 0 && (s.perSecond == 0 || sentAt < s.confirmedAt) {
		return false
	}
	return s.set(now, perSecond)
}

// Announced records the limit that another VM announced at a time, and reports whether the limit changed
// by enough to announce it.
func (s *State) Announced(at time.Duration, perSecond float64) (changed bool) {
	if at > s.announcedAt {
		s.announcedAt, s.announced = at, perSecond
	}
	if at <= s.confirmedAt {
		return false
	}
	return s.set(at, perSecond)
}

func (s *State) set(at time.Duration, perSecond float64) (changed bool) {
	changed = differs(s.perSecond, perSecond)
	s.perSecond, s.confirmedAt = perSecond, at
	return changed
}

// AnnounceDue reports whether this VM should announce the limit at now.
func (s *State) AnnounceDue(now time.Duration) bool {
	if differs(s.perSecond, s.announced) {
		return true
	}
	return s.perSecond > 0 && now-s.announcedAt >= announceInterval
}

// RecordAnnounced records that this VM announces the limit at now.
func (s *State) RecordAnnounced(now time.Duration) { s.announcedAt, s.announced = now, s.perSecond }

// differs reports whether two limits differ by enough to announce the newer one.
func differs(a, b float64) bool {
	return (a == 0) != (b == 0) || math.Abs(a-b) > announceChange*max(a, b)
}

// SetShare sets the share of this VM at now, see Share. The first request of a share that begins may
// be sent after a random part, phase, of the time that the share takes for one: the VMs receive a
// limit at about the same time.
func (s *State) SetShare(now time.Duration, share, phase float64) {
	s.refill(now)
	if s.share == 0 {
		s.tokens = 1 - phase
	}
	if share != s.share {
		s.share = share
		s.tokens = min(s.tokens, max(1, share*burstTime.Seconds()))
	}
}

// burst returns how many requests may be sent at once.
func (s *State) burst() float64 {
	return max(1+s.share*spareTime.Seconds(), s.share*burstTime.Seconds())
}

func (s *State) refill(now time.Duration) {
	if now > s.refilledAt {
		s.tokens = min(s.tokens+s.share*(now-s.refilledAt).Seconds(), s.burst())
		s.refilledAt = now
	}
}

// Wait returns how long it takes from now until this VM may send a request; 0 if it may now. If it
// has no share, that is the time in which the upstream takes one from any VM. A cold upstream that
// names a limit gets no more than the lower of both allows.
func (s *State) Wait(now time.Duration) time.Duration {
	return max(s.limitWait(now), s.coldWait(now))
}

func (s *State) limitWait(now time.Duration) time.Duration {
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
	if s.Wait(now) > 0 {
		return false, false
	}
	if s.cold != nil {
		s.cold.sent.add(now)
	}
	if s.perSecond == 0 {
		return false, true
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
