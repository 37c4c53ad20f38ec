// Package once decides who may run a non-idempotent request: at most one
// claimant for each idempotency key wins the votes of a quorum of guards. It
// holds the guard's state machine, the claimant's count of votes, the record of
// VMs seen listed, and the rule that says when "not run" is true. It is pure:
// time comes as an argument, outcomes go back as values, and it takes no locks.
package once

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"
)

// Params are the bounds that the decisions rest on.
type Params struct {
	// FutureSkew is how far ahead of a guard's clock a key's birth may lie.
	FutureSkew time.Duration
	// ClockSkew bounds the difference between the clocks of any two VMs.
	ClockSkew time.Duration
	// Drift is how many voters may be unknown to all guards of a quorum: processes
	// that run on under a name that the platform gave to another.
	Drift int
	// Linger is how long a VM that vanished without a word still counts as a voter.
	Linger time.Duration
	// MaxListAge is the age of the VM list from which a guard votes no more. It is
	// less than Linger, so that a guard cut off from the platform has stopped voting
	// before the others stop counting it.
	MaxListAge time.Duration
	// BootWait is how long VMs that meet no quorum of voters wait before they vote
	// by agreement of all of them. MaxListAge excludes a former fleet that runs on
	// unseen; 0 lets a new fleet start at once.
	BootWait time.Duration
	// Keep is the least time for which a key is remembered after its birth.
	Keep time.Duration
	// MaxKeys bounds the keys one guard table remembers.
	MaxKeys int
	// MaxBytes bounds the recorded outcomes one guard table keeps.
	MaxBytes int
	// MaxReleased bounds the released claimants remembered for each key.
	MaxReleased int
}

// Defaults returns the bounds used in production for one guard table.
func Defaults() Params {
	return Params{
		FutureSkew:  2 * time.Second,
		ClockSkew:   2 * time.Second,
		Drift:       1,
		Linger:      time.Hour,
		MaxListAge:  55 * time.Minute,
		Keep:        10 * time.Minute,
		MaxKeys:     1024,
		MaxBytes:    256 << 10,
		MaxReleased: 16,
	}
}

// MaxOutcome is the largest outcome kept, in bytes.
const MaxOutcome = 256 << 10

// KeyVersion is the UUID version whose first bits are a time of birth.
const KeyVersion = 7

// ErrKey says that an idempotency key carries no time of birth.
var ErrKey = errors.New("idempotency key is not a UUIDv7")

// Birth returns the time at which a key was drawn, by its drawer's clock. A
// caller name and a slash may stand before the UUID.
func Birth(key string) (time.Time, error) {
	id, err := uuid.Parse(key[strings.LastIndexByte(key, '/')+1:])
	if err != nil {
		return time.Time{}, fmt.Errorf("%w: %w", ErrKey, err)
	}
	if id.Version() != KeyVersion {
		return time.Time{}, fmt.Errorf("%w: version %d", ErrKey, id.Version())
	}
	const msBytes = 6
	var ms int64
	for _, b := range id[:msBytes] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), nil
}

// Quorum returns the votes needed so that any two quorums share a guard: more than
// half of the n voters known and the drift voters not known.
func Quorum(n, drift int) int { return (n+drift)/2 + 1 }
