package command

import (
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/mulberrylane/mulberrylane/process/timeline"
	"github.com/mulberrylane/mulberrylane/request"
)

type timelineFlags struct {
	request, target string
	revision        int64
	since           time.Duration
	output          string
}

func newTimeline() *cobra.Command {
	var flags timelineFlags
	command := &cobra.Command{
		Use:   "timeline",
		Short: "Show what happened, merged over all processes",
		Long: "Show the events of all processes in causal order. Each process keeps its latest\n" +
			"events in memory; a process that cannot be reached is named and left out.",
		Example: "  mlctl timeline --host-list http://10.0.0.1:8080/hosts --request 01a2...\n" +
			"  mlctl timeline --process 10.0.0.2:9080 --target engine-1 --since 5m -o trace > trace.json",
		Args: cobra.NoArgs,
	}
	command.Flags().StringVar(&flags.request, "request", "", "only events of this request")
	command.Flags().StringVar(&flags.target, "target", "", "only events of this target")
	command.Flags().Int64Var(&flags.revision, "revision", 0, "only events under this configuration revision")
	command.Flags().DurationVar(&flags.since, "since", 0, "only events of the last while, such as 5m")
	command.Flags().StringVarP(&flags.output, "output", "o", "text", "text, json or trace (for trace viewers)")
	processes := addProcessFlags(command)
	command.RunE = func(cmd *cobra.Command, _ []string) error { return showTimeline(cmd, processes, flags) }
	return command
}

func showTimeline(cmd *cobra.Command, processes *processFlags, flags timelineFlags) error {
	write, err := timelineWriter(flags.output)
	if err != nil {
		return err
	}
	filter := timeline.Filter{Request: request.ID(flags.request), Target: request.TargetID(flags.target), Revision: flags.revision}
	if flags.since > 0 {
		filter.Since = time.Now().Add(-flags.since)
	}
	results, err := queryAll[[]timeline.Event](cmd.Context(), processes, "/timeline", filter.Query())
	if err != nil {
		return err
	}
	var lists [][]timeline.Event
	for _, result := range results {
		if result.Err != nil {
			_, _ = fmt.Fprintf(cmd.ErrOrStderr(), "%s: %v\n", result.Address, result.Err)
			continue
		}
		lists = append(lists, result.Body)
	}
	return write(cmd.OutOrStdout(), timeline.Merge(lists...))
}

func timelineWriter(output string) (func(io.Writer, []timeline.Event) error, error) {
	switch output {
	case "text":
		return timeline.WriteText, nil
	case "json":
		return timeline.WriteJSON, nil
	case "trace":
		return timeline.WriteTrace, nil
	default:
		return nil, errors.Errorf("output: unknown format %q: want text, json or trace", output)
	}
}
