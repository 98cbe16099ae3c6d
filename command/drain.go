package command

import (
	"maps"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/mulberrylane/mulberrylane/process/configuration"
	"github.com/mulberrylane/mulberrylane/version"
)

// maxDrainAttempts bounds how often a drain is retried on a newer revision after
// other changes were accepted first.
const maxDrainAttempts = 10

func newDrain() *cobra.Command {
	command := &cobra.Command{
		Use:   "drain TARGET",
		Short: "Let a target take no new work",
		Long: "Declare in the configuration that a target takes no new work, until --undo ends that.\n" +
			"What becomes of its running work, its service's profile says. The declaration outlives\n" +
			"restarts of the target, of its agent and of the entries.\n\n" + exitCodesHelp,
		Example: "  mlctl drain --reason 'memory errors' --wait survey-writer-07\n  mlctl drain --undo survey-writer-07",
		Args:    cobra.ExactArgs(1),
	}
	flags := addChangeFlags(command)
	reason := command.Flags().String("reason", "", "why, shown to other operators")
	undo := command.Flags().Bool("undo", false, "let the target take new work again")
	command.RunE = func(cmd *cobra.Command, args []string) error {
		if !*undo && *reason == "" {
			return errors.New("no reason given: set --reason, so that other operators know why the target is drained")
		}
		client, err := flags.store.changeClient()
		if err != nil {
			return err
		}
		drain := drainChange{target: args[0], reason: *reason, undo: *undo}
		return flags.applyDrain(cmd, client, drain)
	}
	return command
}

// drainChange declares or ends the drain of a target.
type drainChange struct {
	target, reason string
	undo           bool
}

// applyDrain changes only the drain. When another change is accepted first, it
// retries on the newer revision.
func (f *changeFlags) applyDrain(cmd *cobra.Command, client *configuration.Client, drain drainChange) error {
	var err error
	for range maxDrainAttempts {
		var current configuration.AcceptedRevision
		if current, err = acceptedRevision(cmd.Context(), client, 0); err != nil {
			return err
		}
		document, changeErr := drain.applyTo(current.Document)
		if changeErr != nil {
			return changeErr
		}
		planned := plan{
			Base:        current.Revision,
			Differences: version.Differences(current.Document, document),
			Effect:      version.EffectOf(current.Document, document),
			change:      configuration.Change{Base: current, Document: document},
		}
		var conflict *configuration.ConflictError
		if err = f.apply(cmd, client, planned); !errors.As(err, &conflict) {
			return err
		}
	}
	return err
}

func (d drainChange) applyTo(document version.Document) (version.Document, error) {
	draining := maps.Clone(document.Draining)
	if draining == nil {
		draining = map[string]version.Drain{}
	}
	if _, drained := draining[d.target]; d.undo && !drained {
		return document, errors.Errorf("%q is not drained", d.target)
	}
	if d.undo {
		delete(draining, d.target)
	} else {
		draining[d.target] = version.Drain{Reason: d.reason}
	}
	document.Draining = draining
	return document, version.Validate(document).Err()
}
