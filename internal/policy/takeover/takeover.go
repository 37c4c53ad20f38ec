// Package takeover bounds to which replicas of a shard a search is sent when several VMs run it
// one after another, because the sender of the search lost touch with the earlier ones. All of
// them together use no more replicas than may run the request, whichever messages between them
// are lost or late:
//   - The sender holds a Record of the replicas that each shard may have been sent to.
//   - A VM may send each shard to one replica of its choice without a message. It is counted as
//     Unknown, whether it was used or not.
//   - Before a VM uses a further replica, it announces all of the shard, and waits until the sender
//     has confirmed that it recorded them. A sender that has taken the search back confirms nothing.
//   - A VM that takes a search over announces each replica that the Record does not name.
//
// The package is pure. Its types are not safe for concurrent use.
package takeover

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Replica stands for the address of a replica.
type Replica uint16

// Unknown stands for a replica that only the VM that chose it knows.
const Unknown Replica = 0

// Hash returns the Replica of an address. With 65,535 values, two replicas of one shard
// practically never share one.
func Hash(address string) Replica { return Replica(xxhash.Sum64String(address)%65535) + 1 }

// HashShards returns a hash of the names of a search's shards in their order. VMs whose
// configurations list other shards must not use each other's records.
func HashShards(shards []string) int {
	d := xxhash.New()
	for _, s := range shards {
		_, _ = d.WriteString(s) // never fails
		_, _ = d.Write([]byte{0})
	}
	return int(d.Sum64() >> 32)
}

// Update lists shards with all replicas that the request of each may have been sent to: the
// shard's index, then Replicas. Shards that are not listed are unchanged.
type Update [][]int

// Record holds, by shard, the replicas that the request may have been sent to. Nil means none.
type Record [][]Replica

// NewRecord returns a record of n shards without replicas.
func NewRecord(n int) Record { return make(Record, n) }

// At returns the replicas of a shard.
func (r Record) At(shard int) []Replica {
	if shard >= len(r) {
		return nil
	}
	return r[shard]
}

// Sent reports whether any shard may have been sent.
func (r Record) Sent() bool {
	return slices.ContainsFunc(r, func(replicas []Replica) bool { return len(replicas) > 0 })
}

// Named returns how many shards have a replica that is not Unknown.
func (r Record) Named() (n int) {
	for _, replicas := range r {
		if slices.ContainsFunc(replicas, func(x Replica) bool { return x != Unknown }) {
			n++
		}
	}
	return n
}

// WithUnknown returns a record of n shards that has one more Unknown replica in each.
func (r Record) WithUnknown(n int) Record {
	out := NewRecord(n)
	for i := range out {
		out[i] = append(slices.Clone(r.At(i)), Unknown)
	}
	return out
}

// Select returns the record of the shards at the given indices; nil for none.
func (r Record) Select(shards []int) Record {
	if r == nil {
		return nil
	}
	out := NewRecord(len(shards))
	for i, shard := range shards {
		out[i] = r.At(shard)
	}
	return out
}

// Apply returns the record after an update; false if the update is malformed.
func (r Record) Apply(u Update) (Record, bool) {
	out := slices.Clone(r)
	for _, entry := range u {
		if len(entry) < 1 || entry[0] < 0 || entry[0] >= len(out) {
			return nil, false
		}
		replicas := make([]Replica, 0, len(entry)-1)
		for _, v := range entry[1:] {
			if v < 0 || v > int(^Replica(0)) {
				return nil, false
			}
			replicas = append(replicas, Replica(v))
		}
		out[entry[0]] = replicas
	}
	return out, true
}

// Update returns the update that turns an empty record into this one.
func (r Record) Update() Update {
	u := Update{}
	for i, replicas := range r {
		if len(replicas) > 0 {
			u = append(u, entry(i, replicas))
		}
	}
	return u
}

func entry(shard int, replicas []Replica) []int {
	e := []int{shard}
	for _, r := range replicas {
		e = append(e, int(r))
	}
	return e
}
