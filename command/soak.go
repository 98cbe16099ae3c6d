package command

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strconv"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/mulberrylane/mulberrylane/bench/soak"
)

func newSoak() *cobra.Command {
	options := soak.DefaultOptions()
	var folder string
	var first uint64
	var count int
	command := &cobra.Command{
		Use:   "soak",
		Short: "Run gateways under random faults and check the promises to callers",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if first == 0 {
				first = rand.Uint64N(1 << 32)
			}
			return soakSeeds(cmd, options, folder, first, count)
		},
	}
	flags := command.Flags()
	flags.StringVar(&options.GatewayPath, "gateway", "bin/mlgateway", "the program to run")
	flags.StringVar(&folder, "out", "out/soak", "folder for settings and logs, one below it for each seed")
	flags.Uint64Var(&first, "seed", 0, "the first seed; 0 draws one")
	flags.IntVar(&count, "seeds", 1, "how many seeds, one after the other")
	flags.DurationVar(&options.FaultDuration, "faulty", options.FaultDuration, "how long faults come")
	flags.DurationVar(&options.RecoveryTime, "calm", options.RecoveryTime, "how long the system has to recover")
	flags.IntVar(&options.Entries, "entries", options.Entries, "gateway processes")
	flags.IntVar(&options.Engines, "engines", options.Engines, "model engines")
	flags.IntVar(&options.Applications, "applications", options.Applications, "application replicas")
	flags.IntVar(&options.Callers, "callers", options.Callers, "callers at once")
	return command
}

// soakSeeds plays count seeds from first on, one after the other.
func soakSeeds(cmd *cobra.Command, options soak.Options, folder string, first uint64, count int) error {
	failed := 0
	for i := range uint64(max(0, count)) {
		options.Seed = first + i
		options.Directory = filepath.Join(folder, strconv.FormatUint(options.Seed, 10))
		report, err := soak.Run(cmd.Context(), options)
		if err != nil {
			return errors.Wrapf(err, "seed %d", options.Seed)
		}
		if len(report.Violations) > 0 {
			failed++
		}
		if err := printSoak(cmd, report); err != nil {
			return errors.Wrap(err, "write")
		}
	}
	if failed > 0 {
		return errors.Errorf("%d of %d seeds broke a promise; logs are in %s", failed, count, folder)
	}
	return nil
}

// printSoak prints what a seed found, and its faults where a promise was broken.
func printSoak(cmd *cobra.Command, report soak.Report) error {
	out := cmd.OutOrStdout()
	if _, err := fmt.Fprintf(out, "seed %d: %d promises broken, requests %v\n",
		report.Seed, len(report.Violations), report.RequestsByStatus); err != nil {
		return err //nolint:wrapcheck // wrapped by the caller
	}
	if len(report.Violations) == 0 {
		return nil
	}
	for _, line := range append(report.Violations, report.Schedule...) {
		if _, err := fmt.Fprintln(out, "   ", line); err != nil {
			return err //nolint:wrapcheck // wrapped by the caller
		}
	}
	return nil
}
