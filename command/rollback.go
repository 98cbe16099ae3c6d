package command

import (
	"fmt"
	"strconv"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/mulberrylane/mulberrylane/version"
)

func newRollback() *cobra.Command {
	command := &cobra.Command{
		Use:   "rollback REVISION",
		Short: "Put the document of an earlier revision in force again",
		Long: "Apply the document of a kept revision as a new revision. Revision numbers only grow,\n" +
			"so no process takes it for an old one. Drains in force stay.\n\n" + exitCodesHelp,
		Example: "  mlctl history\n  mlctl rollback --wait 17",
		Args:    cobra.ExactArgs(1),
	}
	flags := addChangeFlags(command)
	command.RunE = func(cmd *cobra.Command, args []string) error {
		wanted, err := strconv.ParseInt(args[0], 10, 64)
		if err != nil {
			return errors.Errorf("%q is not a revision; mlctl history lists them", args[0])
		}
		client, err := flags.store.changeClient()
		if err != nil {
			return err
		}
		old, err := client.GetRevision(cmd.Context(), version.Revision(wanted))
		if err != nil {
			return err
		}
		current, err := client.Current(cmd.Context())
		if err != nil {
			return err
		}
		if flags.store.note == "" {
			flags.store.note = fmt.Sprintf("rollback to revision %d", wanted)
		}
		document := old.Document
		document.Draining = nil
		return flags.apply(cmd, client, planReplacement(current, document))
	}
	return command
}
