// Package drain decides whether an upstream may receive new work. Eligibility is a lease:
// it needs a recent reply of the upstream itself that says that it does not drain. All
// times must come from a clock that advances while the VM is paused. The package does no
// I/O and takes no locks; the owner guards each State.
package drain

import "time"

// LeaseTTL is how long an upstream stays eligible after it replied that it does not drain,
// measured from the time at which the request was sent.
const LeaseTTL = 2 * time.Second

// Verdict says whether new work may be sent.
type Verdict int

// Verdicts of a State.
const (
	// Expired: there is no valid lease; a probe has to start one first.
	Expired Verdict = iota
	// Ready: the lease is valid.
	Ready
	// Draining: the upstream itself or the manifest says that it drains.
	Draining
)

// String returns the verdict's name as the status API shows it.
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

// State holds what one VM knows of one upstream's drain. The zero value is Expired.
type State struct {
	manifest       bool // drains by the manifest in force
	selfReported   bool
	selfReportedAt time.Duration
	peerReported   bool
	peerReportedAt time.Duration
	renewed        bool // a lease started at renewedAt and no later drain has ended it
	renewedAt      time.Duration
}

// SetManifest sets whether the manifest in force marks the upstream as draining.
func (s *State) SetManifest(draining bool) { s.manifest = draining }

// Reply records whether the upstream itself says that it drains. The upstream determined
// that at some moment between sent and received. A drain is dated at received and the
// absence of one at sent, so that a drain is ended only by a reply that was certainly
// determined later. Reply reports whether the self-reported state changed.
func (s *State) Reply(sent, received time.Duration, draining bool) bool {
	if draining {
		changed := !s.selfReported
		s.selfReported, s.renewed, s.peerReported = true, false, false
		s.selfReportedAt = max(s.selfReportedAt, received)
		return changed
	}
	if s.selfReported && sent <= s.selfReportedAt {
		return false
	}
	changed := s.selfReported
	s.selfReported = false
	if s.peerReported && sent <= s.peerReportedAt {
		return changed
	}
	s.peerReported = false
	if !s.renewed || sent > s.renewedAt {
		s.renewed, s.renewedAt = true, sent
	}
	return changed
}

// Report records a peer's report, received at now, that was age old when it was sent. A
// report of a drain ends a lease that started before the reported drain, so that this
// VM probes the upstream itself. A report that the drain ended withdraws older evidence of
// the drain, so that the upstream is probed again. A report never renews the lease, since
// it may have been in transit for any time. Report reports whether anything changed.
func (s *State) Report(now, age time.Duration, draining bool) bool {
	at := now - max(age, 0)
	if draining {
		if s.selfReported || (s.renewed && s.renewedAt > at) {
			return false
		}
		changed := !s.peerReported
		s.peerReported, s.renewed = true, false
		s.peerReportedAt = max(s.peerReportedAt, at)
		return changed
	}
	changed := false
	if s.selfReported && at > s.selfReportedAt {
		s.selfReported, changed = false, true
	}
	if s.peerReported && at > s.peerReportedAt {
		s.peerReported, changed = false, true
	}
	return changed
}

// Verdict returns whether new work may be sent at now.
func (s *State) Verdict(now time.Duration) Verdict {
	switch {
	case s.manifest || s.selfReported:
		return Draining
	case s.renewed && now-s.renewedAt < LeaseTTL:
		return Ready
	default:
		return Expired
	}
}

// LeaseLeft returns how long the lease remains valid at now; 0 if there is none.
func (s *State) LeaseLeft(now time.Duration) time.Duration {
	if s.Verdict(now) != Ready {
		return 0
	}
	return LeaseTTL - (now - s.renewedAt)
}

// SelfReported reports whether the upstream itself said that it drains, and neither it nor
// a peer has said otherwise since.
func (s *State) SelfReported() bool { return s.selfReported }

// PeerReported reports whether a peer said that the upstream drains, the upstream itself
// has said nothing newer, and no peer has reported the end of the drain since. It is false
// while SelfReported is true.
func (s *State) PeerReported() bool { return s.peerReported }
