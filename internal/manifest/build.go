package manifest

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"sync"

	"github.com/sardinespindle/sardinespindle/internal/validate"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
)

// MaxPartBytes is the size limit of a head or part: the platform holds no larger value.
const MaxPartBytes = 1_000_000

// Defaults for absent keys, as the schema documents them.
const (
	defaultResendWindowMs   = 600_000
	defaultMaxBodyBytes     = 65_536
	defaultConnectionCostMs = 1
	defaultPriority         = 5
	defaultHedgePercent     = 3
)

// Digest returns the SHA-256 of a head or part as published, in hexadecimal.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// ParseHead checks and decodes a head.
func ParseHead(text []byte) (*gen.Head, error) {
	var h gen.Head
	if err := decode(validate.MustCompile("manifest", "Head"), text, &h); err != nil {
		return nil, fmt.Errorf("manifest head: %w", err)
	}
	return &h, nil
}

// ParsePart checks and decodes a part, and fills in defaults for absent keys.
func ParsePart(text []byte) (*gen.Part, error) {
	var p gen.Part
	if err := decode(validate.MustCompile("manifest", "Part"), text, &p); err != nil {
		return nil, fmt.Errorf("manifest part %.12s: %w", Digest(text), err)
	}
	fillDefaults(&p, parsePresence(text))
	return &p, nil
}

func decode(s *validate.Schema, text []byte, into any) error {
	if len(text) > MaxPartBytes {
		return validate.Problems{{Reason: fmt.Sprintf("%d bytes exceed the limit of %d bytes", len(text), MaxPartBytes)}}
	}
	tree, err := validate.DecodeJSON(bytes.NewReader(text))
	if err != nil {
		return fmt.Errorf("parse: %w", err)
	}
	if err := s.Check(tree); err != nil {
		return err
	}
	if err := json.Unmarshal(text, into); err != nil {
		return fmt.Errorf("parse: %w", err)
	}
	return nil
}

// grantPresence shows which optional keys of a grant are present. The decoded grant does not
// show that, because 0 is a valid value of each key.
type grantPresence struct {
	Priority     *int     `json:"priority"`
	HedgePercent *float64 `json:"hedge_percent"`
}

// partPresence shows which optional keys of a part are present.
type partPresence struct {
	Callers []struct {
		Grants []grantPresence `json:"grants"`
	} `json:"callers"`
	Upstreams []struct {
		ConnectionCostMs *float64 `json:"connection_cost_ms"`
	} `json:"upstreams"`
}

func parsePresence(text []byte) partPresence {
	var k partPresence
	if err := json.Unmarshal(text, &k); err != nil {
		panic(fmt.Sprintf("manifest: decode a valid part again: %v", err))
	}
	return k
}

func fillDefaults(p *gen.Part, k partPresence) {
	for i := range p.Workloads {
		w := &p.Workloads[i]
		if w.ResendWindowMs == 0 {
			w.ResendWindowMs = defaultResendWindowMs
		}
		if w.MaxBodyBytes == 0 {
			w.MaxBodyBytes = defaultMaxBodyBytes
		}
	}
	for i := range p.Upstreams {
		if k.Upstreams[i].ConnectionCostMs == nil {
			p.Upstreams[i].ConnectionCostMs = defaultConnectionCostMs
		}
	}
	for i := range p.Callers {
		for j := range p.Callers[i].Grants {
			g := &p.Callers[i].Grants[j]
			if k.Callers[i].Grants[j].Priority == nil {
				g.Priority = defaultPriority
			}
			if k.Callers[i].Grants[j].HedgePercent == nil {
				g.HedgePercent = defaultHedgePercent
			}
		}
	}
}

// Builder turns heads and parts into manifests. It caches the decoded parts of the last
// successful build, so that a change of one part decodes only that part. It is safe for
// concurrent use.
type Builder struct {
	mu     sync.Mutex
	cached map[string]*gen.Part // by digest
}

// NewBuilder returns a Builder with an empty cache.
func NewBuilder() *Builder {
	return &Builder{cached: make(map[string]*gen.Part)}
}

// Missing returns the digests of a head's parts that are not cached.
func (b *Builder) Missing(h *gen.Head) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var missing []string
	for _, ref := range h.Parts {
		if _, ok := b.cached[string(ref.Digest)]; !ok {
			missing = append(missing, string(ref.Digest))
		}
	}
	return missing
}

// Build checks each part of a head, then the parts against each other, and compiles them.
// texts holds the parts that are not cached, by digest. The error lists every problem of
// the first of these steps that fails.
func (b *Builder) Build(headText []byte, texts map[string][]byte) (*Manifest, error) {
	head, err := ParseHead(headText)
	if err != nil {
		return nil, err
	}
	parts, problems := b.resolveParts(head, texts)
	if len(problems) > 0 {
		return nil, problems
	}
	m, problems := compile(head, parts)
	if len(problems) > 0 {
		return nil, problems
	}
	m.Digest = Digest(headText)
	b.cache(head, parts)
	return m, nil
}

func (b *Builder) resolveParts(head *gen.Head, texts map[string][]byte) ([]*gen.Part, validate.Problems) {
	var problems validate.Problems
	parts := make([]*gen.Part, 0, len(head.Parts))
	for _, ref := range head.Parts {
		p, err := b.resolvePart(ref, texts[string(ref.Digest)])
		if err != nil {
			problems = append(problems, validate.Problem{Key: fmt.Sprintf("part %.12s", ref.Digest), Reason: err.Error()})
			continue
		}
		parts = append(parts, p)
	}
	return parts, problems
}

func (b *Builder) resolvePart(ref gen.PartRef, text []byte) (*gen.Part, error) {
	b.mu.Lock()
	p, ok := b.cached[string(ref.Digest)]
	b.mu.Unlock()
	if ok {
		return p, nil
	}
	if text == nil {
		return nil, fmt.Errorf("the text of the part is missing")
	}
	if len(text) != ref.Bytes {
		return nil, fmt.Errorf("%d bytes, but the head lists %d bytes", len(text), ref.Bytes)
	}
	if got := Digest(text); got != string(ref.Digest) {
		return nil, fmt.Errorf("digest %s does not match", got)
	}
	return ParsePart(text)
}

func (b *Builder) cache(head *gen.Head, parts []*gen.Part) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cached = make(map[string]*gen.Part, len(parts))
	for i, ref := range head.Parts {
		b.cached[string(ref.Digest)] = parts[i]
	}
}

// compile builds the lookup tables and checks the parts against each other.
func compile(head *gen.Head, parts []*gen.Part) (*Manifest, validate.Problems) {
	c := &compiler{m: &Manifest{
		Generation: head.Generation,
		Workloads:  make(map[string]*Workload),
		Callers:    make(map[string]*Caller),
		Upstreams:  make(map[string]*gen.Upstream),
	}}
	for _, p := range parts {
		c.addWorkloads(p)
	}
	for _, p := range parts {
		c.addMaps(p)
	}
	for _, p := range parts {
		c.addUpstreams(p)
	}
	for _, p := range parts {
		c.addCallers(p)
	}
	c.checkAcrossParts()
	for _, w := range c.m.Workloads {
		sortUpstreams(w.Upstreams)
		for _, replicas := range w.Replicas {
			sortUpstreams(replicas)
		}
	}
	return c.m, c.problems
}

func sortUpstreams(us []*gen.Upstream) {
	slices.SortFunc(us, func(a, b *gen.Upstream) int {
		return bytes.Compare([]byte(a.Address), []byte(b.Address))
	})
}
