// Package drain decides whether an upstream may receive new work. Eligibility is a
// lease: it needs recent first-hand evidence that the upstream was not draining.
// All times are readings of a clock that runs while the VM is frozen. The package
// is pure; a State is guarded by its owner.
package drain

import "time"

// LeaseTTL is how long first-hand evidence that an upstream is not draining lasts.
const LeaseTTL = 2 * time.Second

// Verdict says whether new work may be sent.
type Verdict int

// Verdicts of a State.
const (
	// Expired: a probe has to renew the lease first.
	Expired Verdict = iota
	// Ready: the lease holds.
	Ready
	// Draining: the upstream itself or the manifest says that it is leaving.
	Draining
)

// String names the verdict in the status.
func (v Verdict) String() string {
	switch v {
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	default:
		return "expired"
	}
}

// State is what one VM knows of one upstream. The zero value knows nothing.
type State struct {
	manifest  bool
	marked    bool // by the upstream itself
	markedAt  time.Duration
	doubted   bool // by a peer
	doubtedAt time.Duration
	renewed   bool
	renewedAt time.Duration
}

// SetManifest tells whether the manifest in force says that the upstream is draining.
func (s *State) SetManifest(draining bool) { s.manifest = draining }

// Reply records a reply of the upstream itself. Its statement was made between
// sent and received: a draining one counts as made when it was received, and any
// other as made when its request was sent, so that it outweighs a mark only when
// it is surely the newer one. It reports whether the mark changed.
func (s *State) Reply(sent, received time.Duration, draining bool) bool {
	if draining {
		changed := !s.marked
		s.marked, s.renewed, s.doubted = true, false, false
		s.markedAt = max(s.markedAt, received)
		return changed
	}
	if s.marked && sent <= s.markedAt {
		return false
	}
	changed := s.marked
	s.marked = false
	if s.doubted && sent <= s.doubtedAt {
		return changed
	}
	s.doubted = false
	if !s.renewed || sent > s.renewedAt {
		s.renewed, s.renewedAt = true, sent
	}
	return changed
}

// Report records a peer's report of age at now. A report that the upstream drains
// ends the lease unless it was renewed since, so that this VM asks the upstream
// itself. A report of the contrary never renews the lease, since it may have been
// on its way for any time: it only withdraws what an older report said, and lets
// this VM ask a marked upstream again. It reports whether anything changed.
func (s *State) Report(now, age time.Duration, draining bool) bool {
	at := now - max(age, 0)
	if draining {
		if s.marked || (s.renewed && s.renewedAt > at) {
			return false
		}
		changed := !s.doubted
		s.doubted, s.renewed = true, false
		s.doubtedAt = max(s.doubtedAt, at)
		return changed
	}
	changed := false
	if s.marked && at > s.markedAt {
		s.marked, changed = false, true
	}
	if s.doubted && at > s.doubtedAt {
		s.doubted, changed = false, true
	}
	return changed
}

// Verdict says whether new work may be sent at now.
func (s *State) Verdict(now time.Duration) Verdict {
	switch {
	case s.manifest || s.marked:
		return Draining
	case s.renewed && now-s.renewedAt < LeaseTTL:
		return Ready
	default:
		return Expired
	}
}

// Left returns how long the lease still holds at now; 0 where it does not.
func (s *State) Left(now time.Duration) time.Duration {
	if s.Verdict(now) != Ready {
		return 0
	}
	return LeaseTTL - (now - s.renewedAt)
}

// Marked reports whether the upstream itself says that it drains.
func (s *State) Marked() bool { return s.marked }

// Doubted reports whether a peer says that the upstream drains.
func (s *State) Doubted() bool { return s.doubted }
