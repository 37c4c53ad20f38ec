package delegate

const (
	// readers is how many VMs read the platform's store for the others.
	readers = 2
	// relayFleet is the number of VMs from which on each availability zone has relays: with
	// fewer, a direct pull from a reader costs little and is a hop faster.
	relayFleet = 40
	// relaysPerZone allows for the loss of one relay.
	relaysPerZone = 2
)

// Sources says where a VM learns what the platform's store holds.
type Sources struct {
	// ReadsStore is set for a reader, which reads the store itself.
	ReadsStore bool
	// VMs are the VMs to pull from, in order of preference.
	VMs []string
	// Relayed is set if the first of VMs are relays, which pull from readers in turn.
	Relayed bool
}

// ChooseSources returns the sources of self. The VMs of largest capacity are the readers. In a
// large fleet, the others learn from two relays of their own zone, so that each change crosses
// zones a few times, not once for each VM, and no VM serves the whole fleet.
func ChooseSources(self VM, vms []VM) Sources {
	ranked := Rank(vms)
	var out Sources
	var other []string
	for _, vm := range ranked[:min(len(ranked), readers)] {
		switch {
		case vm.Name == self.Name:
			out.ReadsStore = true
		case vm.Zone == self.Zone:
			out.VMs = append(out.VMs, vm.Name)
		default:
			other = append(other, vm.Name)
		}
	}
	if relays, isRelay := relaysOf(self, ranked); len(vms) >= relayFleet && !isRelay {
		out.VMs, out.Relayed = append(relays, out.VMs...), len(relays) > 0
	}
	out.VMs = append(out.VMs, other...)
	return out
}

// relaysOf returns the relays of the zone of self that are no readers, and whether self is a
// reader or a relay.
func relaysOf(self VM, ranked []VM) (relays []string, isRelay bool) {
	for i, vm := range ranked {
		if i < readers {
			isRelay = isRelay || vm.Name == self.Name
			continue
		}
		if vm.Zone != self.Zone || len(relays) == relaysPerZone {
			continue
		}
		if vm.Name == self.Name {
			return nil, true
		}
		relays = append(relays, vm.Name)
	}
	return relays, isRelay
}

// directReaders is how many VMs on average read the store at a time when no reader is up to
// date. If a third of the VMs do not reach the store, at least one of eight does in all but
// 1 of 6,000 cases.
const directReaders = 8

// DirectReadChance returns the chance with which a VM of a fleet of vms VMs reads the store
// itself when no reader is up to date.
func DirectReadChance(vms int) float64 { return min(1, directReaders/float64(max(vms, 1))) }
