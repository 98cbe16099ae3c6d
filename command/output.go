package command

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// output is the form in which a command shows its result.
type output string

const (
	outputText output = "text"
	outputJSON output = "json"
)

func addOutputFlag(command *cobra.Command) *output {
	o := outputText
	command.Flags().VarP(&o, "output", "o", "text or json")
	_ = command.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{"text", "json"}, cobra.ShellCompDirectiveNoFileComp))
	return &o
}

// String implements pflag.Value.
func (o *output) String() string { return string(*o) }

// Type implements pflag.Value.
func (o *output) Type() string { return "form" }

// Set implements pflag.Value.
func (o *output) Set(value string) error {
	if value != string(outputText) && value != string(outputJSON) {
		return errors.Errorf("%q is none of text, json", value)
	}
	*o = output(value)
	return nil
}

// show writes body as JSON, or calls text for the human form.
func show(w io.Writer, form output, body any, text func(io.Writer)) error {
	if form != outputJSON {
		text(w)
		return nil
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(body), "write")
}

// table writes aligned columns, the header first.
func table(w io.Writer, rows [][]string) {
	columns := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				_, _ = fmt.Fprint(columns, "\t")
			}
			_, _ = fmt.Fprint(columns, cell)
		}
		_, _ = fmt.Fprintln(columns)
	}
	_ = columns.Flush()
}

func showTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}
