package command

import (
	"cmp"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/mulberrylane/mulberrylane/process/configuration"
)

func newHistory() *cobra.Command {
	command := &cobra.Command{
		Use:   "history",
		Short: "List the accepted revisions, the newest first",
		Long: fmt.Sprintf("List the accepted revisions, the newest first. The last %d before the one in force are kept.",
			configuration.HistoryLength),
		Example: "  mlctl history\n  mlctl history -o json",
		Args:    cobra.NoArgs,
	}
	store := addStoreFlags(command)
	format := addOutputFlag(command)
	command.RunE = func(cmd *cobra.Command, _ []string) error {
		client, err := store.client()
		if err != nil {
			return err
		}
		revisions, err := client.History(cmd.Context())
		if err != nil {
			return err
		}
		return writeOutput(cmd.OutOrStdout(), *format, revisions, func(w io.Writer) { writeHistory(w, revisions) })
	}
	return command
}

func writeHistory(w io.Writer, revisions []configuration.AcceptedRevision) {
	rows := [][]string{{"REVISION", "BASE", "ACCEPTED", "AUTHOR", "NOTE"}}
	for _, accepted := range revisions {
		rows = append(rows, []string{
			fmt.Sprint(accepted.Revision), fmt.Sprint(accepted.Base), formatTime(accepted.Time), accepted.Author, cmp.Or(accepted.Note, "-"),
		})
	}
	writeTable(w, rows)
}
