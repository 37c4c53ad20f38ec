// Command refdoc generates the reference pages of settings and manifest from their
// JSON Schemas, in the directory given as its argument or in docs/operators.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/sardinespindle/sardinespindle/schema"
)

// node holds the keywords of a JSON Schema that refdoc reads.
type node struct {
	Title       string          `json:"title"`
	Description string          `json:"description"`
	Type        string          `json:"type"`
	Ref         string          `json:"$ref"`
	Enum        []string        `json:"enum"`
	Default     any             `json:"default"`
	Minimum     *float64        `json:"minimum"`
	Maximum     *float64        `json:"maximum"`
	MinItems    *int            `json:"minItems"`
	MaxItems    *int            `json:"maxItems"`
	Pattern     string          `json:"pattern"`
	Items       *node           `json:"items"`
	Required    []string        `json:"required"`
	Properties  map[string]node `json:"properties"`
	Defs        map[string]node `json:"$defs"`
}

func main() {
	dir := "docs/operators"
	if len(os.Args) > 1 {
		dir = os.Args[1]
	}
	for _, name := range []string{"settings", "manifest"} {
		page, err := render(name)
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, name+".md"), []byte(page), 0o644)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, "refdoc:", err)
			os.Exit(1)
		}
	}
}

// render returns the reference page of a schema: its own keys, and a section for each
// object under $defs.
func render(name string) (string, error) {
	text, err := schema.Files.ReadFile(name + ".schema.json")
	if err != nil {
		return "", err
	}
	var n node
	if err := json.Unmarshal(text, &n); err != nil {
		return "", fmt.Errorf("%s: %w", name, err)
	}
	var out strings.Builder
	fmt.Fprintf(&out, "# %s reference\n\nGenerated from `schema/%s.schema.json` by `make generate`; do not edit.\n\n%s\n", n.Title, name, n.Description)
	writeTable(&out, n, n.Defs)
	for _, def := range sortedKeys(n.Defs) {
		d := n.Defs[def]
		if d.Type != "object" {
			continue
		}
		fmt.Fprintf(&out, "\n## %s\n\n%s\n", def, d.Description)
		writeTable(&out, d, n.Defs)
	}
	return out.String(), nil
}

// writeTable writes the table of an object's keys. A key without a description of its
// own takes that of the definition it refers to.
func writeTable(out *strings.Builder, n node, defs map[string]node) {
	out.WriteString("\n| key | type | bounds | default | meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, key := range sortedKeys(n.Properties) {
		p := n.Properties[key]
		meaning := p.Description
		target := defs[refName(p.Ref)]
		if meaning == "" {
			meaning = target.Description
		}
		fmt.Fprintf(out, "| `%s` | %s | %s | %s | %s |\n", key, typeOf(p, defs), bounds(p, target), defaultOf(key, p, n.Required), escape(meaning))
	}
}

func typeOf(p node, defs map[string]node) string {
	if name := refName(p.Ref); name != "" {
		if defs[name].Type == "object" {
			return fmt.Sprintf("[%s](#%s)", name, strings.ToLower(name))
		}
		return defs[name].Type
	}
	if p.Type == "array" && p.Items != nil {
		return "array of " + typeOf(*p.Items, defs)
	}
	return p.Type
}

// bounds lists the constraints of a key and of the definition that it refers to.
func bounds(p, target node) string {
	var parts []string
	for _, n := range []node{p, target} {
		if len(n.Enum) > 0 {
			parts = append(parts, "`"+strings.Join(n.Enum, "`, `")+"`")
		}
		if n.Minimum != nil {
			parts = append(parts, fmt.Sprintf("at least %v", *n.Minimum))
		}
		if n.Maximum != nil {
			parts = append(parts, fmt.Sprintf("at most %.0f", *n.Maximum))
		}
		if n.MaxItems != nil {
			parts = append(parts, fmt.Sprintf("at most %d entries", *n.MaxItems))
		}
		if n.Pattern != "" {
			parts = append(parts, "`"+escape(n.Pattern)+"`")
		}
	}
	return strings.Join(parts, "; ")
}

// defaultOf returns the default of a key, "required" if the key must be set, or "".
func defaultOf(key string, p node, required []string) string {
	for _, r := range required {
		if r == key {
			return "required"
		}
	}
	if p.Default == nil || p.Default == "" {
		return ""
	}
	return fmt.Sprintf("`%v`", p.Default)
}

func refName(ref string) string { return strings.TrimPrefix(ref, "#/$defs/") }

// escape escapes text for a cell of a Markdown table.
func escape(s string) string { return strings.ReplaceAll(s, "|", "\\|") }

func sortedKeys(m map[string]node) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
