package replica

import "time"

const (
	// zoneSuspectFailures is the number of failed attempts in a row at a zone's upstreams
	// after which the whole zone is suspect.
	zoneSuspectFailures = 4
	// zoneProbeInterval is the interval at which one upstream of a suspect zone is probed.
	zoneProbeInterval = 500 * time.Millisecond
)

// Zone is what one VM has observed of the upstreams of one availability zone together. A few
// failed attempts show that a zone is cut off, before each of its replicas has failed. The
// zero value has no observations.
type Zone struct {
	failures int
	probedAt time.Duration
}

// Replied records a reply of any upstream of the zone.
func (z *Zone) Replied() { z.failures = 0 }

// Failed records an attempt that got no reply from an upstream of the zone.
func (z *Zone) Failed() { z.failures++ }

// Suspect reports whether the zone's replicas are to be treated as suspect.
func (z *Zone) Suspect() bool { return z.failures >= zoneSuspectFailures }

// ProbeDue reports whether an upstream of a suspect zone should be probed at now. If so,
// it records now as the time of the last probe.
func (z *Zone) ProbeDue(now time.Duration) bool {
	if !z.Suspect() || now-z.probedAt < zoneProbeInterval {
		return false
	}
	z.probedAt = now
	return true
}
