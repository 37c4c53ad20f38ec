// Package doccheck holds only a test: that the targets of links in the Markdown pages
// exist, and the make targets, packages, experiments and metrics that the pages name,
// and that no page names a path of a particular machine.
package doccheck
