package command

import (
	"fmt"
	"io"
	"net/url"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/mulberrylane/mulberrylane/process/gateway"
)

// whereRow is the answer of one entry.
type whereRow struct {
	Address string `json:"address"`
	// Error is the reason why the entry could not be queried.
	Error string `json:"error,omitempty"`
	gateway.Where
}

func newWhere() *cobra.Command {
	command := &cobra.Command{
		Use:   "where",
		Short: "Show where a request would go now, and why, without sending it",
		Long: "Ask the entries that are given, at their metrics addresses, where a request would go now: the route,\n" +
			"the rank, what a roll-out allows, whether a call would wait, and the targets with their costs, or why it\n" +
			"would be refused. Nothing is sent or counted. Of several backends, the ID of a request decides.\n\n" + exitCodesHelp,
		Example: "  mlctl where --process 10.0.0.2:9190 --host ponds.example --path /report/ --workspace crew --prompt-tokens 8000",
		Args:    cobra.NoArgs,
	}
	processes := addProcessFlags(command)
	format := addOutputFlag(command)
	flags := command.Flags()
	text := map[string]*string{
		gateway.WhereHost:        flags.String(gateway.WhereHost, "", "host of the request"),
		gateway.WhereRequestPath: flags.String(gateway.WhereRequestPath, "", "path of the request"),
		gateway.WhereID:          flags.String(gateway.WhereID, "", "ID of the request"),
		gateway.WhereWorkspace:   flags.String(gateway.WhereWorkspace, "", "name of the workspace whose key it has"),
		gateway.WhereSession:     flags.String(gateway.WhereSession, "", "ID of the last part of its prompt"),
	}
	numbers := map[string]*int{
		gateway.WherePrompt: flags.Int(gateway.WherePrompt, 0, "tokens of the prompt"),
		gateway.WhereOutput: flags.Int(gateway.WhereOutput, 0, "most tokens of the output"),
	}
	command.RunE = func(cmd *cobra.Command, _ []string) error {
		query := url.Values{}
		for name, value := range text {
			query.Set(name, *value)
		}
		for name, value := range numbers {
			query.Set(name, strconv.Itoa(*value))
		}
		results, err := queryAll[gateway.Where](cmd.Context(), processes, gateway.WherePath, query)
		if err != nil {
			return err
		}
		rows := make([]whereRow, len(results))
		unreached := 0
		for i, result := range results {
			rows[i] = whereRow{Address: result.Address, Where: result.Body}
			if result.Err != nil {
				unreached++
				rows[i].Error = result.Err.Error()
			}
		}
		if err := writeOutput(cmd.OutOrStdout(), *format, rows, func(w io.Writer) { writeWhere(w, rows) }); err != nil {
			return err
		}
		if unreached > 0 {
			return &exitError{code: ExitError, message: fmt.Sprintf("%d of %d entries did not answer", unreached, len(rows))}
		}
		return nil
	}
	return command
}

// shownCandidates limits the targets that are shown for one entry.
const shownCandidates = 10

func writeWhere(w io.Writer, rows []whereRow) {
	for _, row := range rows {
		if row.Error != "" {
			_, _ = fmt.Fprintf(w, "%s: %s\n", row.Address, row.Error)
			continue
		}
		_, _ = fmt.Fprintf(w, "%s (configuration %d): %s\n", row.Entry, row.Configuration, row.decision())
		if row.Service != "" {
			_, _ = fmt.Fprintf(w, "  route %s (%s), service %s, rank %d\n", row.Route, row.Kind, row.Service, row.Rank)
		}
		if row.Queue != nil {
			_, _ = fmt.Fprintf(w, "  queue: %d waiting, %d places free\n", row.Queue.Waiting, row.Queue.Free)
		}
		for _, filter := range row.Versions {
			_, _ = fmt.Fprintf(w, "  roll-out allows %+v\n", filter)
		}
		if len(row.Candidates) == 0 {
			continue
		}
		cells := [][]string{{"TARGET", "FAILURE DOMAIN", "VERSION", "IN FLIGHT", "COST", "EXCLUDED"}}
		for _, c := range row.Candidates[:min(len(row.Candidates), shownCandidates)] {
			cells = append(cells, []string{
				string(c.ID), c.FailureDomain, c.Version, strconv.Itoa(c.InFlight), strconv.FormatFloat(c.Cost, 'f', 2, 64), c.Excluded,
			})
		}
		writeTable(w, cells)
	}
}

// decision says in a sentence what would happen to the request.
func (row whereRow) decision() string {
	switch {
	case row.Refused != "":
		return "refused: " + row.Refused
	case row.Queue != nil && row.Queue.Waits:
		return "waits for a place at a target"
	case row.Queue != nil:
		return "drawn among the targets, the cheaper the likelier"
	default:
		return "sent to one of the cheapest targets"
	}
}
