package command

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/mulberrylane/mulberrylane/bench/demo"
	"github.com/mulberrylane/mulberrylane/bench/slopes"
)

// The marks between which the capacity page holds measured tables.
const (
	slopesBegin = "<!-- slopes: begin -->"
	slopesEnd   = "<!-- slopes: end -->"
)

const pageMode = 0o644

func newBenchSlopes() *cobra.Command {
	command := &cobra.Command{
		Use:   "slopes",
		Short: "Measure what links, requests, tokens and streams cost (see scripts/slopes.sh)",
	}
	command.AddCommand(newSlopesMeasure(), newSlopesFit())
	return command
}

func newSlopesMeasure() *cobra.Command {
	var directory, output string
	command := &cobra.Command{
		Use:   "measure",
		Short: "Take samples at running processes",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			plan, err := demo.ReadPlan(directory)
			if err != nil {
				return err
			}
			samples, err := slopes.Measure(cmd.Context(), plan, cmd.OutOrStdout())
			if err != nil {
				return err
			}
			data, err := json.MarshalIndent(samples, "", "  ")
			if err != nil {
				return errors.Wrap(err, "encode")
			}
			return errors.Wrap(os.WriteFile(output, data, pageMode), "write")
		},
	}
	command.Flags().StringVar(&directory, "dir", "", "directory of the prepared processes")
	command.Flags().StringVar(&output, "out", "", "JSON file that the samples are written to")
	markRequired(command, "dir", "out")
	return command
}

func newSlopesFit() *cobra.Command {
	var page string
	command := &cobra.Command{
		Use:   "fit SMALL LARGE",
		Short: "Work out slopes from the samples of two fleets and what they come to at the target",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			var small, large []slopes.Sample
			if err := readJSON(args[0], &small); err != nil {
				return err
			}
			if err := readJSON(args[1], &large); err != nil {
				return err
			}
			fitted, err := slopes.Fit(small, large)
			if err != nil {
				return err
			}
			tables := fitted.Markdown(slopes.TwoYearObjective())
			if page == "" {
				_, err = fmt.Fprint(cmd.OutOrStdout(), tables)
				return errors.Wrap(err, "write")
			}
			return rewritePage(page, tables)
		},
	}
	command.Flags().StringVar(&page, "write", "", "page whose marked part is replaced")
	return command
}

// rewritePage replaces what stands between the marks of a page.
func rewritePage(path, tables string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "page")
	}
	before, rest, ok := strings.Cut(string(data), slopesBegin)
	_, after, closed := strings.Cut(rest, slopesEnd)
	if !ok || !closed {
		return errors.Errorf("%s has no part between %q and %q", path, slopesBegin, slopesEnd)
	}
	text := before + slopesBegin + "\n\n" + tables + "\n" + slopesEnd + after
	return errors.Wrap(os.WriteFile(path, []byte(text), pageMode), "write")
}
