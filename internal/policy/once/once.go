// Package once decides who may run a non-idempotent request: for each idempotency key at
// most one claimant wins the votes of a quorum of guards. It holds the guards' and
// claimants' state machines, the VMs that count as voters, and the rule for when "not run"
// may be reported. It does no I/O, reads no clock and takes no locks; the owner guards
// each value.
package once

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"
)

// Params are the bounds under which at most one claimant wins.
type Params struct {
	// FutureSkew is how far a key's birth may lie ahead of a guard's clock.
	FutureSkew time.Duration
	// ClockSkew bounds the difference between the clocks of any two VMs.
	ClockSkew time.Duration
	// UnknownVoters is the number of voters that every guard of a quorum may fail to count:
	// processes still running under a name that the platform has given to another VM.
	UnknownVoters int
	// AbsentTTL is how long a VM that disappeared without a Leave still counts as a voter.
	AbsentTTL time.Duration
	// MaxListAge is the age of its VM list at which a guard stops voting. It is less
	// than AbsentTTL, so that a guard cut off from the platform stops voting before the
	// others stop counting it.
	MaxListAge time.Duration
	// BootWait is the uptime from which a VM that finds no quorum of voters may be
	// admitted if all known VMs reply. If it is at least MaxListAge plus the skews, no
	// earlier fleet that the VM cannot reach still votes then; 0 lets a new fleet vote at
	// once.
	BootWait time.Duration
	// MinRetention is the least time for which a guard keeps a key after the key's birth.
	MinRetention time.Duration
	// MaxKeys is the largest number of keys in one Guard.
	MaxKeys int
	// MaxBytes is the largest total size of the recorded outcomes in one Guard.
	MaxBytes int
	// MaxReleased is the largest number of released claimants kept for each key.
	MaxReleased int
}

// DefaultParams returns the bounds used in production, with a BootWait of 0.
func DefaultParams() Params {
	return Params{
		FutureSkew:    2 * time.Second,
		ClockSkew:     2 * time.Second,
		UnknownVoters: 1,
		AbsentTTL:     time.Hour,
		MaxListAge:    55 * time.Minute,
		MinRetention:  10 * time.Minute,
		MaxKeys:       1024,
		MaxBytes:      256 << 10,
		MaxReleased:   16,
	}
}

// MaxOutcome is the size in bytes of the largest recorded outcome that a guard keeps.
const MaxOutcome = 256 << 10

// KeyVersion is the UUID version of keys, whose first 48 bits are the time of birth in
// Unix milliseconds.
const KeyVersion = 7

// ErrKey says that an idempotency key is not a UUIDv7 and so has no time of birth.
var ErrKey = errors.New("idempotency key is not a UUIDv7")

// Birth returns the time at which a key was generated, by the clock of its generator. The
// UUID may be preceded by a caller's name and a slash.
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

// Quorum returns the number of votes that wins: more than half of the n known and the
// unknown voters, so that any two quorums share a guard.
func Quorum(n, unknown int) int { return (n+unknown)/2 + 1 }
