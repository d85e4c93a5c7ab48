package main

import (
	"os"

	"swiftdeal/internal/testing/cost"
)

// costCommand measures the cost of requests to a node.
type costCommand struct {
	Check  string `name:"check" placeholder:"FILE" help:"Fail if a count is more than 5% above the baseline in this file."`
	Record string `name:"record" placeholder:"FILE" help:"Write the counts to this file as the new baseline."`
}

// Run starts a node from this executable for each case, sends it requests and prints the counts. It fails if a count is
// more than the tolerance above the baseline.
func (c costCommand) Run() error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	return cost.Report(program, os.Stdout, c.Check, c.Record)
}

// costNodeCommand runs the node that costCommand measures.
type costNodeCommand struct{}

// Run serves one case, controlled by standard input.
func (costNodeCommand) Run() error { return cost.Child(os.Getenv, os.Stdin, os.Stdout) }
