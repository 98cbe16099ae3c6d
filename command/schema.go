package command

import (
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/mulberrylane/mulberrylane/version/schema"
)

func newSchema() *cobra.Command {
	return &cobra.Command{
		Use:     "schema",
		Short:   "Print the JSON Schema of configuration files",
		Example: "  mlctl schema > deploy/schema.json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			data, err := schema.Generate()
			if err != nil {
				return err
			}
			_, err = cmd.OutOrStdout().Write(data)
			return errors.Wrap(err, "write")
		},
	}
}
