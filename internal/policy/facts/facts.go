// Package facts decides how facts merge, expire, compare and are selected for gossip. A
// fact is a small, versioned, expiring entry that only its origin, one incarnation of a
// VM, creates. Functions do not modify their arguments, take no locks and read no clock,
// so they may run concurrently.
package facts

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits of one fact.
const (
	MaxKeyBytes    = 256
	MaxOriginBytes = 128
	MaxValueBytes  = 4096
	// MaxTTL caps a fact's TTL, whatever its origin set.
	MaxTTL = 10 * time.Minute
	// TombstoneTTL is how long the version of an expired fact is kept, so that a
	// delayed copy is not taken for a new fact.
	TombstoneTTL = time.Minute
)

// Buckets is the number of buckets that facts are hashed into; two VMs compare one digest
// per bucket.
const Buckets = 64

// Fact is one entry as one VM holds it. Expires is a time on that VM's own clock.
type Fact struct {
	Key     string
	Origin  string
	Version int
	Value   string
	Expires time.Duration
}

// ID identifies a fact. Of two facts with the same ID the higher version wins.
type ID struct {
	Key    string
	Origin string
}

// ID returns the fact's identity.
func (f Fact) ID() ID { return ID{Key: f.Key, Origin: f.Origin} }

// VM returns the name of the fact's origin, without the incarnation.
func (f Fact) VM() string {
	name, _, _ := strings.Cut(f.Origin, "/")
	return name
}

// Incarnation returns the incarnation of the fact's origin.
func (f Fact) Incarnation() string {
	_, incarnation, _ := strings.Cut(f.Origin, "/")
	return incarnation
}

// Live reports whether the fact has not expired.
func (f Fact) Live(now time.Duration) bool { return f.Expires > now }

// Size estimates the fact's size in bytes, in memory and in a message.
func (f Fact) Size() int {
	const overhead = 64
	return len(f.Key) + len(f.Origin) + len(f.Value) + overhead
}

// Origin returns the origin of facts created by an incarnation of a VM.
func Origin(name, incarnation string) string { return name + "/" + incarnation }

// Verdict is the result of merging an offered fact.
type Verdict int

// Verdicts on an offered fact.
const (
	// Known: the offer changes nothing; it is not newer, or has expired.
	Known Verdict = iota
	// Taken: the fact is new, or newer than the one held, and replaces it.
	Taken
	// Shortened: the version is the one held, but it expires earlier.
	Shortened
	// Malformed: a limit is exceeded or a field is missing.
	Malformed
)

// Valid reports whether a fact is complete and within its limits.
func Valid(f Fact) bool {
	return f.Key != "" && len(f.Key) <= MaxKeyBytes &&
		f.VM() != "" && len(f.Origin) <= MaxOriginBytes &&
		len(f.Value) <= MaxValueBytes && f.Version > 0
}

// Cap limits a fact's expiry to MaxTTL from now.
func Cap(now time.Duration, f Fact) Fact {
	f.Expires = min(f.Expires, now+MaxTTL)
	return f
}

// Merge decides between the fact held, if has is true, and the one offered. Of two copies
// of one version the earlier expiry wins, so that gossip never extends a TTL.
func Merge(now time.Duration, held Fact, has bool, offered Fact) (Fact, Verdict) {
	if !Valid(offered) {
		return held, Malformed
	}
	offered = Cap(now, offered)
	if !has || offered.Version > held.Version {
		if !offered.Live(now) {
			return held, Known
		}
		return offered, Taken
	}
	if offered.Version == held.Version && offered.Expires < held.Expires && held.Live(now) {
		held.Expires = offered.Expires
		return held, Shortened
	}
	return held, Known
}

// Bucket returns the bucket of a fact, from 0 to Buckets-1.
func Bucket(id ID) int { return int(hashVersion(id, 0) % Buckets) }

// Hash returns the hash that a fact adds to its bucket's digest. A digest is the sum of
// these hashes, so that it does not depend on the order of arrival.
func Hash(f Fact) uint32 { return uint32(hashVersion(f.ID(), f.Version) >> 32) }

func hashVersion(id ID, version int) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(version))
	_, _ = d.WriteString(id.Key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(id.Origin)
	return d.Sum64()
}

// Root returns one hash of the digests of all buckets.
func Root(digests []uint32) uint32 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range digests {
		_, _ = d.Write([]byte{byte(s), byte(s >> 8), byte(s >> 16), byte(s >> 24)})
	}
	return uint32(d.Sum64())
}

// Differ returns the buckets whose digests differ; buckets that only one side has are
// left out.
func Differ(mine, theirs []uint32) []int {
	var differing []int
	for i := range min(len(mine), len(theirs)) {
		if mine[i] != theirs[i] {
			differing = append(differing, i)
		}
	}
	return differing
}

// kindsByUrgency lists kinds of facts, the most urgent first. Other kinds are less urgent.
var kindsByUrgency = []string{"crash", "head", "version", "lost", "back", "stranded", "drain", "leaving", "cold", "limit", "vm"}

// Urgency returns the rank of a key's kind, the part before the first slash. The lowest
// rank is sent first.
func Urgency(key string) int {
	kind, _, _ := strings.Cut(key, "/")
	if i := slices.Index(kindsByUrgency, kind); i >= 0 {
		return i
	}
	return len(kindsByUrgency)
}

// restatedKinds lists the kinds whose origins publish a new version every few seconds.
var restatedKinds = []string{"alive", "relay"}

// Restated reports whether a fact's origin publishes it again within seconds. Such facts
// are left out of anti-entropy repair and their pushes may wait: the next version makes
// up for a lost one.
func Restated(key string) bool {
	kind, _, _ := strings.Cut(key, "/")
	return slices.Contains(restatedKinds, kind)
}

// Deferrable reports whether a fact may be pushed late and to few neighbours. This
// applies to restated facts and to member facts, which are most of a large fleet's facts.
// Member facts are repaired, since a VM that starts has to learn them soon.
func Deferrable(key string) bool {
	kind, _, _ := strings.Cut(key, "/")
	return kind == "member" || Restated(key)
}

// Select chooses the facts to send within a limit of facts and bytes: the most urgent
// kinds first, and within a rank those that expire last. rest holds the others.
func Select(fs []Fact, maxFacts, maxBytes int) (chosen, rest []Fact) {
	fs = slices.Clone(fs)
	slices.SortStableFunc(fs, func(a, b Fact) int {
		return cmp.Or(cmp.Compare(Urgency(a.Key), Urgency(b.Key)), cmp.Compare(b.Expires, a.Expires))
	})
	return cut(fs, maxFacts, maxBytes)
}

// Repair chooses the facts with which one digest is answered, within a limit of facts and bytes. The
// kinds take turns, the most urgent one first, and within a kind the given order is kept, which the caller
// shuffles: many facts of one kind, most of which may be known, keep no other from being repaired.
func Repair(fs []Fact, maxFacts, maxBytes int) []Fact {
	turns := map[string]int{}
	type turn struct {
		Fact
		number int
	}
	all := make([]turn, len(fs))
	for i, f := range fs {
		kind, _, _ := strings.Cut(f.Key, "/")
		all[i] = turn{f, turns[kind]}
		turns[kind]++
	}
	slices.SortStableFunc(all, func(a, b turn) int {
		return cmp.Or(cmp.Compare(a.number, b.number), cmp.Compare(Urgency(a.Key), Urgency(b.Key)))
	})
	ordered := make([]Fact, len(all))
	for i := range all {
		ordered[i] = all[i].Fact
	}
	chosen, _ := cut(ordered, maxFacts, maxBytes)
	return chosen
}

// cut returns the first facts within the limits, and the others.
func cut(fs []Fact, maxFacts, maxBytes int) (first, rest []Fact) {
	size := 0
	for i, f := range fs {
		size += f.Size()
		if i == maxFacts || size > maxBytes {
			return fs[:i], fs[i:]
		}
	}
	return fs, nil
}
