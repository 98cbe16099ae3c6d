package command

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"github.com/mulberrylane/mulberrylane/process/operator"
)

// statusRow is the status of one process.
type statusRow struct {
	Process  string    `json:"process"`
	Role     string    `json:"role"`
	Domain   string    `json:"failureDomain,omitempty"`
	Revision int64     `json:"revision"`
	Since    time.Time `json:"since,omitzero"`
	// Source is where the process got its revision from.
	Source       string `json:"source,omitempty"`
	Stale        bool   `json:"stale"`
	WatchesStore bool   `json:"watches"`
	// ReportedBy names the process whose peer list this row comes from. It is empty
	// for a process that was queried itself.
	ReportedBy string `json:"toldBy,omitempty"`
	// Error is the reason why the process could not be queried.
	Error string `json:"error,omitempty"`
}

func newStatus() *cobra.Command {
	command := &cobra.Command{
		Use:   "status",
		Short: "Show each process, its revision in force and since when",
		Long: "Ask every process that is given or on the host list. Processes that were not asked\n" +
			"and that others have links to are shown as these tell of them. A process is stale\n" +
			"when it was not confirmed lately that its revision is the newest.\n\n" + exitCodesHelp,
		Example: "  mlctl status --process 10.0.0.2:9080\n  mlctl status --host-list http://10.0.0.1:8080/hosts -o json",
		Args:    cobra.NoArgs,
	}
	processes := addProcessFlags(command)
	format := addOutputFlag(command)
	command.RunE = func(cmd *cobra.Command, _ []string) error {
		rows, err := processes.queryStatuses(cmd.Context())
		if err != nil {
			return err
		}
		if err := writeOutput(cmd.OutOrStdout(), *format, rows, func(w io.Writer) { writeStatus(w, rows) }); err != nil {
			return err
		}
		return checkConverged(rows)
	}
	return command
}

// checkConverged returns an error unless every process was reached, is not stale and
// has the highest revision active.
func checkConverged(rows []statusRow) error {
	var highest int64
	for _, row := range rows {
		highest = max(highest, row.Revision)
	}
	notConverged := len(processesBehind(rows, highest))
	for _, row := range rows {
		if row.Stale && row.Error == "" && row.Revision == highest {
			notConverged++
		}
	}
	if notConverged == 0 {
		return nil
	}
	message := fmt.Sprintf("%d of %d processes are not reached, stale or behind revision %d", notConverged, len(rows), highest)
	return &exitError{code: ExitNotActive, message: message}
}

// queryStatuses queries all processes and merges their status and peer lists.
func (p *processFlags) queryStatuses(ctx context.Context) ([]statusRow, error) {
	results, err := queryAll[operator.Status](ctx, p, "/status", nil)
	if err != nil {
		return nil, err
	}
	byName := map[string]statusRow{}
	var rows []statusRow
	for _, result := range results {
		if result.Err != nil {
			rows = append(rows, statusRow{Process: result.Address, Error: result.Err.Error()})
			continue
		}
		status := result.Body
		byName[status.Process] = statusRow{
			Process: status.Process, Role: status.Role, Domain: status.FailureDomain, Revision: status.Revision,
			Since: status.Since, Source: status.Source, Stale: status.Stale, WatchesStore: status.WatchesStore,
		}
	}
	for _, result := range results {
		for _, peer := range result.Body.Peers {
			addPeer(byName, result.Body.Process, peer)
		}
	}
	for _, row := range byName {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b statusRow) int {
		return cmp.Or(cmp.Compare(a.Role, b.Role), cmp.Compare(a.Process, b.Process))
	})
	return rows, nil
}

// addPeer adds a process that was not queried itself, or updates its row when peer has
// a higher revision.
func addPeer(byName map[string]statusRow, reporter string, peer operator.Peer) {
	known, ok := byName[peer.Process]
	if ok && (known.ReportedBy == "" || known.Revision >= peer.Revision) {
		return
	}
	byName[peer.Process] = statusRow{
		Process: peer.Process, Role: peer.Role, Revision: peer.Revision, Since: peer.Since, ReportedBy: reporter,
	}
}

func writeStatus(w io.Writer, rows []statusRow) {
	cells := [][]string{{"PROCESS", "ROLE", "DOMAIN", "REVISION", "SINCE", "STATE"}}
	for _, row := range rows {
		cells = append(cells, []string{
			row.Process, cmp.Or(row.Role, "-"), cmp.Or(row.Domain, "-"),
			fmt.Sprint(row.Revision), formatTime(row.Since), row.state(),
		})
	}
	writeTable(w, cells)
}

func (row statusRow) state() string {
	switch {
	case row.Error != "":
		return row.Error
	case row.ReportedBy != "":
		return "as " + row.ReportedBy + " tells"
	case row.Stale:
		return "stale, from " + row.Source
	case row.WatchesStore:
		return "watches the store"
	default:
		return "from " + row.Source
	}
}
