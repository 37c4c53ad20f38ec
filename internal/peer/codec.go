package peer

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	rules "github.com/sardinespindle/sardinespindle/internal/policy/facts"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/peer"
)

// Bounds of messages.
const (
	// maxMessageBytes allows for the largest part reply, 1,000,000 bytes, and its envelope.
	maxMessageBytes = 1_100_000
	// readBytes is the memory for messages of all peers that are being read.
	readBytes = 16 << 20
	// maxHelloBytes bounds the first message, which comes from an unidentified peer.
	maxHelloBytes = 4096
	// maxFacts bounds the facts, and the elements of any other array, in a received message.
	maxFacts = 1024
	// maxDigestBuckets bounds the buckets of one digest.
	maxDigestBuckets = 256
	maxNameBytes     = 63
)

// Errors in messages. A received message with such an error ends the connection. Their
// texts can reach a caller in the detail of an outcome.
var (
	// errFields also stands for a negative id.
	errFields  = errors.New("not exactly one field set")
	errBounds  = errors.New("field out of bounds")
	errNoHello = errors.New("first message is no hello")
)

var (
	encMode = mustEnc()
	decMode = mustDec()
)

func mustEnc() cbor.EncMode {
	m, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic("peer: " + err.Error())
	}
	return m
}

func mustDec() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		MaxNestedLevels:   8,
		MaxArrayElements:  maxFacts,
		MaxMapPairs:       32,
		FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
		// Bodies, records and published values may be any bytes.
		UTF8: cbor.UTF8DecodeInvalid,
	}.DecMode()
	if err != nil {
		panic("peer: " + err.Error())
	}
	return m
}

func encode(m *gen.Message) ([]byte, error) {
	b, err := encMode.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	if len(b) > maxMessageBytes {
		return nil, fmt.Errorf("encode message of %d bytes: %w", len(b), errBounds)
	}
	return b, nil
}

// decode decodes one message and checks its bounds.
func decode(b []byte) (*gen.Message, error) {
	var m gen.Message
	if err := decMode.Unmarshal(b, &m); err != nil {
		return nil, fmt.Errorf("decode message: %w", err)
	}
	if countFields(&m) != 1 || m.Id < 0 {
		return nil, errFields
	}
	if !inBounds(&m) {
		return nil, errBounds
	}
	return &m, nil
}

// kind returns the name of the field that is set, as a metric label.
func kind(m *gen.Message) string {
	for _, k := range kinds {
		if k.set(m) {
			return k.name
		}
	}
	return "none"
}

// countFields returns the number of fields that are set, the id aside.
func countFields(m *gen.Message) int {
	n := 0
	for _, k := range kinds {
		if k.set(m) {
			n++
		}
	}
	return n
}

// messageKind names an optional field of a message and reports whether it is set.
type messageKind struct {
	name string
	set  func(*gen.Message) bool
}

var kinds = []messageKind{
	{"facts", func(m *gen.Message) bool { return m.Facts != nil }},
	{"digest", func(m *gen.Message) bool { return m.Digest != nil }},
	{"claim", func(m *gen.Message) bool { return m.Claim != nil }},
	{"vote", func(m *gen.Message) bool { return m.Vote != nil }},
	{"release", func(m *gen.Message) bool { return m.Release != nil }},
	{"record", func(m *gen.Message) bool { return m.Record != nil }},
	{"lookup", func(m *gen.Message) bool { return m.Lookup != nil }},
	{"found", func(m *gen.Message) bool { return m.Found != nil }},
	{"join", func(m *gen.Message) bool { return m.Join != nil }},
	{"joined", func(m *gen.Message) bool { return m.Joined != nil }},
	{"part", func(m *gen.Message) bool { return m.Part != nil }},
	{"part_reply", func(m *gen.Message) bool { return m.PartReply != nil }},
	{"pull", func(m *gen.Message) bool { return m.Pull != nil }},
	{"pulled", func(m *gen.Message) bool { return m.Pulled != nil }},
	{"cancel", func(m *gen.Message) bool { return m.Cancel != nil }},
	{"delegate", func(m *gen.Message) bool { return m.Delegate != nil }},
	{"accepted", func(m *gen.Message) bool { return m.Accepted != nil }},
	{"finish", func(m *gen.Message) bool { return m.Finish != nil }},
	{"confirmed", func(m *gen.Message) bool { return m.Confirmed != nil }},
	{"delegated", func(m *gen.Message) bool { return m.Delegated != nil }},
	{"hello", func(m *gen.Message) bool { return m.Hello != nil }},
}

// inBounds checks the messages that this package handles itself. Registered handlers
// check the others.
func inBounds(m *gen.Message) bool {
	switch {
	case m.Hello != nil:
		h := m.Hello
		return h.Name != "" && len(h.Name) <= maxNameBytes && len(h.Zone) <= maxNameBytes &&
			h.Incarnation != "" && len(h.Incarnation) <= maxNameBytes && h.UptimeMs >= 0
	case m.Facts != nil:
		return len(m.Facts.Facts) <= maxFacts
	case m.Digest != nil:
		return len(m.Digest.Buckets) <= maxDigestBuckets
	}
	return true
}

// toWire converts facts to a message, with their remaining TTL and without expired ones.
func toWire(now time.Duration, fs []rules.Fact) *gen.Facts {
	out := make([]gen.Fact, 0, len(fs))
	for _, f := range fs {
		left := (f.Expires - now).Milliseconds()
		if left <= 0 {
			continue
		}
		out = append(out, gen.Fact{Key: f.Key, Origin: f.Origin, Version: f.Version, Value: f.Value, TtlMs: int(left)})
	}
	return &gen.Facts{Facts: out}
}

// fromWire converts received facts and sets their expiry on this VM's clock, at most rules.MaxTTL
// from now.
func fromWire(now time.Duration, m *gen.Facts) []rules.Fact {
	out := make([]rules.Fact, 0, len(m.Facts))
	for _, f := range m.Facts {
		ttl := min(time.Duration(max(f.TtlMs, 0)), rules.MaxTTL/time.Millisecond) * time.Millisecond
		out = append(out, rules.Fact{Key: f.Key, Origin: f.Origin, Version: f.Version, Value: f.Value, Expires: now + ttl})
	}
	return out
}

func digestToWire(digests []uint32) *gen.Digest {
	out := make([]int, len(digests))
	for i, s := range digests {
		out[i] = int(s)
	}
	return &gen.Digest{Buckets: out}
}

func digestFromWire(m *gen.Digest) []uint32 {
	out := make([]uint32, len(m.Buckets))
	for i, s := range m.Buckets {
		out[i] = uint32(s)
	}
	return out
}
