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

// outputFormat is the format in which a command prints its result.
type outputFormat string

const (
	outputText outputFormat = "text"
	outputJSON outputFormat = "json"
)

func addOutputFlag(command *cobra.Command) *outputFormat {
	o := outputText
	command.Flags().VarP(&o, "output", "o", "text or json")
	_ = command.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{"text", "json"}, cobra.ShellCompDirectiveNoFileComp))
	return &o
}

// String implements pflag.Value.
func (o *outputFormat) String() string { return string(*o) }

// Type implements pflag.Value.
func (o *outputFormat) Type() string { return "form" }

// Set implements pflag.Value.
func (o *outputFormat) Set(value string) error {
	if value != string(outputText) && value != string(outputJSON) {
		return errors.Errorf("unknown output format %q: want text or json", value)
	}
	*o = outputFormat(value)
	return nil
}

// writeOutput writes body as JSON, or calls writeText for the text format.
func writeOutput(w io.Writer, format outputFormat, body any, writeText func(io.Writer)) error {
	if format != outputJSON {
		writeText(w)
		return nil
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(body), "write")
}

// writeTable writes rows as aligned columns. The first row is the header.
func writeTable(w io.Writer, rows [][]string) {
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

func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}
