// Package command implements the mlctl command and its subcommands.
package command

import (
	"flag"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"
)

// NewRoot returns the mlctl command with all its subcommands.
func NewRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "mlctl",
		Short:         "Operate, measure and try mulberrylane",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	root.PersistentFlags().AddGoFlagSet(flags)
	addSettingsFile(root)
	root.AddCommand(newKeys(), newSchema(), newValidate())
	root.AddCommand(newPlan(), newApply(), newGet(), newHistory(), newRollback(), newStatus(), newRollouts(), newWhere(), newDrain())
	root.AddCommand(newStandin(), newDemo(), newTimeline(), newExplain(), newSoak())
	root.AddCommand(newBench())
	return root
}
