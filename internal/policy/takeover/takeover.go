// Package takeover bounds the attempts of a search that a second VM runs after the first one
// fell silent. The first VM reports which replicas it has used, so that both together send the
// request to no more replicas of a shard than it may reach. The package is pure; a Used is not
// safe for concurrent use.
package takeover

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// perShard is the most replicas that are recorded of a shard: most routes allow two attempts.
const perShard = 2

// Used records which replicas each shard of a search was sent to, by a hash of one byte each; 0
// stands for none. Nil means that nothing is known.
type Used []byte

// NewUsed returns a record of n shards without any replica.
func NewUsed(n int) Used { return make(Used, n*perShard) }

// Hash returns the hash of a replica's address, which is not 0.
func Hash(address string) byte { return byte(xxhash.Sum64String(address)%255) + 1 }

// Add records that a shard was sent to a replica, unless the record of the shard is full. A
// replica that is added twice counts twice, as another one of the same hash must.
func (u Used) Add(shard int, address string) {
	replicas := u[shard*perShard : (shard+1)*perShard]
	if i := slices.Index(replicas, 0); i >= 0 {
		replicas[i] = Hash(address)
	}
}

// At returns the replicas recorded for a shard.
func (u Used) At(shard int) []byte {
	if (shard+1)*perShard > len(u) {
		return nil
	}
	replicas := u[shard*perShard : (shard+1)*perShard]
	if i := slices.Index(replicas, 0); i >= 0 {
		return replicas[:i]
	}
	return replicas
}

// Shards returns how many shards were sent to a replica, as far as recorded.
func (u Used) Shards() (n int) {
	for i := range len(u) / perShard {
		if len(u.At(i)) > 0 {
			n++
		}
	}
	return n
}

// Allowance says what a VM may send that takes a shard over.
type Allowance struct {
	// Attempts is the number of replicas that it may use.
	Attempts int
	// Only lists the replicas that it may use, by hash; nil for any.
	Only []byte
	// Repeats is set if the shard may have received the request before.
	Repeats bool
}

// Allow returns the allowance for a shard of which at most maxAttempts replicas may run the
// request. maybeSent says that another VM may have sent it; known that used holds what that VM
// reported. Without a report, the shard counts as sent once. A full record may lack replicas, so
// only those in it may be used again.
func Allow(maxAttempts int, maybeSent, known bool, used []byte) Allowance {
	switch {
	case !maybeSent || known && len(used) == 0:
		return Allowance{Attempts: maxAttempts}
	case !known:
		return Allowance{Attempts: max(maxAttempts-1, 1), Repeats: true}
	case len(used) < min(maxAttempts, perShard):
		return Allowance{Attempts: maxAttempts - len(used), Repeats: true}
	default:
		return Allowance{Attempts: 1, Only: used, Repeats: true}
	}
}
