package replica

import "time"

const (
	// zoneFailures is how many attempts in a row a zone's upstreams leave unanswered
	// until the whole zone is suspect.
	zoneFailures = 4
	// zoneProbe is the interval at which one upstream of a suspect zone is probed.
	zoneProbe = 500 * time.Millisecond
)

// Zone is what one VM knows of the upstreams of one availability zone together. A
// zone that is cut off is seen after a few attempts, where each of its replicas would
// have to fail by itself. The zero value knows nothing.
type Zone struct {
	failures int
	probedAt time.Duration
}

// Answered records a reply of any upstream of the zone.
func (z *Zone) Answered() { z.failures = 0 }

// Failed records an attempt that none answered.
func (z *Zone) Failed() { z.failures++ }

// Suspect reports whether the zone's replicas come last, as suspect ones do.
func (z *Zone) Suspect() bool { return z.failures >= zoneFailures }

// ProbeDue reports whether an upstream of a suspect zone should be probed at now, and
// notes that it is.
func (z *Zone) ProbeDue(now time.Duration) bool {
	if !z.Suspect() || now-z.probedAt < zoneProbe {
		return false
	}
	z.probedAt = now
	return true
}
