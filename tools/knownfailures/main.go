// Command knownfailures reads the events of "go test -json" and compares the failures with a list of known failures, one per line:
//
//	PACKAGE.TEST | CAUSE | ISSUE                  the test fails in each run; the run fails if it passes
//	PACKAGE.TEST | intermittent: CAUSE | ISSUE    the test must run, and may fail
//	command: COMMAND | CAUSE | ISSUE              a command that shows the failure; no test runs it
//
// TEST may be a subtest, given by its exact name (swiftdeal/internal/node.TestX/name). Any other failure fails the run.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: go test -json ./... | knownfailures FILE")
		os.Exit(2)
	}
	text, err := os.ReadFile(os.Args[1])
	if err == nil {
		err = judge(string(text), os.Stdin, os.Stdout)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
