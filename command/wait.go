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
	waitPoll       = 200 * time.Millisecond
	defaultTimeout = 30 * time.Second
)

// waitFlags says whether and where a change is waited for.
type waitFlags struct {
	wait      bool
	timeout   time.Duration
	processes *processes
}

func addWaitFlags(command *cobra.Command) *waitFlags {
	f := &waitFlags{}
	command.Flags().BoolVar(&f.wait, "wait", false, "return when the revision is in force at every process")
	command.Flags().DurationVar(&f.timeout, "timeout", defaultTimeout, "how long to wait")
	f.processes = addProcessFlags(command)
	return f
}

// await waits until revision is in force at every process, and names those that
// have not after the timeout.
func (f *waitFlags) await(cmd *cobra.Command, revision version.Revision) error {
	if !f.wait {
		return nil
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), f.timeout)
	defer cancel()
	began := time.Now()
	last := -1
	for {
		rows, err := f.processes.statuses(cmd.Context())
		if err != nil {
			return err
		}
		behind := behind(rows, int64(revision))
		if len(behind) == 0 {
			_, _ = fmt.Fprintf(cmd.ErrOrStderr(), "revision %d is in force at all %d processes after %s\n",
				revision, len(rows), time.Since(began).Round(time.Millisecond))
			return nil
		}
		if len(behind) != last {
			last = len(behind)
			_, _ = fmt.Fprintf(cmd.ErrOrStderr(), "in force at %d of %d processes\n", len(rows)-last, len(rows))
		}
		select {
		case <-ctx.Done():
			message := fmt.Sprintf("revision %d is accepted, but after %s not in force at: %s",
				revision, f.timeout, strings.Join(behind, ", "))
			return &exitError{code: ExitNotInForce, message: message}
		case <-time.After(waitPoll):
		}
	}
}

func behind(rows []statusRow, revision int64) []string {
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
