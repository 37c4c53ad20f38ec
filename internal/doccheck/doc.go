// Package doccheck has no code but tests of the Markdown pages. What the pages link to or
// name must exist: files, make targets, packages, experiments and metrics. No page may
// name a path of a particular machine.
package doccheck
