// Package architecture contains tests that compare docs/ARCHITECTURE.md with the sources: the imports of each package, which
// packages do no input or output, and whether the names on the page are declared.
package architecture
