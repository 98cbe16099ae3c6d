// Command knownred runs the tests of the module in the current directory and passes over
// the known failures listed in KNOWN-RED.txt. Its arguments are flags for go test:
//
//	go run ./scripts/knownred -race -timeout 5m
//
// An entry of KNOWN-RED.txt has five fields and ends at an empty line. A line that begins
// with white space continues the field above it, a line that begins with # is a comment:
//
//	test: ./process/order TestOrder_Survives/two_losses
//	command: go test -race -run 'TestOrder_Survives/two_losses' ./process/order
//	seed: 7 (none, if the test has no seed)
//	seen: the second loss leaves the order without a holder
//	issue: 25
//
// The field test holds the directory of the package and the name as go test prints it.
//
// All tests but the listed ones run first and must pass: go test runs with -skip for each
// package that has entries and without it for the others, so that a name is passed over in
// its own package only. Then each listed test runs alone. It may fail; a subtest below it
// that fails needs an entry of its own. A listed test that does not exist, does not run or
// is skipped is an error, and one that passes is reported as such.
package main

import (
	"fmt"
	"io"
	"os"
	"slices"
)

const listFile = "KNOWN-RED.txt"

func main() {
	ok, err := run(".", os.Args[1:], os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
	}
	if err != nil || !ok {
		os.Exit(1)
	}
}

// run runs all tests of the module in a directory. It returns whether all tests pass but
// those that are listed.
func run(directory string, testFlags []string, out io.Writer) (bool, error) {
	entries, err := readEntries(directory)
	if err != nil {
		return false, err
	}
	command := goTest{directory: directory, flags: testFlags, out: out}
	ok, err := command.runUnlisted(entries)
	if err != nil {
		return false, err
	}
	var results []result
	for _, e := range entries {
		r, err := command.runListed(e, entries)
		if err != nil {
			return false, err
		}
		results = append(results, r)
	}
	printResults(out, results)
	return ok && !slices.ContainsFunc(results, func(r result) bool { return r.problem != "" }), nil
}

func printResults(out io.Writer, results []result) {
	if len(results) == 0 {
		return
	}
	_, _ = fmt.Fprintf(out, "\nKnown failures listed in %s:\n", listFile)
	for _, r := range results {
		e := r.entry
		_, _ = fmt.Fprintf(out, "%s %s: %s\n", e.directory, e.test, r)
		_, _ = fmt.Fprintf(out, "    issue %s, seed %s, seen: %s\n    %s\n", e.issue, e.seed, e.seen, e.command)
	}
}
