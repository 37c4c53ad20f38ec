// Package validate checks values against the embedded JSON Schemas and reports every
// problem at once. All functions and a Schema are safe for concurrent use.
package validate

import (
	"fmt"
	"path"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"github.com/sardinespindle/sardinespindle/schema"
)

// baseURL is only a prefix of the schemas' names; nothing is loaded from it.
const baseURL = "mem:///"

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

// Schema is a compiled schema or a definition in one.
type Schema struct {
	compiled *jsonschema.Schema
	printer  *message.Printer
}

var compiler = sync.OnceValue(newCompiler)

func newCompiler() *jsonschema.Compiler {
	c := jsonschema.NewCompiler()
	entries, err := schema.Files.ReadDir(".")
	if err != nil {
		panic(fmt.Sprintf("validate: embedded schemas: %v", err))
	}
	for _, e := range entries {
		f, err := schema.Files.Open(e.Name())
		if err != nil {
			panic(fmt.Sprintf("validate: %s: %v", e.Name(), err))
		}
		doc, err := jsonschema.UnmarshalJSON(f)
		if err != nil {
			panic(fmt.Sprintf("validate: %s: %v", e.Name(), err))
		}
		name := strings.TrimSuffix(path.Base(e.Name()), ".schema.json")
		if err := c.AddResource(baseURL+name, doc); err != nil {
			panic(fmt.Sprintf("validate: %s: %v", e.Name(), err))
		}
	}
	return c
}

// compileMu serializes compilation, since all calls share one compiler.
var compileMu sync.Mutex

// MustCompile compiles one definition of an embedded schema, as in MustCompile("manifest", "Part");
// an empty definition stands for the whole schema. It panics if the schema or the
// definition does not exist or does not compile.
func MustCompile(name, def string) *Schema {
	compileMu.Lock()
	defer compileMu.Unlock()
	loc := baseURL + name
	if def != "" {
		loc += "#/$defs/" + def
	}
	compiled, err := compiler().Compile(loc)
	if err != nil {
		panic(fmt.Sprintf("validate: compile %s: %v", loc, err))
	}
	return &Schema{compiled: compiled, printer: message.NewPrinter(language.English)}
}

// Check returns nil or Problems. The value is made of maps, slices, strings, numbers,
// booleans and nil, as a JSON decoder returns it.
func (s *Schema) Check(value any) error {
	err := s.compiled.Validate(value)
	if err == nil {
		return nil
	}
	invalid, ok := err.(*jsonschema.ValidationError) //nolint:errorlint // Validate documents this type
	if !ok {
		return Problems{{Reason: err.Error()}}
	}
	return s.appendProblems(invalid, nil)
}

// appendProblems appends the innermost causes of a validation error: the outer ones only
// group them.
func (s *Schema) appendProblems(e *jsonschema.ValidationError, problems Problems) Problems {
	if len(e.Causes) == 0 {
		return append(problems, Problem{
			Key:    strings.Join(e.InstanceLocation, "."),
			Reason: e.ErrorKind.LocalizedString(s.printer),
		})
	}
	for _, cause := range e.Causes {
		problems = s.appendProblems(cause, problems)
	}
	return problems
}
