package command

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/mulberrylane/mulberrylane/bench/calls"
	"github.com/mulberrylane/mulberrylane/bench/experiment"
	"github.com/mulberrylane/mulberrylane/bench/load"
	"github.com/mulberrylane/mulberrylane/bench/measure"
	"github.com/mulberrylane/mulberrylane/bench/report"
	"github.com/mulberrylane/mulberrylane/version"
)

func newBench() *cobra.Command {
	command := &cobra.Command{
		Use:   "bench",
		Short: "Run load experiments and compare their reports",
	}
	command.AddCommand(newBenchRun(), newBenchCompare(), newBenchSlopes())
	return command
}

func newBenchRun() *cobra.Command {
	var directory string
	var check bool
	var variants []string
	var duration time.Duration
	command := &cobra.Command{
		Use:     "run FILE",
		Short:   "Run an experiment and write its report",
		Long:    "Run an experiment file and write report.json and report.html.\nAll parts run in this process, on loopback addresses and in real time.",
		Example: "  mlctl bench run experiments/vasilescu-engine-death.json --out out/engine-death",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			switch kind, err := calls.ReadKind(args[0]); {
			case err != nil:
				return err
			case kind == calls.Kind:
				return runCalls(cmd, args[0], directory, check)
			case kind == calls.CostKind:
				return runCallsCost(cmd, args[0], directory)
			}
			e, err := experiment.Read(args[0])
			if err != nil {
				return err
			}
			if err := applyOverrides(e, variants, duration); err != nil {
				return err
			}
			return runExperiment(cmd, e, directory, check)
		},
	}
	command.Flags().StringVar(&directory, "out", "bench-report", "directory that the report is written to")
	command.Flags().BoolVar(&check, "check", false, "fail when a target is missed")
	command.Flags().StringSliceVar(&variants, "variants", nil, "run only these variants")
	command.Flags().DurationVar(&duration, "duration", 0, "send for this long in place of the file's duration")
	return command
}

// applyOverrides replaces the experiment's variants and duration by those given as
// flags and checks the experiment again.
func applyOverrides(e *experiment.Experiment, variants []string, duration time.Duration) error {
	if len(variants) > 0 {
		e.Variants = nil
		for _, variant := range variants {
			e.Variants = append(e.Variants, experiment.Variant(variant))
		}
	}
	if duration > 0 {
		e.Duration = version.Duration(duration)
	}
	return e.Check()
}

func runExperiment(cmd *cobra.Command, e *experiment.Experiment, directory string, check bool) error {
	if e.Kind != experiment.Generations {
		return errors.Errorf("kind: %q cannot be run by this command yet", e.Kind)
	}
	var runs []measure.RunMetrics
	for repetition := range e.Repetitions {
		metrics, err := runRepetition(cmd.Context(), cmd.ErrOrStderr(), e, repetition)
		if err != nil {
			return err
		}
		runs = append(runs, metrics...)
	}
	r := report.New(e, runs)
	if err := r.Write(directory); err != nil {
		return err
	}
	r.WriteSummary(cmd.OutOrStdout())
	if missed := r.WriteObjectives(cmd.OutOrStdout()); missed > 0 && check {
		return errors.Errorf("%d targets were missed", missed)
	}
	return nil
}

// runRepetition runs every variant once, and the reference run if the experiment
// requests one.
func runRepetition(ctx context.Context, progress io.Writer, e *experiment.Experiment, repetition int) ([]measure.RunMetrics, error) {
	if ctx == nil {
		ctx = context.Background()
	}
	var metrics []measure.RunMetrics
	if e.Reference {
		run, err := runVariant(ctx, progress, e.ReferenceExperiment(), experiment.Product, repetition, "undisturbed")
		if err != nil {
			return nil, err
		}
		run.Reference = true
		metrics = append(metrics, measure.Analyze(run))
	}
	for _, variant := range e.Variants {
		run, err := runVariant(ctx, progress, e, variant, repetition, "")
		if err != nil {
			return nil, err
		}
		metrics = append(metrics, measure.Analyze(run))
	}
	return metrics, nil
}

func runVariant(ctx context.Context, progress io.Writer, e *experiment.Experiment, variant experiment.Variant, repetition int, note string) (*load.Run, error) {
	run, err := load.Execute(ctx, e, variant, repetition, func(s load.Status) {
		_, _ = fmt.Fprintf(progress, "\r%s #%d %s %s %s   ", e.Name, repetition, variant, note, s.Text())
	})
	_, _ = fmt.Fprintln(progress)
	return run, err
}

func newBenchCompare() *cobra.Command {
	var check bool
	command := &cobra.Command{
		Use:     "compare A B",
		Short:   "Compare two reports as ratios of B to A",
		Example: "  mlctl bench compare out/before out/after",
		Args:    cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			a, err := report.Read(args[0])
			if err != nil {
				return err
			}
			b, err := report.Read(args[1])
			if err != nil {
				return err
			}
			if err := report.Compare(cmd.OutOrStdout(), a, b); err != nil {
				return err
			}
			if missed := b.WriteObjectives(cmd.OutOrStdout()); missed > 0 && check {
				return errors.Errorf("%d targets were missed in B", missed)
			}
			return nil
		},
	}
	command.Flags().BoolVar(&check, "check", false, "fail when B misses a target")
	return command
}
