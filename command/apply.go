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

// changeFlags are the flags of the commands that change the configuration.
type changeFlags struct {
	store *storeFlags
	wait  *waitFlags
	form  *output
}

func addChangeFlags(command *cobra.Command) *changeFlags {
	f := &changeFlags{store: addStoreFlags(command), wait: addWaitFlags(command), form: addOutputFlag(command)}
	f.store.addAuthor(command)
	return f
}

// applied is what a command that changed the configuration shows.
type applied struct {
	plan
	// Revision is the accepted revision, zero when nothing was to be changed.
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
		client, err := flags.store.changer()
		if err != nil {
			return err
		}
		base, err := baseOf(cmd.Context(), client, version.Revision(*on))
		if err != nil {
			return explain(cmd, client, err)
		}
		return flags.apply(cmd, client, newPlanOn(base, document))
	}
	return command
}

// baseOf returns the entry in force, or a ConflictError when on is set and
// another revision is in force.
func baseOf(ctx context.Context, client *configuration.Client, on version.Revision) (configuration.AcceptedRevision, error) {
	current, err := client.Current(ctx)
	if err == nil && on >= 0 && current.Revision != on {
		err = &configuration.ConflictError{Base: on, Current: current}
	}
	return current, err
}

// apply carries out a plan, shows the result and waits when it should.
func (f *changeFlags) apply(cmd *cobra.Command, client *configuration.Client, p plan) error {
	result := applied{plan: p, Author: f.store.author}
	if len(p.Differences) == 0 {
		result.Revision = p.Base
	} else {
		entry, err := f.change(cmd, client, p)
		if err != nil {
			return err
		}
		result.Revision = entry.Revision
	}
	text := cmd.OutOrStdout()
	err := show(text, *f.form, result, p.write)
	if err != nil {
		return err
	}
	if *f.form == outputText && len(p.Differences) > 0 {
		_, _ = fmt.Fprintf(text, "accepted as revision %d\n", result.Revision)
	}
	return f.wait.await(cmd, result.Revision)
}

func (f *changeFlags) change(cmd *cobra.Command, client *configuration.Client, p plan) (configuration.AcceptedRevision, error) {
	change := p.change
	change.Author, change.Note = f.store.author, f.store.note
	entry, err := client.Apply(cmd.Context(), change)
	var notSent *configuration.NotSentError
	switch {
	case errors.As(err, &notSent):
		return entry, err
	case fault.KindOf(err) == fault.StoreUnavailable:
		message := fmt.Sprintf("not known whether the change was accepted: %v; look for nonce %s in mlctl history -o json", err, entry.Nonce)
		return entry, &exitError{code: ExitUnknown, message: message}
	}
	return entry, explain(cmd, client, err)
}

// explain shows what the winner of a race changed, when err is a ConflictError.
func explain(cmd *cobra.Command, client *configuration.Client, err error) error {
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
