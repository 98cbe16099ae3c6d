package command

import (
	"context"
	"fmt"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/process/configuration"
	"github.com/mulberrylane/mulberrylane/version"
	"github.com/mulberrylane/mulberrylane/version/files"
)

// changeFlags holds the flags of commands that change the configuration.
type changeFlags struct {
	store  *storeFlags
	wait   *waitFlags
	format *outputFormat
}

func addChangeFlags(command *cobra.Command) *changeFlags {
	f := &changeFlags{store: addStoreFlags(command), wait: addWaitFlags(command), format: addOutputFlag(command)}
	f.store.addAuthor(command)
	return f
}

// applyResult is the printed result of a command that changes the configuration.
type applyResult struct {
	plan
	// Revision is the accepted revision, or the base when there was no difference.
	Revision version.Revision `json:"revision"`
	Author   string           `json:"author"`
}

func newApply() *cobra.Command {
	command := &cobra.Command{
		Use:   "apply PATH",
		Short: "Put a configuration in force",
		Long: "Check the configuration at PATH, a JSON file or a directory of them, show the\n" +
			"difference, and replace the revision that it was planned on. When another operator\n" +
			"changed the configuration meanwhile, nothing is replaced, and that change is shown.\n\n" + exitCodesHelp,
		Example: "  mlctl apply --wait deploy/lakkos\n  mlctl apply --on 17 --note 'longer deadline' deploy/lakkos",
		Args:    cobra.ExactArgs(1),
	}
	flags := addChangeFlags(command)
	on := command.Flags().Int64("on", -1, "revision that the change was planned on; the one in force when not given")
	command.RunE = func(cmd *cobra.Command, args []string) error {
		document, err := files.Load(args[0])
		if err != nil {
			return err
		}
		client, err := flags.store.changeClient()
		if err != nil {
			return err
		}
		base, err := currentBase(cmd.Context(), client, version.Revision(*on))
		if err != nil {
			return explainConflict(cmd, client, err)
		}
		return flags.apply(cmd, client, planReplacement(base, document))
	}
	return command
}

// currentBase returns the current revision. It returns a ConflictError if on is not
// negative and differs from the current revision.
func currentBase(ctx context.Context, client *configuration.Client, on version.Revision) (configuration.AcceptedRevision, error) {
	current, err := client.Current(ctx)
	if err == nil && on >= 0 && current.Revision != on {
		err = &configuration.ConflictError{Base: on, Current: current}
	}
	return current, err
}

// apply applies p, prints the result and, with --wait, waits until the revision is
// active at every process.
func (f *changeFlags) apply(cmd *cobra.Command, client *configuration.Client, p plan) error {
	result := applyResult{plan: p, Author: f.store.author}
	if len(p.Differences) == 0 {
		result.Revision = p.Base
	} else {
		accepted, err := f.submit(cmd, client, p)
		if err != nil {
			return err
		}
		result.Revision = accepted.Revision
	}
	out := cmd.OutOrStdout()
	err := writeOutput(out, *f.format, result, p.write)
	if err != nil {
		return err
	}
	if *f.format == outputText && len(p.Differences) > 0 {
		_, _ = fmt.Fprintf(out, "accepted as revision %d\n", result.Revision)
	}
	return f.wait.waitUntilActive(cmd, result.Revision)
}

func (f *changeFlags) submit(cmd *cobra.Command, client *configuration.Client, p plan) (configuration.AcceptedRevision, error) {
	change := p.change
	change.Author, change.Note = f.store.author, f.store.note
	accepted, err := client.Apply(cmd.Context(), change)
	var notSent *configuration.NotSentError
	switch {
	case errors.As(err, &notSent):
		return accepted, err
	case fault.KindOf(err) == fault.StoreUnavailable:
		message := fmt.Sprintf("unknown whether the change was accepted: %v; look for nonce %s in mlctl history -o json", err, accepted.Nonce)
		return accepted, &exitError{code: ExitUnknown, message: message}
	}
	return accepted, explainConflict(cmd, client, err)
}

// explainConflict prints what the other operator changed if err is a ConflictError,
// and returns err with advice. Other errors are returned as they are.
func explainConflict(cmd *cobra.Command, client *configuration.Client, err error) error {
	var conflict *configuration.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	if base, baseErr := client.GetRevision(cmd.Context(), conflict.Base); baseErr == nil {
		_, _ = fmt.Fprintf(cmd.ErrOrStderr(), "what changed since revision %d:\n", conflict.Base)
		writeDifferences(cmd.ErrOrStderr(), version.Differences(base.Document, conflict.Current.Document))
	}
	return errors.WithMessage(err, "nothing was changed; plan again on the revision that stands")
}
