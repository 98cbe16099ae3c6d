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

// statusRow is what is known of one process.
type statusRow struct {
	Process  string    `json:"process"`
	Role     string    `json:"role"`
	Domain   string    `json:"failureDomain,omitempty"`
	Revision int64     `json:"revision"`
	Since    time.Time `json:"since,omitzero"`
	// Source is where the revision came from.
	Source  string `json:"source,omitempty"`
	Stale   bool   `json:"stale"`
	Watches bool   `json:"watches"`
	// ToldBy names the process that tells of this one when it was not asked itself.
	ToldBy string `json:"toldBy,omitempty"`
	// Error says why the process could not be asked.
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
	found := addProcessFlags(command)
	form := addOutputFlag(command)
	command.RunE = func(cmd *cobra.Command, _ []string) error {
		rows, err := found.statuses(cmd.Context())
		if err != nil {
			return err
		}
		if err := show(cmd.OutOrStdout(), *form, rows, func(w io.Writer) { writeStatus(w, rows) }); err != nil {
			return err
		}
		return agreement(rows)
	}
	return command
}

// agreement returns an error unless every process was reached, is not stale and
// has the highest revision in force.
func agreement(rows []statusRow) error {
	var highest int64
	for _, row := range rows {
		highest = max(highest, row.Revision)
	}
	odd := len(behind(rows, highest))
	for _, row := range rows {
		if row.Stale && row.Error == "" && row.Revision == highest {
			odd++
		}
	}
	if odd == 0 {
		return nil
	}
	message := fmt.Sprintf("%d of %d processes are not reached, stale or behind revision %d", odd, len(rows), highest)
	return &exitError{code: ExitNotInForce, message: message}
}

// statuses asks all processes and merges what they tell.
func (p *processes) statuses(ctx context.Context) ([]statusRow, error) {
	answers, err := askAll[operator.Status](ctx, p, "/status", nil)
	if err != nil {
		return nil, err
	}
	byName := map[string]statusRow{}
	var rows []statusRow
	for _, answer := range answers {
		if answer.Err != nil {
			rows = append(rows, statusRow{Process: answer.Address, Error: answer.Err.Error()})
			continue
		}
		status := answer.Body
		byName[status.Process] = statusRow{
			Process: status.Process, Role: status.Role, Domain: status.FailureDomain, Revision: status.Revision,
			Since: status.Since, Source: status.Source, Stale: status.Stale, Watches: status.WatchesStore,
		}
	}
	for _, answer := range answers {
		for _, peer := range answer.Body.Peers {
			addPeer(byName, answer.Body.Process, peer)
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

// addPeer adds a process that was not asked itself.
func addPeer(byName map[string]statusRow, teller string, peer operator.Peer) {
	known, ok := byName[peer.Process]
	if ok && (known.ToldBy == "" || known.Revision >= peer.Revision) {
		return
	}
	byName[peer.Process] = statusRow{
		Process: peer.Process, Role: peer.Role, Revision: peer.Revision, Since: peer.Since, ToldBy: teller,
	}
}

func writeStatus(w io.Writer, rows []statusRow) {
	lines := [][]string{{"PROCESS", "ROLE", "DOMAIN", "REVISION", "SINCE", "STATE"}}
	for _, row := range rows {
		lines = append(lines, []string{
			row.Process, cmp.Or(row.Role, "-"), cmp.Or(row.Domain, "-"),
			fmt.Sprint(row.Revision), showTime(row.Since), row.state(),
		})
	}
	table(w, lines)
}

func (row statusRow) state() string {
	switch {
	case row.Error != "":
		return row.Error
	case row.ToldBy != "":
		return "as " + row.ToldBy + " tells"
	case row.Stale:
		return "stale, from " + row.Source
	case row.Watches:
		return "watches the store"
	default:
		return "from " + row.Source
	}
}
