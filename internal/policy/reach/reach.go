// Package reach decides whether a VM reaches its upstreams at all. An upstream that is silent or
// refuses connections may be at fault itself; if every upstream that the VM tries is, the fault is
// the VM's own path to them. Passive evidence is only a suspicion: a VM may talk to few upstreams,
// all of which fail. A check decides, which opens connections to several others. Times must come
// from a clock that advances while the VM is paused. The package is pure; the owner guards each
// State.
package reach

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// silenceTime is how long no upstream replies, though something was sent to one,
	// until the VM checks. A single slow reply causes a check at most.
	silenceTime = 250 * time.Millisecond
	// minFailedDials is the number of upstreams to which connections failed, without one that was
	// opened since, from which on the VM checks.
	minFailedDials = 3
	// failedDialTTL is how long a failed connection counts.
	failedDialTTL = 5 * time.Second
	// checkInterval is the least time from one check to the next: while the VM reaches
	// upstreams, checks cost connections; while it does not, requests are passed on.
	checkInterval   = 400 * time.Millisecond
	recheckInterval = 500 * time.Millisecond
	// warningDelay is how long after a warning by another VM an upstream may reply until the VM checks:
	// a VM with requests of its own needs no check. warnedCheckInterval is the least time from a check to
	// one for a warning only: of many VMs that are cut off, each warns.
	warningDelay        = 100 * time.Millisecond
	warnedCheckInterval = time.Second
)

// State is what one VM knows of its path to the upstreams. The zero value is that of a VM that has just
// started: it counts as reaching them, and checks first.
type State struct {
	known   bool          // an upstream replied, or a check has ended
	askedAt time.Duration // of the first request or connection since an upstream replied; 0 for none
	// failed holds when connections to upstreams failed, since one was opened.
	failed    map[string]time.Duration
	warnedAt  time.Duration // of the first warning since an upstream replied or a check ended; 0 for none
	warnedBy  string        // the VM that gave that warning
	checkedAt time.Duration
	checking  bool
	stranded  bool
	since     time.Duration // when stranded changed
}

// Asked records that a request is sent to an upstream, or a connection opened, at now.
func (s *State) Asked(now time.Duration) {
	if s.askedAt == 0 {
		s.askedAt = now
	}
}

// Replied records that an upstream replied, or ended a connection that had carried a reply.
func (s *State) Replied() { s.known, s.askedAt, s.warnedAt, s.warnedBy = true, 0, 0, "" }

// Warned records at now that another VM, by, has lost its path to the upstreams. A VM without requests
// of its own would not notice that it has lost its path too.
func (s *State) Warned(now time.Duration, by string) {
	if s.warnedAt == 0 {
		s.warnedAt, s.warnedBy = now, by
	}
}

// WarnedBy returns the VM whose warning is not answered yet by a reply or a check; empty for none.
func (s *State) WarnedBy() string { return s.warnedBy }

// Connected records that a connection was opened.
func (s *State) Connected() {
	s.Replied()
	clear(s.failed)
}

// ConnectFailed records that no connection to an upstream could be opened.
func (s *State) ConnectFailed(now time.Duration, address string) {
	if s.failed == nil {
		s.failed = map[string]time.Duration{}
	}
	s.failed[address] = now
}

// Silent reports whether none of the upstreams that were sent something has replied for a while.
func (s *State) Silent(now time.Duration) bool {
	return s.askedAt > 0 && now-s.askedAt >= silenceTime
}

// Doubtful reports whether connections to so many upstreams failed that the VM should check soon.
func (s *State) Doubtful() bool { return !s.stranded && len(s.failed) >= minFailedDials }

// StartCheck reports whether the VM should check now; Checked or NotChecked follows.
func (s *State) StartCheck(now time.Duration) bool {
	interval := checkInterval
	if s.stranded {
		interval = recheckInterval
	}
	if s.checking || s.checkedAt > 0 && now-s.checkedAt < interval || !s.stranded && !s.suspicious(now) {
		return false
	}
	s.checking, s.checkedAt = true, now
	return true
}

// NotChecked ends a check that found no upstream to connect to.
func (s *State) NotChecked() { s.checking = false }

func (s *State) suspicious(now time.Duration) bool {
	for address, at := range s.failed {
		if now-at >= failedDialTTL {
			delete(s.failed, address)
		}
	}
	return !s.known || s.Silent(now) || len(s.failed) >= minFailedDials || s.warned(now)
}

// warned reports whether a warning is due to be checked.
func (s *State) warned(now time.Duration) bool {
	return s.warnedAt > 0 && now-s.warnedAt >= warningDelay && now-s.checkedAt >= warnedCheckInterval
}

// Checked records at now whether a check opened a connection. It reports whether the VM lost or
// regained the upstreams by that.
func (s *State) Checked(now time.Duration, connected bool) (changed bool) {
	s.checking, s.known, s.warnedAt, s.warnedBy = false, true, 0, ""
	if connected {
		s.Connected()
	}
	if s.stranded != connected {
		return false
	}
	s.stranded, s.since = !connected, now
	return true
}

// Stranded reports whether the VM reaches no upstream, and since when that or the opposite holds.
func (s *State) Stranded() (stranded bool, since time.Duration) { return s.stranded, s.since }

// Candidate is an upstream that a check may try to connect to.
type Candidate struct {
	Address, Zone string
	RepliedAt     time.Duration // 0 if it has not replied
}

// Sample returns the addresses of the upstreams that a check by vm tries to connect to, in this order:
// at most n, from as many zones as there are, first those that replied last. VMs that have heard of
// none, as after the start of a fleet, try different ones.
func Sample(n int, vm string, all []Candidate) []string {
	slices.SortFunc(all, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.RepliedAt, a.RepliedAt), cmp.Compare(weight(vm, a.Address), weight(vm, b.Address)))
	})
	var out, rest []string
	seen := map[string]bool{}
	for _, c := range all {
		if !seen[c.Zone] {
			seen[c.Zone] = true
			out = append(out, c.Address)
		} else {
			rest = append(rest, c.Address)
		}
	}
	out = append(out, rest...)
	return out[:min(n, len(out))]
}

func weight(vm, address string) uint64 { return xxhash.Sum64String(vm + "\x00" + address) }
