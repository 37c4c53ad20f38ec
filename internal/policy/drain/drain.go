// Package drain decides whether an upstream may receive new work. Eligibility is a lease:
// it needs a recent reply in which the upstream itself was not draining. All times must
// come from a clock that advances while the VM is paused. The package does no I/O and
// takes no locks; the owner guards each State.
package drain

import "time"

// LeaseTTL is how long a reply that is not draining keeps an upstream eligible, measured
// from the time its request was sent.
const LeaseTTL = 2 * time.Second

// Verdict says whether new work may be sent.
type Verdict int

// Verdicts of a State.
const (
	// Expired: there is no lease; a probe has to renew it first.
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
	manifest   bool // drains by the manifest in force
	draining   bool // drains by its own replies
	drainingAt time.Duration
	reported   bool // drains by a peer's report
	reportedAt time.Duration
	renewed    bool // has a lease, which started at renewedAt
	renewedAt  time.Duration
}

// SetManifest sets whether the manifest in force marks the upstream as draining.
func (s *State) SetManifest(draining bool) { s.manifest = draining }

// Reply records a reply of the upstream itself, which states at some moment between sent
// and received whether it drains. A draining reply is dated at received, any other at
// sent: so a reply ends a drain only if it was certainly stated after the draining one.
// Reply reports whether the upstream's own draining state changed.
func (s *State) Reply(sent, received time.Duration, draining bool) bool {
	if draining {
		changed := !s.draining
		s.draining, s.renewed, s.reported = true, false, false
		s.drainingAt = max(s.drainingAt, received)
		return changed
	}
	if s.draining && sent <= s.drainingAt {
		return false
	}
	changed := s.draining
	s.draining = false
	if s.reported && sent <= s.reportedAt {
		return changed
	}
	s.reported = false
	if !s.renewed || sent > s.renewedAt {
		s.renewed, s.renewedAt = true, sent
	}
	return changed
}

// Report records a peer's report, received at now, that was age old when it was sent. A
// report of a drain ends a lease that was not renewed after it, so that this VM probes the
// upstream itself. A report that the drain ended never renews the lease, since it may have
// been in transit for any time: it withdraws older evidence of a drain, so that the
// upstream is probed again. Report reports whether anything changed.
func (s *State) Report(now, age time.Duration, draining bool) bool {
	at := now - max(age, 0)
	if draining {
		if s.draining || (s.renewed && s.renewedAt > at) {
			return false
		}
		changed := !s.reported
		s.reported, s.renewed = true, false
		s.reportedAt = max(s.reportedAt, at)
		return changed
	}
	changed := false
	if s.draining && at > s.drainingAt {
		s.draining, changed = false, true
	}
	if s.reported && at > s.reportedAt {
		s.reported, changed = false, true
	}
	return changed
}

// Verdict returns whether new work may be sent at now.
func (s *State) Verdict(now time.Duration) Verdict {
	switch {
	case s.manifest || s.draining:
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

// SelfReported reports whether the upstream itself said that it drains, and neither it nor a
// peer has said otherwise since.
func (s *State) SelfReported() bool { return s.draining }

// PeerReported reports whether a peer says that the upstream drains and no reply of the
// upstream has settled it since.
func (s *State) PeerReported() bool { return s.reported }
