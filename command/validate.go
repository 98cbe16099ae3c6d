package command

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/mulberrylane/mulberrylane/version/files"
)

func newValidate() *cobra.Command {
	return &cobra.Command{
		Use:   "validate PATH",
		Short: "Check a configuration, a JSON file or a directory of them",
		Long: "Check a configuration without reaching any process or service. All errors are\n" +
			"shown at once, each with its path and its reason.",
		Example: "  mlctl validate deploy/lakkos",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			document, err := files.Load(args[0])
			if err != nil {
				return err
			}
			_, _ = fmt.Fprintf(cmd.OutOrStdout(), "valid: %d services, %d workspaces, %d profiles\n",
				len(document.Services), len(document.Workspaces), len(document.Profiles))
			return nil
		},
	}
}
