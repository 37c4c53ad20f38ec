// Package facts decides how facts merge, expire, compare and are chosen for
// sending. A fact is a small, versioned, expiring entry stated by one origin, a
// VM's name and incarnation. The package holds no lock and reads no clock.
package facts

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds of one fact.
const (
	MaxKeyBytes    = 256
	MaxOriginBytes = 128
	MaxValueBytes  = 4096
	// MaxTTL caps the life of a fact, however long its origin asked for.
	MaxTTL = 10 * time.Minute
	// TombstoneLife is how long an expired fact is remembered, so that a late
	// copy of it does not come back to life.
	TombstoneLife = time.Minute
)

// Buckets is the number of buckets that digests compare.
const Buckets = 64

// Fact is one entry as one VM holds it. Expires is on the holder's own clock.
type Fact struct {
	Key     string
	Origin  string
	Version int
	Value   string
	Expires time.Duration
}

// ID names a fact: of two facts with one ID the higher version wins.
type ID struct {
	Key    string
	Origin string
}

// ID returns the fact's name.
func (f Fact) ID() ID { return ID{Key: f.Key, Origin: f.Origin} }

// VM returns the name of the VM that stated the fact.
func (f Fact) VM() string {
	name, _, _ := strings.Cut(f.Origin, "/")
	return name
}

// Live reports whether the fact has not expired.
func (f Fact) Live(now time.Duration) bool { return f.Expires > now }

// Size estimates the fact's bytes in memory and in a message.
func (f Fact) Size() int {
	const overhead = 64
	return len(f.Key) + len(f.Origin) + len(f.Value) + overhead
}

// Origin joins the name and the incarnation of a VM.
func Origin(name, incarnation string) string { return name + "/" + incarnation }

// Verdict says what became of an offered fact.
type Verdict int

// Verdicts on an offered fact.
const (
	// Known: nothing new.
	Known Verdict = iota
	// Taken: the fact is new or newer and replaces what was held.
	Taken
	// Shortened: the same version, but its life ends earlier than was known.
	Shortened
	// Malformed: a bound is exceeded or a field is missing.
	Malformed
)

// Valid reports whether a fact is within its bounds.
func Valid(f Fact) bool {
	return f.Key != "" && len(f.Key) <= MaxKeyBytes &&
		f.VM() != "" && len(f.Origin) <= MaxOriginBytes &&
		len(f.Value) <= MaxValueBytes && f.Version > 0
}

// Cap limits a fact's life to MaxTTL from now.
func Cap(now time.Duration, f Fact) Fact {
	f.Expires = min(f.Expires, now+MaxTTL)
	return f
}

// Merge decides between the fact held, if any, and the one offered. The same
// version keeps the earlier expiry, so that relaying never lengthens a life.
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

// Bucket returns the bucket of a fact.
func Bucket(id ID) int { return int(hash(id, 0) % Buckets) }

// Hash returns the fact's share of its bucket's digest. Shares are added, so
// that a digest does not depend on the order of arrival.
func Hash(f Fact) uint32 { return uint32(hash(f.ID(), f.Version) >> 32) }

func hash(id ID, version int) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(version))
	_, _ = d.WriteString(id.Key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(id.Origin)
	return d.Sum64()
}

// Root returns one sum for a whole digest.
func Root(sums []uint32) uint32 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range sums {
		_, _ = d.Write([]byte{byte(s), byte(s >> 8), byte(s >> 16), byte(s >> 24)})
	}
	return uint32(d.Sum64())
}

// Differ returns the buckets whose digests differ.
func Differ(mine, theirs []uint32) []int {
	var out []int
	for i := range min(len(mine), len(theirs)) {
		if mine[i] != theirs[i] {
			out = append(out, i)
		}
	}
	return out
}

// urgency orders the kinds of facts; a kind not listed comes last.
var urgency = []string{"crash", "head", "drain", "vm"}

// Urgency returns the rank of a key's kind; the lowest is sent first.
func Urgency(key string) int {
	kind, _, _ := strings.Cut(key, "/")
	if i := slices.Index(urgency, kind); i >= 0 {
		return i
	}
	return len(urgency)
}

// restated lists the kinds whose origins state them again every few seconds.
var restated = []string{"alive", "relay"}

// Restated reports whether a fact's origin states it again soon. Such facts are not
// repaired and their pushes may wait: a lost one is made good by the next.
func Restated(key string) bool {
	kind, _, _ := strings.Cut(key, "/")
	return slices.Contains(restated, kind)
}

// Calm reports whether a fact may travel slowly and to few neighbours: facts that are
// restated, and those that tell of members. The latter are most of a large fleet's facts;
// unlike the former they are repaired, since a VM that starts has to learn them soon.
func Calm(key string) bool {
	kind, _, _ := strings.Cut(key, "/")
	return kind == "member" || Restated(key)
}

// Select chooses what to send within a number of facts and bytes: the most
// urgent kinds first, then those with the longest life left. The rest is
// returned for later.
func Select(fs []Fact, maxFacts, maxBytes int) (chosen, rest []Fact) {
	fs = slices.Clone(fs)
	slices.SortStableFunc(fs, func(a, b Fact) int {
		return cmp.Or(cmp.Compare(Urgency(a.Key), Urgency(b.Key)), cmp.Compare(b.Expires, a.Expires))
	})
	size := 0
	for i, f := range fs {
		size += f.Size()
		if i == maxFacts || size > maxBytes {
			return fs[:i], fs[i:]
		}
	}
	return fs, nil
}
