package validate_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
	"pgregory.net/rapid"

	"github.com/sardinespindle/sardinespindle/internal/testkit"
	"github.com/sardinespindle/sardinespindle/internal/validate"
	"github.com/sardinespindle/sardinespindle/schema"
)

func TestValidate(t *testing.T) { testkit.Run(t, "validate") }

// document returns an embedded schema as a JSON tree.
func document(name string) map[string]any {
	f, err := schema.Files.Open(name + ".schema.json")
	Expect(err).NotTo(HaveOccurred())
	defer f.Close()
	tree, err := validate.DecodeJSON(f)
	Expect(err).NotTo(HaveOccurred())
	return tree.(map[string]any)
}

// generator draws values that mostly follow a schema and sometimes break it.
type generator struct {
	t    *rapid.T
	defs map[string]any
}

var junk = []any{nil, true, "x", "", json.Number("1.5"), json.Number("-3"), json.Number("7"), json.Number("1e400"), []any{}, map[string]any{"x": "y"}}

var texts = []string{"", "a", "vm-1", "A b", "127.0.0.1:80", "127.0.0.1", "[::1]:5", "json", "catalog", strings.Repeat("é", 40), strings.Repeat("f", 64), strings.Repeat("x", 300), strings.Repeat("x", 5000)}

var numbers = []json.Number{"0", "1", "2.0", "0.5", "-1", "5", "100", "1000000", "1e9", "99999999999"}

func (g generator) chance(percent int) bool {
	return rapid.IntRange(1, 100).Draw(g.t, "chance") <= percent
}

func (g generator) value(s map[string]any, depth int) any {
	if ref, ok := s["$ref"].(string); ok {
		return g.value(g.defs[strings.TrimPrefix(ref, "#/$defs/")].(map[string]any), depth)
	}
	if g.chance(4) {
		return rapid.SampledFrom(junk).Draw(g.t, "junk")
	}
	switch s["type"] {
	case "object":
		return g.object(s, depth)
	case "array":
		list := []any{}
		items, _ := s["items"].(map[string]any)
		for range rapid.IntRange(0, 3).Draw(g.t, "length") {
			list = append(list, g.value(items, depth+1))
		}
		return list
	case "string":
		if enum, ok := s["enum"].([]any); ok && g.chance(80) {
			return rapid.SampledFrom(enum).Draw(g.t, "enum")
		}
		return rapid.SampledFrom(texts).Draw(g.t, "text")
	case "boolean":
		return true
	default:
		return rapid.SampledFrom(numbers).Draw(g.t, "number")
	}
}

func (g generator) object(s map[string]any, depth int) any {
	properties, _ := s["properties"].(map[string]any)
	required, _ := s["required"].([]any)
	v := map[string]any{}
	for _, name := range slices.Sorted(maps.Keys(properties)) {
		if slices.Contains(required, any(name)) && g.chance(95) || depth < 4 && g.chance(40) {
			v[name] = g.value(properties[name].(map[string]any), depth+1)
		}
	}
	if g.chance(5) {
		v["unknown"] = "x"
	}
	return v
}

// reference checks a value with an independent implementation of JSON Schema.
type reference struct{ compiled *jsonschema.Schema }

func newReference(name, def string) reference {
	c := jsonschema.NewCompiler()
	Expect(c.AddResource("mem:///"+name, any(document(name)))).To(Succeed())
	location := "mem:///" + name
	if def != "" {
		location += "#/$defs/" + def
	}
	compiled, err := c.Compile(location)
	Expect(err).NotTo(HaveOccurred())
	return reference{compiled}
}

// problems returns the location and the kind of each problem, sorted.
func (r reference) problems(value any) (found []string) {
	err := r.compiled.Validate(value)
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return nil
	}
	printer := message.NewPrinter(language.English)
	var walk func(e *jsonschema.ValidationError)
	walk = func(e *jsonschema.ValidationError) {
		if len(e.Causes) == 0 {
			found = append(found, strings.Join(e.InstanceLocation, ".")+" "+kindOfProblem(e.ErrorKind.LocalizedString(printer)))
		}
		for _, cause := range e.Causes {
			walk(cause)
		}
	}
	walk(invalid)
	slices.Sort(found)
	return slices.Compact(found)
}

// kindOfProblem returns the kind of a problem from its text.
func kindOfProblem(reason string) string {
	for _, kind := range []string{"missing", "additional", "does not match pattern", "must be one of", "minimum", "maximum", "minItems", "maxItems", "maxLength", "want"} {
		if strings.Contains(reason, kind) {
			return kind
		}
	}
	return reason
}

func ownProblems(err error) (found []string) {
	var problems validate.Problems
	if !errors.As(err, &problems) {
		return nil
	}
	for _, p := range problems {
		found = append(found, p.Key+" "+kindOfProblem(p.Reason))
	}
	slices.Sort(found)
	return slices.Compact(found)
}

var _ = Describe("A compiled schema", func() {
	// Guards against a value that the schemas forbid and that the checks here let pass, or the reverse.
	DescribeTable("finds the problems that an independent implementation finds",
		func(name, def string) {
			s, other, doc := validate.MustCompile(name, def), newReference(name, def), document(name)
			defs, _ := doc["$defs"].(map[string]any)
			from := doc
			if def != "" {
				from = defs[def].(map[string]any)
			}
			valid, invalid := 0, 0
			rapid.Check(GinkgoTB(), func(t *rapid.T) {
				value := generator{t, defs}.value(from, 0)
				want := other.problems(value)
				if got := ownProblems(s.Check(value)); !slices.Equal(got, want) {
					text, _ := json.Marshal(value)
					t.Fatalf("problems %q, want %q, of %s", got, want, text)
				}
				if len(want) == 0 {
					valid++
				} else {
					invalid++
				}
			})
			fmt.Fprintln(GinkgoWriter, name, def, valid, "valid", invalid, "invalid")
			Expect(invalid).To(BeNumerically(">", 0))
		},
		Entry("settings", "settings", ""),
		Entry("a manifest's head", "manifest", "Head"),
		Entry("a manifest's part", "manifest", "Part"),
		Entry("a caller's search", "caller", "Search"),
		Entry("all messages between VMs", "peer", ""),
		Entry("the replies of upstreams", "upstream", ""),
		Entry("the list of VMs", "platform", ""),
	)

	It("lists every problem with its place, in a fixed order", func() {
		tree := map[string]any{
			"name": "VM 1", "zone": "a", "colour": "red",
			"listen":   map[string]any{"callers": "127.0.0.1:1", "peers": "127.0.0.1:2"},
			"platform": map[string]any{"addresses": []any{}},
			"stop":     map[string]any{"linger_ms": int64(-1), "grace_ms": "3s"},
		}
		err := validate.MustCompile("settings", "").Check(tree)
		Expect(err).To(MatchError(`additional properties 'colour' not allowed; listen: missing property 'admin'; ` +
			`name: 'VM 1' does not match pattern '^[a-z0-9][a-z0-9.-]{0,62}$'; platform.addresses: minItems: got 0, want 1; ` +
			`stop.grace_ms: got string, want integer; stop.linger_ms: minimum: got -1, want 0`))
	})
})

var _ = Describe("DecodeJSON", func() {
	// Guards against a body whose second value is ignored.
	DescribeTable("refuses text that is not one value",
		func(text string) {
			_, err := validate.DecodeJSON(bytes.NewReader([]byte(text)))
			Expect(err).To(HaveOccurred())
		},
		Entry("two values", `{} {}`),
		Entry("a value and a bracket", `{}]`),
		Entry("nothing", ``),
		Entry("half a value", `{"a":`),
	)
})
