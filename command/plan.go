package command

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"github.com/mulberrylane/mulberrylane/process/configuration"
	"github.com/mulberrylane/mulberrylane/version"
	"github.com/mulberrylane/mulberrylane/version/files"
)

// plan is a change that has not been applied yet.
type plan struct {
	// Base is the revision that was current when the change was planned.
	Base        version.Revision     `json:"base"`
	Differences []version.Difference `json:"differences"`
	Effect      version.Effect       `json:"effect"`

	change configuration.Change
}

func newPlan() *cobra.Command {
	command := &cobra.Command{
		Use:   "plan PATH",
		Short: "Show what applying a configuration would change",
		Long: "Show the difference between the configuration in force and the one at PATH, a JSON\n" +
			"file or a directory of them, and what it bears on. Nothing is changed.\n\n" + exitCodesHelp,
		Example: "  mlctl plan --store http://10.0.0.1:2379 deploy/lakkos",
		Args:    cobra.ExactArgs(1),
	}
	store := addStoreFlags(command)
	format := addOutputFlag(command)
	command.RunE = func(cmd *cobra.Command, args []string) error {
		client, err := store.client()
		if err != nil {
			return err
		}
		document, err := files.Load(args[0])
		if err != nil {
			return err
		}
		current, err := client.Current(cmd.Context())
		if err != nil {
			return err
		}
		planned := planReplacement(current, document)
		return writeOutput(cmd.OutOrStdout(), *format, planned, planned.write)
	}
	return command
}

// planReplacement plans to replace current by document. Drains declared with mlctl
// drain last until an operator ends them, so a document without drains keeps the
// current ones.
func planReplacement(current configuration.AcceptedRevision, document version.Document) plan {
	if len(document.Draining) == 0 {
		document.Draining = current.Document.Draining
	}
	return plan{
		Base:        current.Revision,
		Differences: version.Differences(current.Document, document),
		Effect:      version.EffectOf(current.Document, document),
		change:      configuration.Change{Base: current, Document: document},
	}
}

func (p plan) write(w io.Writer) {
	if len(p.Differences) == 0 {
		_, _ = fmt.Fprintf(w, "no difference from revision %d\n", p.Base)
		return
	}
	_, _ = fmt.Fprintf(w, "planned on revision %d\n", p.Base)
	writeDifferences(w, p.Differences)
	writeEffect(w, p.Effect)
}

func writeDifferences(w io.Writer, list []version.Difference) {
	for _, difference := range list {
		_, _ = fmt.Fprintln(w, " ", difference)
	}
}

func writeEffect(w io.Writer, effect version.Effect) {
	_, _ = fmt.Fprintln(w, "affects")
	for _, service := range effect.Services {
		var why []string
		if service.Declaration {
			why = append(why, "its declaration changes")
		}
		if service.Profile {
			why = append(why, "its profile changes")
		}
		if service.Orders {
			why = append(why, "its targets are given orders")
		}
		_, _ = fmt.Fprintf(w, "  service %s: %s; new requests only\n", service.Service, strings.Join(why, ", "))
	}
	if len(effect.Workspaces) > 0 {
		_, _ = fmt.Fprintf(w, "  workspaces: %s\n", strings.Join(effect.Workspaces, ", "))
	}
	if len(effect.Targets) > 0 {
		_, _ = fmt.Fprintf(w, "  drains: %s; at once\n", strings.Join(effect.Targets, ", "))
	}
}
