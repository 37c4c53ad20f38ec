package liveness

import "strings"

// Prefixes of the incarnations of VMs, by what their builds do. Each fact and the first message of a
// connection carry the incarnation of their VM. Builds up to 94f0cb4 draw one without a prefix.
const (
	// byVersionPrefix is that of VMs that run a delegated request by the version of the configuration that
	// it names, and say in the reply by which they did. Earlier builds run it by their own.
	byVersionPrefix = "2-"
	// evacuationsPrefix is that of VMs that also send nothing to the upstreams of evacuated zones. Earlier
	// builds ignore evacuations. It begins with byVersionPrefix, which the build before compares with.
	evacuationsPrefix = byVersionPrefix + "3-"
)

// NewIncarnation returns the incarnation of a process that has drawn the given random text.
func NewIncarnation(random string) string { return evacuationsPrefix + random }

// RunsByVersion reports whether the VM with an incarnation runs a delegated request by the version that
// the request names.
func RunsByVersion(incarnation string) bool { return strings.HasPrefix(incarnation, byVersionPrefix) }

// KnowsEvacuations reports whether the VM with an incarnation sends nothing to evacuated zones.
func KnowsEvacuations(incarnation string) bool {
	return strings.HasPrefix(incarnation, evacuationsPrefix)
}
