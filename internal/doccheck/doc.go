// Package doccheck holds the test that the pages of the project agree with it: links
// lead somewhere, and commands, experiments, packages and metrics that a page names
// exist.
package doccheck
