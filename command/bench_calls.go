package command

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/mulberrylane/mulberrylane/bench/calls"
)

// runCalls runs an experiment of kind calls and writes its report.
func runCalls(cmd *cobra.Command, path, directory string, check bool) error {
	e, err := calls.ReadExperiment(path)
	if err != nil {
		return err
	}
	ctx := cmd.Context()
	if ctx == nil {
		ctx = context.Background()
	}
	r, err := calls.Run(ctx, e, directory, func(status string) {
		_, _ = fmt.Fprintf(cmd.ErrOrStderr(), "%s: %s\n", e.Name, status)
	})
	if err != nil {
		return err
	}
	if err := writeReport(cmd, directory, r); err != nil {
		return err
	}
	if check && !r.OK() {
		return errors.New("a target was missed")
	}
	return nil
}

// runCallsCost measures the cost of calls and writes the rows as a report.
func runCallsCost(cmd *cobra.Command, path, directory string) error {
	c, err := calls.ReadCostExperiment(path)
	if err != nil {
		return err
	}
	ctx := cmd.Context()
	if ctx == nil {
		ctx = context.Background()
	}
	rows, err := c.Measure(ctx, func(row string) { _, _ = fmt.Fprintln(cmd.ErrOrStderr(), row) })
	if err != nil {
		return err
	}
	return writeReport(cmd, directory, rows)
}

// writeReport writes report as JSON to report.json in directory and to the command's
// output.
func writeReport(cmd *cobra.Command, directory string, report any) error {
	data, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return errors.Wrap(err, "report")
	}
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return errors.Wrap(err, "report")
	}
	if err := os.WriteFile(filepath.Join(directory, "report.json"), data, 0o644); err != nil {
		return errors.Wrap(err, "report")
	}
	_, _ = fmt.Fprintf(cmd.OutOrStdout(), "%s\n", data)
	return nil
}
