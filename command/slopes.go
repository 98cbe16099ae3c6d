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

// Markers around the measured tables in docs/CAPACITY.md.
const (
	slopesBeginMarker = "<!-- slopes: begin -->"
	slopesEndMarker   = "<!-- slopes: end -->"
)

const fileMode = 0o644

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
			return errors.Wrap(os.WriteFile(output, data, fileMode), "write")
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
			return replaceTables(page, tables)
		},
	}
	command.Flags().StringVar(&page, "write", "", "page whose marked part is replaced")
	return command
}

// replaceTables replaces the text between the markers of a page.
func replaceTables(path, tables string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "page")
	}
	before, rest, ok := strings.Cut(string(data), slopesBeginMarker)
	_, after, closed := strings.Cut(rest, slopesEndMarker)
	if !ok || !closed {
		return errors.Errorf("%s has no part between %q and %q", path, slopesBeginMarker, slopesEndMarker)
	}
	text := before + slopesBeginMarker + "\n\n" + tables + "\n" + slopesEndMarker + after
	return errors.Wrap(os.WriteFile(path, []byte(text), fileMode), "write")
}
