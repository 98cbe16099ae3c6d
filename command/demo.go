package command

import (
	"github.com/spf13/cobra"

	"github.com/mulberrylane/mulberrylane/bench/demo"
)

func newDemo() *cobra.Command {
	var directory string
	size := demo.DefaultSize
	command := &cobra.Command{Use: "demo", Short: "Prepare and drive the demonstration (see scripts/demo.sh)"}
	prepare := &cobra.Command{
		Use:   "prepare",
		Short: "Write keys, settings and the list of processes",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return demo.Prepare(directory, size) },
	}
	drive := &cobra.Command{
		Use:   "drive",
		Short: "Send the requests, bring about the faults and check every answer",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			report, err := demo.Drive(cmd.Context(), directory, cmd.OutOrStdout())
			if err != nil {
				return err
			}
			if err := report.WriteLine(cmd.OutOrStdout()); err != nil {
				return err
			}
			return report.Err()
		},
	}
	prepare.Flags().IntVar(&size.Entries, "entries", size.Entries, "number of entries")
	prepare.Flags().IntVar(&size.Engines, "engines", size.Engines, "number of engines")
	prepare.Flags().IntVar(&size.Applications, "applications", size.Applications, "number of application replicas")
	command.PersistentFlags().StringVar(&directory, "dir", "", "directory of the demonstration")
	markRequired(command, "dir")
	command.AddCommand(prepare, drive)
	return command
}
