// Package validate checks values against the embedded JSON Schemas and reports every
// problem at once. It knows the keywords that these schemas use and refuses others. All functions
// and a Schema are safe for concurrent use.
package validate

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"unicode/utf8"

	"github.com/sardinespindle/sardinespindle/schema"
)

// Problem is one fault of a value.
type Problem struct {
	// Key is the path of the faulty part, as in listen.callers; empty for the whole value.
	Key    string
	Reason string
}

// String returns the key and the reason.
func (p Problem) String() string {
	if p.Key == "" {
		return p.Reason
	}
	return p.Key + ": " + p.Reason
}

// Problems is an error that lists every fault of a value.
type Problems []Problem

// Error lists the problems, separated by semicolons.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "; ")
}

// DecodeJSON decodes one JSON value for Check. Numbers keep their text.
func DecodeJSON(r io.Reader) (any, error) {
	d := json.NewDecoder(r)
	d.UseNumber()
	var v any
	if err := d.Decode(&v); err != nil {
		return nil, err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, errTrailing
	}
	return v, nil
}

var errTrailing = errors.New("invalid character after top-level value")

// Schema is a compiled schema or a definition in one.
type Schema struct {
	kind       string // empty for any
	properties map[string]*Schema
	required   []string
	closed     bool // no other properties are allowed
	items      *Schema
	enum       []string
	pattern    *regexp.Regexp
	// The bounds are nil if there are none.
	minimum, maximum              *float64
	minItems, maxItems, maxLength *int
}

// definition is a schema as it is written. Any keyword that is not listed is an error.
type definition struct {
	Schema      string                 `json:"$schema"`
	ID          string                 `json:"$id"`
	Title       string                 `json:"title"`
	Description string                 `json:"description"`
	Default     any                    `json:"default"`
	Defs        map[string]*definition `json:"$defs"`

	Ref                  string                 `json:"$ref"`
	Type                 string                 `json:"type"`
	Properties           map[string]*definition `json:"properties"`
	Required             []string               `json:"required"`
	AdditionalProperties *bool                  `json:"additionalProperties"`
	Items                *definition            `json:"items"`
	Enum                 []string               `json:"enum"`
	Pattern              string                 `json:"pattern"`
	Minimum              *float64               `json:"minimum"`
	Maximum              *float64               `json:"maximum"`
	MinItems             *int                   `json:"minItems"`
	MaxItems             *int                   `json:"maxItems"`
	MaxLength            *int                   `json:"maxLength"`
}

// compiled holds the compiled schemas by name and definition.
var (
	compiledMu sync.Mutex
	compiled   = map[[2]string]*Schema{}
)

const defsPrefix = "#/$defs/"

// MustCompile compiles one definition of an embedded schema, as in MustCompile("manifest", "Part");
// an empty definition stands for the whole schema. It panics if the schema or the
// definition does not exist or does not compile.
func MustCompile(name, def string) *Schema {
	compiledMu.Lock()
	defer compiledMu.Unlock()
	key := [2]string{name, def}
	if s := compiled[key]; s != nil {
		return s
	}
	s, err := compile(name, def)
	if err != nil {
		panic(fmt.Sprintf("validate: compile %s %s: %v", name, def, err))
	}
	compiled[key] = s
	return s
}

func compile(name, def string) (*Schema, error) {
	f, err := schema.Files.Open(name + ".schema.json")
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // of an embedded file
	return compileText(f, def)
}

func compileText(r io.Reader, def string) (*Schema, error) {
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	root := &definition{}
	if err := d.Decode(root); err != nil {
		return nil, err
	}
	c := compilation{root: root, done: map[string]*Schema{}}
	if def == "" {
		return c.compile(root)
	}
	return c.reference(defsPrefix + def)
}

// compilation compiles the definitions of one schema.
type compilation struct {
	root *definition
	done map[string]*Schema // by reference; those under way are listed, so that definitions may refer to themselves
}

var (
	errNoDefinition = errors.New("no such definition")
	errUnknownType  = errors.New("unknown type")
	errReference    = errors.New("keywords beside a reference")
)

func (c *compilation) reference(ref string) (*Schema, error) {
	if s := c.done[ref]; s != nil {
		return s, nil
	}
	name, ok := strings.CutPrefix(ref, defsPrefix)
	d := c.root.Defs[name]
	if !ok || d == nil {
		return nil, fmt.Errorf("%w: %s", errNoDefinition, ref)
	}
	s := &Schema{}
	c.done[ref] = s
	return s, c.fill(s, d)
}

func (c *compilation) compile(d *definition) (*Schema, error) {
	if d.Ref != "" {
		if d.Type != "" || d.Properties != nil || d.Enum != nil || d.Pattern != "" || d.Items != nil {
			return nil, fmt.Errorf("%w: %s", errReference, d.Ref)
		}
		return c.reference(d.Ref)
	}
	s := &Schema{}
	return s, c.fill(s, d)
}

func (c *compilation) fill(s *Schema, d *definition) (err error) {
	switch d.Type {
	case "", "object", "array", "string", "integer", "number", "boolean":
	default:
		return fmt.Errorf("%w: %s", errUnknownType, d.Type)
	}
	s.kind, s.required, s.enum = d.Type, d.Required, d.Enum
	s.closed = d.AdditionalProperties != nil && !*d.AdditionalProperties
	s.minimum, s.maximum, s.minItems, s.maxItems, s.maxLength = d.Minimum, d.Maximum, d.MinItems, d.MaxItems, d.MaxLength
	if d.Pattern != "" {
		if s.pattern, err = regexp.Compile(d.Pattern); err != nil {
			return err
		}
	}
	if d.Items != nil {
		if s.items, err = c.compile(d.Items); err != nil {
			return err
		}
	}
	s.properties = make(map[string]*Schema, len(d.Properties))
	for name, p := range d.Properties {
		if s.properties[name], err = c.compile(p); err != nil {
			return err
		}
	}
	return nil
}

// Check returns nil or Problems. The value is made of maps, slices, strings, numbers,
// booleans and nil, as a JSON decoder returns it.
func (s *Schema) Check(value any) error {
	if problems := s.check(value, "", nil); len(problems) > 0 {
		return problems
	}
	return nil
}

// check appends the problems of a value at a path.
func (s *Schema) check(value any, at string, problems Problems) Problems {
	kind := kindOf(value)
	fits := s.kind == "" || kind == s.kind || s.kind == "number" && kind == "integer"
	if !fits {
		return append(problems, Problem{Key: at, Reason: fmt.Sprintf("got %s, want %s", kind, s.kind)})
	}
	switch v := value.(type) {
	case map[string]any:
		return s.checkObject(v, at, problems)
	case []any:
		return s.checkArray(v, at, problems)
	case string:
		return s.checkText(v, at, problems)
	}
	if n, ok := number(value); ok {
		problems = atLeast(problems, at, "minimum", n, s.minimum)
		problems = atMost(problems, at, "maximum", n, s.maximum)
	}
	return problems
}

func (s *Schema) checkObject(v map[string]any, at string, problems Problems) Problems {
	var missing, unknown []string
	for _, name := range s.required {
		if _, ok := v[name]; !ok {
			missing = append(missing, quote(name))
		}
	}
	names := slices.Sorted(maps.Keys(v))
	for _, name := range names {
		if s.closed && s.properties[name] == nil {
			unknown = append(unknown, quote(name))
		}
	}
	switch {
	case len(missing) == 1:
		problems = append(problems, Problem{Key: at, Reason: "missing property " + missing[0]})
	case len(missing) > 1:
		problems = append(problems, Problem{Key: at, Reason: "missing properties " + strings.Join(missing, ", ")})
	}
	if len(unknown) > 0 {
		problems = append(problems, Problem{Key: at, Reason: "additional properties " + strings.Join(unknown, ", ") + " not allowed"})
	}
	for _, name := range names {
		if p := s.properties[name]; p != nil {
			problems = p.check(v[name], join(at, name), problems)
		}
	}
	return problems
}

func (s *Schema) checkArray(v []any, at string, problems Problems) Problems {
	problems = atLeast(problems, at, "minItems", len(v), s.minItems)
	problems = atMost(problems, at, "maxItems", len(v), s.maxItems)
	for i := 0; s.items != nil && i < len(v); i++ {
		problems = s.items.check(v[i], join(at, strconv.Itoa(i)), problems)
	}
	return problems
}

func (s *Schema) checkText(v, at string, problems Problems) Problems {
	if s.enum != nil && !slices.Contains(s.enum, v) {
		problems = append(problems, Problem{Key: at, Reason: "value must be one of '" + strings.Join(s.enum, "', '") + "'"})
	}
	if s.pattern != nil && !s.pattern.MatchString(v) {
		problems = append(problems, Problem{Key: at, Reason: fmt.Sprintf("%s does not match pattern '%s'", quote(v), s.pattern)})
	}
	return atMost(problems, at, "maxLength", utf8.RuneCountInString(v), s.maxLength)
}

// atLeast appends a problem if n is below the bound; nil stands for none.
func atLeast[N int | float64](problems Problems, at, keyword string, n N, bound *N) Problems {
	if bound == nil || n >= *bound {
		return problems
	}
	return append(problems, Problem{Key: at, Reason: fmt.Sprintf("%s: got %v, want %v", keyword, n, *bound)})
}

// atMost appends a problem if n is above the bound; nil stands for none.
func atMost[N int | float64](problems Problems, at, keyword string, n N, bound *N) Problems {
	if bound == nil || n <= *bound {
		return problems
	}
	return append(problems, Problem{Key: at, Reason: fmt.Sprintf("%s: got %v, want %v", keyword, n, *bound)})
}

func join(at, name string) string {
	if at == "" {
		return name
	}
	return at + "." + name
}

// quote quotes a string that comes from the value.
func quote(s string) string {
	const maxQuoted = 100 // so that a problem of a large value stays readable
	if len(s) > maxQuoted {
		s = s[:maxQuoted] + "..."
	}
	quoted := strconv.Quote(s)
	return "'" + quoted[1:len(quoted)-1] + "'"
}

// kindOf returns the type of a value in the terms of a schema.
func kindOf(value any) string {
	switch v := value.(type) {
	case nil:
		return "null"
	case map[string]any:
		return "object"
	case []any:
		return "array"
	case string:
		return "string"
	case bool:
		return "boolean"
	default:
		n, ok := number(v)
		switch {
		case !ok:
			return fmt.Sprintf("%T", v)
		case n == math.Trunc(n):
			return "integer"
		}
		return "number"
	}
}

// number returns the value of a number as JSON and TOML decoders return it.
func number(value any) (float64, bool) {
	switch v := value.(type) {
	case json.Number:
		n, err := v.Float64()
		return n, err == nil || errors.Is(err, strconv.ErrRange) // out of range: infinite
	case float64:
		return v, !math.IsNaN(v) && !math.IsInf(v, 0)
	case int64:
		return float64(v), true
	case int:
		return float64(v), true
	}
	return 0, false
}
