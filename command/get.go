package command

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/process/configuration"
	"github.com/mulberrylane/mulberrylane/version"
)

func newGet() *cobra.Command {
	command := &cobra.Command{
		Use:     "get",
		Short:   "Print the configuration that is accepted",
		Long:    "Print the accepted document as JSON, or with --record also who applied it and when.",
		Example: "  mlctl get > now.json\n  mlctl get --revision 17 --record",
		Args:    cobra.NoArgs,
	}
	store := addStoreFlags(command)
	revision := command.Flags().Int64("revision", 0, "a kept revision instead of the newest")
	record := command.Flags().Bool("record", false, "print author, time, nonce and base too")
	command.RunE = func(cmd *cobra.Command, _ []string) error {
		client, err := store.client()
		if err != nil {
			return err
		}
		accepted, err := acceptedRevision(cmd.Context(), client, version.Revision(*revision))
		if err != nil {
			return err
		}
		var body any = accepted.Document
		if *record {
			body = accepted
		}
		encoder := json.NewEncoder(cmd.OutOrStdout())
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(body), "write")
	}
	return command
}

// acceptedRevision returns the given revision from the history, or the newest one if
// revision is zero.
func acceptedRevision(ctx context.Context, client *configuration.Client, revision version.Revision) (configuration.AcceptedRevision, error) {
	if revision != 0 {
		return client.GetRevision(ctx, revision)
	}
	current, err := client.Current(ctx)
	if err == nil && current.Revision == 0 {
		err = fault.New(fault.NotFound, "no configuration has been accepted yet: apply one with mlctl apply")
	}
	return current, err
}
