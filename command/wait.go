package command

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/mulberrylane/mulberrylane/version"
)

const (
	waitPollInterval   = 200 * time.Millisecond
	defaultWaitTimeout = 30 * time.Second
)

// waitFlags holds the flags that tell a command whether to wait for a change, how
// long and for which processes.
type waitFlags struct {
	wait      bool
	timeout   time.Duration
	processes *processFlags
}

func addWaitFlags(command *cobra.Command) *waitFlags {
	f := &waitFlags{}
	command.Flags().BoolVar(&f.wait, "wait", false, "return when the revision is in force at every process")
	command.Flags().DurationVar(&f.timeout, "timeout", defaultWaitTimeout, "how long to wait")
	f.processes = addProcessFlags(command)
	return f
}

// waitUntilActive waits until revision is active at every process. After the timeout
// it returns an error that names the processes where it is not.
func (f *waitFlags) waitUntilActive(cmd *cobra.Command, revision version.Revision) error {
	if !f.wait {
		return nil
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), f.timeout)
	defer cancel()
	start := time.Now()
	lastBehind := -1
	for {
		rows, err := f.processes.queryStatuses(cmd.Context())
		if err != nil {
			return err
		}
		behind := processesBehind(rows, int64(revision))
		if len(behind) == 0 {
			_, _ = fmt.Fprintf(cmd.ErrOrStderr(), "revision %d is in force at all %d processes after %s\n",
				revision, len(rows), time.Since(start).Round(time.Millisecond))
			return nil
		}
		if len(behind) != lastBehind {
			lastBehind = len(behind)
			_, _ = fmt.Fprintf(cmd.ErrOrStderr(), "in force at %d of %d processes\n", len(rows)-lastBehind, len(rows))
		}
		select {
		case <-ctx.Done():
			message := fmt.Sprintf("revision %d is accepted, but after %s not in force at: %s",
				revision, f.timeout, strings.Join(behind, ", "))
			return &exitError{code: ExitNotActive, message: message}
		case <-time.After(waitPollInterval):
		}
	}
}

func processesBehind(rows []statusRow, revision int64) []string {
	var names []string
	for _, row := range rows {
		switch {
		case row.Error != "":
			names = append(names, row.Process+" (not reached)")
		case row.Revision < revision:
			names = append(names, fmt.Sprintf("%s (revision %d)", row.Process, row.Revision))
		}
	}
	return names
}
