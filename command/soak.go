package command

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/mulberrylane/mulberrylane/bench/soak"
)

func newSoak() *cobra.Command {
	options := soak.DefaultOptions()
	var directory string
	var firstSeed uint64
	var seedCount int
	command := &cobra.Command{
		Use:   "soak",
		Short: "Run gateways under random faults and check the promises to callers",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if firstSeed == 0 {
				firstSeed = rand.Uint64N(1 << 32)
			}
			// An interrupted run still ends the processes that it has started.
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			cmd.SetContext(ctx)
			return runSoakSeeds(cmd, options, directory, firstSeed, seedCount)
		},
	}
	flags := command.Flags()
	flags.StringVar(&options.GatewayPath, "gateway", "bin/mlgateway", "the program to run")
	flags.StringVar(&directory, "out", "out/soak", "folder for settings and logs, one below it for each seed")
	flags.Uint64Var(&firstSeed, "seed", 0, "the first seed; 0 draws one")
	flags.IntVar(&seedCount, "seeds", 1, "how many seeds, one after the other")
	flags.DurationVar(&options.FaultDuration, "faulty", options.FaultDuration, "how long faults come")
	flags.DurationVar(&options.RecoveryTime, "calm", options.RecoveryTime, "how long the system has to recover")
	flags.BoolVar(&options.PlannedOnly, "planned", false, "only planned work, beside which every request must get a response")
	flags.BoolVar(&options.Drills, "drills", true, "the store comes back from an older copy once or twice")
	flags.BoolVar(&options.Growth, "growth", false, "the configuration grows by many routes and changes in series, behind slow links")
	flags.IntVar(&options.Entries, "entries", options.Entries, "gateway processes")
	flags.IntVar(&options.Engines, "engines", options.Engines, "model engines")
	flags.IntVar(&options.Applications, "applications", options.Applications, "application replicas")
	flags.IntVar(&options.Callers, "callers", options.Callers, "callers at once")
	return command
}

// runSoakSeeds runs seedCount seeds, starting with firstSeed, one after the other.
func runSoakSeeds(cmd *cobra.Command, options soak.Options, directory string, firstSeed uint64, seedCount int) error {
	failed := 0
	for i := range uint64(max(0, seedCount)) {
		options.Seed = firstSeed + i
		options.Directory = filepath.Join(directory, strconv.FormatUint(options.Seed, 10))
		report, err := soak.Run(cmd.Context(), options)
		if err != nil {
			return errors.Wrapf(err, "seed %d", options.Seed)
		}
		if len(report.Violations) > 0 {
			failed++
		}
		if err := printSoakReport(cmd, report); err != nil {
			return errors.Wrap(err, "write")
		}
	}
	if failed > 0 {
		return errors.Errorf("%d of %d seeds broke a promise; logs are in %s", failed, seedCount, directory)
	}
	return nil
}

// printSoakReport prints the result of a seed and, if a guarantee was violated, the
// violations and the fault schedule.
func printSoakReport(cmd *cobra.Command, report soak.Report) error {
	out := cmd.OutOrStdout()
	if _, err := fmt.Fprintf(out, "seed %d: %d promises broken, requests %v, checked %v\n",
		report.Seed, len(report.Violations), report.RequestsByStatus, report.Covered); err != nil {
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
