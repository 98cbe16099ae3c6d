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
	form := addOutputFlag(command)
	command.RunE = func(cmd *cobra.Command, _ []string) error {
		client, err := store.client()
		if err != nil {
			return err
		}
		entries, err := client.History(cmd.Context())
		if err != nil {
			return err
		}
		return show(cmd.OutOrStdout(), *form, entries, func(w io.Writer) { writeHistory(w, entries) })
	}
	return command
}

func writeHistory(w io.Writer, entries []configuration.AcceptedRevision) {
	lines := [][]string{{"REVISION", "BASE", "ACCEPTED", "AUTHOR", "NOTE"}}
	for _, entry := range entries {
		lines = append(lines, []string{
			fmt.Sprint(entry.Revision), fmt.Sprint(entry.Base), showTime(entry.Time), entry.Author, cmp.Or(entry.Note, "-"),
		})
	}
	table(w, lines)
}
