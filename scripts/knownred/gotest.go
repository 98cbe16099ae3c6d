package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// goTest runs go test in the directory of a module.
type goTest struct {
	directory string
	flags     []string
	out       io.Writer
}

func (g goTest) command(args ...string) *exec.Cmd {
	command := exec.Command("go", args...)
	command.Dir, command.Stderr = g.directory, os.Stderr
	return command
}

// alonePackages run by themselves, after the others: their tests measure the memory of processes.
var alonePackages = []string{"./process/hostile"}

// runUnlisted runs all tests but the listed ones. It returns whether they pass.
func (g goTest) runUnlisted(entries []entry) (bool, error) {
	directories, err := g.packageDirectories()
	if err != nil {
		return false, err
	}
	skipped := map[string][]string{}
	for _, e := range entries {
		if !slices.Contains(directories, e.directory) {
			return false, lineError(e.line, "there is no package %s", e.directory)
		}
		skipped[e.directory] = append(skipped[e.directory], exactPattern(e.test))
	}
	alone := func(d string) bool { return skipped[d] != nil || slices.Contains(alonePackages, d) }
	whole := slices.DeleteFunc(slices.Clone(directories), alone)
	ok := true
	if len(whole) > 0 {
		if ok, err = g.runPackages(whole...); err != nil {
			return false, err
		}
	}
	for _, d := range directories {
		if !alone(d) {
			continue
		}
		args := []string{d}
		if skipped[d] != nil {
			args = []string{"-skip", strings.Join(skipped[d], "|"), d}
		}
		passed, err := g.runPackages(args...)
		if err != nil {
			return false, err
		}
		ok = ok && passed
	}
	return ok, nil
}

// packageDirectories returns the directories of all packages, as in ./bench/soak.
func (g goTest) packageDirectories() ([]string, error) {
	list := g.command("list", "-f", "{{.Module.Dir}}\t{{.Dir}}", "./...")
	out, err := list.Output()
	if err != nil {
		return nil, errors.Wrap(err, "go list ./...")
	}
	var directories []string
	for line := range strings.Lines(string(out)) {
		root, directory, _ := strings.Cut(strings.TrimSpace(line), "\t")
		relative, err := filepath.Rel(root, directory)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		if relative != "." {
			relative = "./" + filepath.ToSlash(relative)
		}
		directories = append(directories, relative)
	}
	return directories, nil
}

func (g goTest) runPackages(args ...string) (bool, error) {
	command := g.command(append(append([]string{"test"}, g.flags...), args...)...)
	command.Stdout = g.out
	return passed(command.Run())
}

// passed returns whether a run of go test passed. The error is nil if it ran at all.
func passed(err error) (bool, error) {
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return false, nil
	}
	return err == nil, errors.Wrap(err, "go test")
}

// exactPattern returns the pattern of go test that matches one test and its subtests.
func exactPattern(test string) string {
	parts := strings.Split(test, "/")
	for i, part := range parts {
		parts[i] = "^" + regexp.QuoteMeta(part) + "$"
	}
	return strings.Join(parts, "/")
}

// runListed runs one listed test alone, without the cache of test results.
func (g goTest) runListed(e entry, entries []entry) (result, error) {
	args := append([]string{"test", "-json", "-count=1", "-run", exactPattern(e.test)}, g.flags...)
	command := g.command(append(args, e.directory)...)
	stream, err := command.StdoutPipe()
	if err != nil {
		return result{}, errors.WithStack(err)
	}
	if err := command.Start(); err != nil {
		return result{}, errors.Wrap(err, "go test")
	}
	actions, output, err := readEvents(stream)
	_, _ = fmt.Fprintf(g.out, "\nknown failure %s %s:\n    %s\n", e.directory, e.test, strings.ReplaceAll(strings.TrimSpace(output), "\n", "\n    "))
	if _, err := passed(command.Wait()); err != nil {
		return result{}, err
	}
	return judge(e, entries, actions), err
}

// testEvent is the part used here of an event written by go test -json.
type testEvent struct {
	Action, Test, Output string
}

// readEvents reads a stream of test events. It returns the last action of each test by its
// name, and that of the package by the empty name, and the output of all.
func readEvents(stream io.Reader) (map[string]string, string, error) {
	actions := map[string]string{}
	var output strings.Builder
	reader := bufio.NewReader(stream)
	for {
		line, err := reader.ReadBytes('\n')
		var event testEvent
		if json.Unmarshal(line, &event) != nil {
			// The go command writes some errors as plain text.
			event = testEvent{Action: "output", Output: string(line)}
		}
		if strings.HasSuffix(event.Action, "output") {
			output.WriteString(event.Output)
		} else {
			actions[event.Test] = event.Action
		}
		if errors.Is(err, io.EOF) {
			return actions, output.String(), nil
		}
		if err != nil {
			return nil, output.String(), errors.Wrap(err, "go test -json")
		}
	}
}

// result is what a run of a listed test showed.
type result struct {
	entry  entry
	passes bool
	// problem says why the entry cannot stand. It is empty if it can.
	problem string
}

func (r result) String() string {
	switch {
	case r.problem != "":
		return "error: " + r.problem
	case r.passes:
		return "passes again, remove its entry"
	default:
		return "failed, passed over"
	}
}

// judge returns the result of the run of a listed test that ended with the given actions.
func judge(e entry, entries []entry, actions map[string]string) result {
	r := result{entry: e}
	listed := func(test string) bool {
		return slices.ContainsFunc(entries, func(o entry) bool { return o.directory == e.directory && o.test == test })
	}
	listedFailed := false
	for test, action := range actions {
		listedFailed = listedFailed || failed(action) && listed(test)
	}
	action, ran := actions[e.test]
	switch {
	case !ran && actions[""] == "pass":
		r.problem = "the test does not exist"
	case !ran:
		r.problem = "the test did not run"
	case action == "skip":
		r.problem = "the test was skipped"
	case action == "pass" && actions[""] != "pass" && !listedFailed:
		r.problem = "the test passes, but the run of it alone fails"
	case action == "pass":
		r.passes = true
	}
	for test, action := range actions {
		if failed(action) && strings.HasPrefix(test, e.test+"/") && !listed(test) {
			r.problem = fmt.Sprintf("its subtest %s fails and is not listed", test)
		}
	}
	return r
}

// failed returns whether a test failed whose last action is given. A test that panics or hangs
// has no last action that says so.
func failed(action string) bool { return action != "pass" && action != "skip" }
