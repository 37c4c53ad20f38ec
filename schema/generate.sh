#!/usr/bin/env bash
# Generates schema/gen from the JSON Schemas. Needs go-jsonschema on PATH (see Makefile, target tools).
set -euo pipefail
cd "$(dirname "$0")"
for name in settings manifest upstream caller platform peer; do
  mkdir -p "gen/$name"
  go-jsonschema --only-models -t --tags json,toml,cbor -p "$name" -o "gen/$name/$name.go" "$name.schema.json"
done
cd ..
go run ./schema/refdoc docs/operators
