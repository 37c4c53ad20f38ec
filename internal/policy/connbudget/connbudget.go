// Package connbudget computes how many connections a VM may open to one upstream. While
// VMs are replaced, the VMs' views of the VM list differ. The fleet stays within the
// upstream's limit as long as each view misses at most Margin VMs. Where Share is 0, it must
// also miss at most limit-MaxHolders VMs. The functions are pure and may be called concurrently.
package connbudget

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// DefaultFleetSize is the number of VMs assumed while the VM list is not known.
const DefaultFleetSize = 32

// A view of n VMs may miss n/marginDivisor VMs, rounded up.
const marginDivisor = 4

// Margin returns how many VMs a view of n VMs may miss.
func Margin(n int) int {
	return (n + marginDivisor - 1) / marginDivisor
}

// Share returns the connections that a VM which knows of vms VMs may open to an upstream
// that accepts limit connections. The sum over the fleet is at most limit as long as no
// view misses more than Margin VMs. If Share is 0, there are too few connections for all
// VMs, and Holds chooses the VMs that get one.
func Share(limit, vms int) int {
	if vms <= 0 {
		vms = DefaultFleetSize
	}
	return limit / (vms + Margin(vms))
}

// MaxHolders returns how many VMs get one connection each where Share is 0: fewer
// than limit, since VMs with different views choose different holders.
func MaxHolders(limit, vms int) int {
	return limit * vms / (vms + 2*Margin(vms))
}

// Holds reports whether self is among the VMs that get a connection to address: the
// MaxHolders members with the highest rendezvous weights.
func Holds(limit int, address, self string, members []string) bool {
	return Rank(address, self, members) < MaxHolders(limit, len(members))
}

// Rank returns how many members other than self have a higher rendezvous weight for key.
func Rank(key, self string, members []string) (rank int) {
	ownWeight := weight(key, self)
	for _, m := range members {
		if m == self {
			continue
		}
		w := weight(key, m)
		if w > ownWeight || (w == ownWeight && m < self) {
			rank++
		}
	}
	return rank
}

// Top returns the n members with the highest rendezvous weights for key, or all if there are fewer.
func Top(key string, members []string, n int) []string {
	type weighted struct {
		name   string
		weight uint64
	}
	ranked := make([]weighted, len(members))
	for i, m := range members {
		ranked[i] = weighted{m, weight(key, m)}
	}
	slices.SortFunc(ranked, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
	})
	out := make([]string, min(n, len(ranked)))
	for i := range out {
		out[i] = ranked[i].name
	}
	return out
}

// Connections returns the connections that self may open to address: its Share or, where
// that is 0, one or none according to Holds. If Share is 0 and members lists fewer than
// vms VMs, self gets none.
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

// Holders returns the members for which Connections is above 0 at an upstream that accepts too few
// connections for all; nil if it accepts enough, or if no member gets one.
func Holders(limit, vms int, address string, members []string) []string {
	if Share(limit, vms) > 0 || len(members) < vms {
		return nil
	}
	return Top(address, members, MaxHolders(limit, len(members)))
}

// Highest returns the member with the highest rendezvous weight for key.
func Highest(key string, members []string) string {
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

// weight returns the rendezvous weight of a member for a key.
func weight(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(member)
	return d.Sum64()
}
