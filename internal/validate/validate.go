// Package validate checks values against the embedded JSON Schemas and reports
// every problem at once. Compiled schemas are shared and safe for concurrent use.
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

const base = "mem:///"

// Problem is one thing wrong with a value.
type Problem struct {
	// Key is the path of the value, as in listen.callers; empty for the whole.
	Key string
	// Reason says what is wrong with it.
	Reason string
}

// String returns the key and the reason.
func (p Problem) String() string {
	if p.Key == "" {
		return p.Reason
	}
	return p.Key + ": " + p.Reason
}

// Problems is an error that lists everything wrong with a value.
type Problems []Problem

// Error lists the problems, separated by semicolons.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "; ")
}

// Schema is one compiled schema.
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
		if err := c.AddResource(base+name, doc); err != nil {
			panic(fmt.Sprintf("validate: %s: %v", e.Name(), err))
		}
	}
	return c
}

var compileLock sync.Mutex

// Must compiles one definition of an embedded schema, as in Must("manifest", "Part");
// an empty definition stands for the whole schema. It panics where there is none.
func Must(name, def string) *Schema {
	compileLock.Lock()
	defer compileLock.Unlock()
	loc := base + name
	if def != "" {
		loc += "#/$defs/" + def
	}
	compiled, err := compiler().Compile(loc)
	if err != nil {
		panic(fmt.Sprintf("validate: compile %s: %v", loc, err))
	}
	return &Schema{compiled: compiled, printer: message.NewPrinter(language.English)}
}

// Check returns nil, or Problems that list everything wrong with the value, which
// is made of maps, slices, strings, numbers and booleans.
func (s *Schema) Check(value any) error {
	err := s.compiled.Validate(value)
	if err == nil {
		return nil
	}
	invalid, ok := err.(*jsonschema.ValidationError) //nolint:errorlint // Validate documents this type
	if !ok {
		return Problems{{Reason: err.Error()}}
	}
	return s.leaves(invalid, nil)
}

func (s *Schema) leaves(e *jsonschema.ValidationError, found Problems) Problems {
	if len(e.Causes) == 0 {
		return append(found, Problem{
			Key:    strings.Join(e.InstanceLocation, "."),
			Reason: e.ErrorKind.LocalizedString(s.printer),
		})
	}
	for _, cause := range e.Causes {
		found = s.leaves(cause, found)
	}
	return found
}
