//go:build review

// Package stand is a program that runs one case of the review: the gateways of the project as
// separate processes, with stand-ins of the store, of replicas and of clients, on loopback
// addresses and the real clock. Build it with review/build.sh.
package stand

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitFailure = 2
)

// runLimit ends a case that hangs.
const runLimit = 110 * time.Second

// cases maps the arguments of the program to the cases, which add themselves. A case returns
// whether the rule held.
var cases = map[string]func(*deployment) bool{}

func TestMain(*testing.M) {
	if len(os.Args) == 3 && os.Args[1] == "replica" {
		os.Exit(runReplicaProcess(os.Args[2]))
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-stand CASE RECORD, from the root of the repository")
		os.Exit(exitFailure)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}

func runCase(run func(*deployment) bool, record string) (code int) {
	d, err := newDeployment(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	defer d.close()
	defer func() {
		if r := recover(); r != nil {
			d.record("the case could not run: %v", r)
			fmt.Fprintln(os.Stderr, "the case could not run:", r)
			code = exitFailure
		}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	held := make(chan bool, 1)
	failed := make(chan any, 1)
	go func() {
		defer func() {
			if r := recover(); r != nil {
				failed <- r
			}
		}()
		held <- run(d)
	}()
	select {
	case ok := <-held:
		d.record("rule held: %v", ok)
		fmt.Println("rule held:", ok)
		if ok {
			return exitHeld
		}
		return exitBroken
	case reason := <-failed:
		panic(reason)
	case <-interrupted:
		panic("interrupted")
	case <-time.After(runLimit):
		panic("took too long")
	}
}
