package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// Actions of events. All but output end a test or a package.
const (
	actionPass      = "pass"
	actionFail      = "fail"
	actionSkip      = "skip"
	actionBuildFail = "build-fail"
	actionOutput    = "output"
)

// event is an event of go test -json.
type event struct {
	Action  string `json:"Action"`
	Package string `json:"Package"`
	Test    string `json:"Test"`
	Output  string `json:"Output"`
}

// results is the outcome of a run of the tests.
type results struct {
	passed                 int               // number of passed tests, not counting subtests
	actions                map[string]string // the last action of each test and subtest that ended, by package.Test
	failedTests            []string          // tests and subtests, by package.Test
	failedPackages         []string
	packagesWithFailedTest map[string]bool // packages of which at least one test failed
}

// judge copies the output that matters of go test from in to out. It returns an error unless the failures are exactly the known ones.
func judge(list string, in io.Reader, out io.Writer) error {
	known, err := parseList(list)
	if err != nil {
		return err
	}
	r := results{actions: map[string]string{}, packagesWithFailedTest: map[string]bool{}}
	for scanner := bufio.NewScanner(in); scanner.Scan(); {
		var e event
		if json.Unmarshal(scanner.Bytes(), &e) != nil {
			fmt.Fprintln(out, scanner.Text()) // not an event: output of the build
			continue
		}
		if e.isWorthPrinting() {
			fmt.Fprint(out, e.Output)
		}
		r.record(e)
	}
	for _, failure := range known {
		fmt.Fprintln(out, "known failure:", failure.line)
	}
	unexpected := r.unexpected(known)
	fmt.Fprintf(out, "%d passed, %d failed\n", r.passed, len(unexpected))
	if len(unexpected) > 0 {
		return errors.New(strings.Join(unexpected, "\n"))
	}
	return nil
}

// isWorthPrinting reports whether an event is output of a package, or a test's output that names a line of a test file.
func (e event) isWorthPrinting() bool {
	return e.Action == actionOutput && (e.Test == "" || strings.Contains(e.Output, "_test.go:"))
}

// record adds an event to the results.
func (r *results) record(e event) {
	switch {
	case e.Test == "":
		if e.Action == actionFail || e.Action == actionBuildFail {
			r.failedPackages = append(r.failedPackages, e.Package)
		}
	case e.Action == actionPass, e.Action == actionFail, e.Action == actionSkip:
		r.recordTest(e)
	}
}

// recordTest adds the end of a test or subtest to the results.
func (r *results) recordTest(e event) {
	name := e.Package + "." + e.Test
	r.actions[name] = e.Action
	switch {
	case e.Action == actionFail:
		r.packagesWithFailedTest[e.Package] = true
		r.failedTests = append(r.failedTests, name)
	case e.Action == actionPass && !strings.Contains(e.Test, "/"):
		r.passed++
	}
}

// unexpected returns, sorted, the differences between the results and the known failures.
func (r *results) unexpected(known map[string]knownFailure) (list []string) {
	for _, test := range r.failedTests {
		if _, listed := known[test]; !listed && !r.failedThroughSubtest(test) {
			list = append(list, test+" failed")
		}
	}
	for name, failure := range known {
		action := r.actions[name]
		switch {
		case failure.kind == alwaysFails && action != actionFail:
			list = append(list, fmt.Sprintf("%s is listed as a known failure, but %q", name, action))
		case failure.kind == mayFail && action != actionFail && action != actionPass:
			list = append(list, fmt.Sprintf("%s is listed as an intermittent failure, but %q", name, action))
		}
	}
	for _, name := range r.failedPackages {
		if !r.packagesWithFailedTest[name] { // build failure, time-out or another failure outside tests
			list = append(list, name+" failed")
		}
	}
	if r.passed == 0 {
		list = append(list, "no test passed")
	}
	slices.Sort(list)
	return list
}

// failedThroughSubtest reports whether a subtest of a failed test has failed too. go test reports the parent as failed as well, so only
// the subtest is compared with the list.
func (r *results) failedThroughSubtest(test string) bool {
	return slices.ContainsFunc(r.failedTests, func(other string) bool { return strings.HasPrefix(other, test+"/") })
}
