package main

import (
	"os"

	"swiftdeal/internal/testing/scale"
)

// child is one process of a run: it takes commands until its standard input ends, which also means that the tool has ended.
type child struct{}

// Run serves commands.
func (child) Run() error { return scale.NewChild().Serve(os.Stdin, os.Stdout) }
