package command

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/mulberrylane/mulberrylane/connection/keys"
)

func newKeys() *cobra.Command {
	var directory string
	command := &cobra.Command{
		Use:     "keys ROLE:NAME...",
		Short:   "Make throw-away certificates for a trial",
		Long:    "Make a new authority and a certificate for each process, valid for a day.\nRoles are entry, agent and operator.",
		Example: "  mlctl keys --dir keys entry:entry-1 agent:agent-1",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return issueKeys(cmd, directory, args)
		},
	}
	command.Flags().StringVar(&directory, "dir", ".", "directory that the files are written to")
	return command
}

func issueKeys(cmd *cobra.Command, directory string, names []string) error {
	authority, err := keys.NewCA(directory)
	if err != nil {
		return err
	}
	for _, name := range names {
		role, process, ok := strings.Cut(name, ":")
		if !ok {
			return errors.Errorf("%q does not have the form ROLE:NAME", name)
		}
		files, err := authority.Issue(keys.Role(role), process)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintln(cmd.OutOrStdout(), files.Certificate)
	}
	return nil
}
