// Package daemon implements the command line that all daemons share.
package daemon

import (
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"go.uber.org/fx"
	"k8s.io/klog/v2"

	"github.com/mulberrylane/mulberrylane/process/lifecycle"
	"github.com/mulberrylane/mulberrylane/process/settings"
)

// SettingsPointer is a pointer to a settings type S that validates itself.
type SettingsPointer[S any] interface {
	*S
	Check() error
}

// Main reads the settings file given by --settings and runs the application that assemble
// creates from it until a signal stops it. On an error it exits with status 1.
func Main[S any, P SettingsPointer[S]](name, short string, assemble func(S) *fx.App) {
	defer klog.Flush()
	if newCommand[S, P](name, short, assemble).Execute() != nil {
		klog.Flush()
		os.Exit(1)
	}
}

func newCommand[S any, P SettingsPointer[S]](name, short string, assemble func(S) *fx.App) *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:          name + " --settings FILE",
		Short:        short,
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(*cobra.Command, []string) error {
			// A SIGHUP must not end the process, also while it starts or if it has nothing to
			// reload.
			signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
			var s S
			if err := settings.Read(path, P(&s)); err != nil {
				return err
			}
			return errors.Wrap(lifecycle.Run(assemble(s)), name)
		},
	}
	command.Flags().StringVar(&path, "settings", "", "JSON settings file")
	_ = command.MarkFlagRequired("settings")
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	klog.InitFlags(flags)
	command.Flags().AddGoFlagSet(flags)
	return command
}
