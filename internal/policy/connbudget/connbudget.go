// Package connbudget says how many connections a VM may open to one upstream, so
// that the fleet stays below the upstream's limit while VMs are replaced and while
// their views of the VM list differ. Its functions are pure.
package connbudget

import "github.com/cespare/xxhash/v2"

// UnknownFleet is the number of VMs assumed while the VM list is not known.
const UnknownFleet = 32

// marginDivisor sets the part of the fleet that a view may miss: one in four.
const marginDivisor = 4

// Margin returns how many VMs a view of n VMs may miss.
func Margin(n int) int {
	return (n + marginDivisor - 1) / marginDivisor
}

// Share returns the connections a VM may open to an upstream that accepts limit
// connections, where vms VMs may be alive. The sum over a fleet is at most limit
// as long as no view misses more than Margin VMs. It is 0 where the VMs outnumber
// the connections; Holds then says which VMs have one.
func Share(limit, vms int) int {
	if vms <= 0 {
		vms = UnknownFleet
	}
	return limit / (vms + Margin(vms))
}

// Cutoff returns how many VMs hold a connection each where VMs outnumber
// connections: fewer than limit, because views differ.
func Cutoff(limit, vms int) int {
	return limit * vms / (vms + 2*Margin(vms))
}

// Holds reports whether self is among the VMs that hold a connection to address:
// the first Cutoff members by rendezvous hash.
func Holds(limit int, address, self string, members []string) bool {
	cutoff := Cutoff(limit, len(members))
	own := weight(address, self)
	before := 0
	for _, m := range members {
		if m == self {
			continue
		}
		w := weight(address, m)
		if w > own || (w == own && m < self) {
			before++
		}
	}
	return before < cutoff
}

// Connections returns the connections self may open to address: its share, or one
// or none by rendezvous hash where the VMs outnumber the connections.
func Connections(limit, vms int, address, self string, members []string) int {
	share := Share(limit, vms)
	if share > 0 {
		return share
	}
	if len(members) < vms {
		return 0
	}
	if Holds(limit, address, self, members) {
		return 1
	}
	return 0
}

// First returns the member with the highest rendezvous weight for key.
func First(key string, members []string) string {
	var best string
	var bestWeight uint64
	for _, m := range members {
		w := weight(key, m)
		if best == "" || w > bestWeight || (w == bestWeight && m < best) {
			best, bestWeight = m, w
		}
	}
	return best
}

// weight is the rendezvous weight of a member for a key.
func weight(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(member)
	return d.Sum64()
}
