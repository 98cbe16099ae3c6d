package command

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"github.com/mulberrylane/mulberrylane/process/rollout"
)

// rolloutRow is what one entry tells of the roll-out of one service.
type rolloutRow struct {
	Entry string `json:"entry"`
	// Error is the reason why the entry could not be queried.
	Error string `json:"error,omitempty"`
	rolloutSummary
}

// rolloutSummary is rollout.Summary as it is decoded: the stage of a roll-out that has no record
// yet has a name, too.
type rolloutSummary struct {
	Service, Version  string
	Order, Revision   int64
	Stage             string
	Step              int
	Share             float64
	Age, Limit        time.Duration
	Sent, SentNew     int
	New, Old          rollout.Counts
	Rejected          string
	Suspected, Closed bool
	RunningOld        int
}

func newRollouts() *cobra.Command {
	command := &cobra.Command{
		Use:   "rollouts",
		Short: "Show the roll-outs of versions as each entry follows them",
		Long: "Ask the entries that are given, at their metrics addresses, which roll-outs they follow: the stage,\n" +
			"the share of requests that the new version gets, the evidence of all entries and, if the version was\n" +
			"found to be bad, why. NEW and OLD are responses of both versions and failures among them; SENT are the\n" +
			"requests that this entry sent to the new version, of all since the order.\n\n" + exitCodesHelp,
		Example: "  mlctl rollouts --process 10.0.0.2:9190 --process 10.0.0.3:9190",
		Args:    cobra.NoArgs,
	}
	processes := addProcessFlags(command)
	format := addOutputFlag(command)
	command.RunE = func(cmd *cobra.Command, _ []string) error {
		results, err := queryAll[[]rolloutSummary](cmd.Context(), processes, rollout.SummariesPath, nil)
		if err != nil {
			return err
		}
		rows := []rolloutRow{}
		unreached := 0
		for _, result := range results {
			if result.Err != nil {
				unreached++
				rows = append(rows, rolloutRow{Entry: result.Address, Error: result.Err.Error()})
			}
			for _, summary := range result.Body {
				rows = append(rows, rolloutRow{Entry: result.Address, rolloutSummary: summary})
			}
		}
		if err := writeOutput(cmd.OutOrStdout(), *format, rows, func(w io.Writer) { writeRollouts(w, rows) }); err != nil {
			return err
		}
		if unreached > 0 {
			return &exitError{code: ExitError, message: fmt.Sprintf("%d of %d entries were not reached", unreached, len(results))}
		}
		return nil
	}
	return command
}

func writeRollouts(w io.Writer, rows []rolloutRow) {
	if len(rows) == 0 {
		_, _ = fmt.Fprintln(w, "no roll-outs")
		return
	}
	cells := [][]string{{"SERVICE", "VERSION", "ENTRY", "STAGE", "SHARE", "AGE", "SENT", "NEW", "OLD", "STATE"}}
	for _, row := range rows {
		if row.Error != "" {
			cells = append(cells, []string{"-", "-", row.Entry, "-", "-", "-", "-", "-", "-", row.Error})
			continue
		}
		stage := row.Stage
		if stage == rollout.Ramping.String() {
			stage = fmt.Sprintf("%s %d", stage, row.Step+1)
		}
		cells = append(cells, []string{
			row.Service, row.Version, row.Entry, stage, fmt.Sprintf("%.1f%%", 100*row.Share),
			fmt.Sprintf("%s of %s", row.Age.Round(time.Second), row.Limit.Round(time.Second)),
			fmt.Sprintf("%d of %d", row.SentNew, row.Sent), formatCounts(row.New), formatCounts(row.Old), row.state(),
		})
	}
	writeTable(w, cells)
}

func formatCounts(c rollout.Counts) string {
	return fmt.Sprintf("%d (%d failed)", c.Responses, c.Failures)
}

// state describes what the entry does beside the stage that it follows.
func (row rolloutRow) state() string {
	switch {
	case row.Rejected != "":
		return "sends nothing to the new version: " + row.Rejected
	case row.Revision == 0:
		return "waits for the first record"
	case row.Suspected:
		return "holds the share back, the version may be bad"
	case row.RunningOld > 0:
		return fmt.Sprintf("%d run on old versions", row.RunningOld)
	case row.Closed:
		return "sends nothing to old versions"
	default:
		return "-"
	}
}
