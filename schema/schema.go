// Package schema embeds the JSON Schemas of settings, manifest and messages.
// The Go types in schema/gen are generated from the same files.
package schema

import "embed"

// Files holds every schema, named NAME.schema.json.
//
//go:embed *.schema.json
var Files embed.FS
