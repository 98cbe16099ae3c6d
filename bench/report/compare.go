package report

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/mulberrylane/mulberrylane/bench/measure"
)

// row is one figure that two reports are compared by.
type row struct {
	name  string
	value func(*measure.RunMetrics) float64
}

func rows() []row {
	return []row{
		{"complete", func(f *measure.RunMetrics) float64 { return float64(f.Complete) }},
		{"useful", func(f *measure.RunMetrics) float64 { return float64(f.Useful) }},
		{"useful in time", func(f *measure.RunMetrics) float64 { return float64(f.UsefulInTime) }},
		{"resume p50 ms", func(f *measure.RunMetrics) float64 { return f.Resume.Latency.P50 }},
		{"resume p99 ms", func(f *measure.RunMetrics) float64 { return f.Resume.Latency.P99 }},
		{"resume max ms", func(f *measure.RunMetrics) float64 { return f.Resume.Latency.Max }},
		{"less prefill p99 ms", func(f *measure.RunMetrics) float64 { return f.Resume.LessPrefill.P99 }},
		{"extra work", func(f *measure.RunMetrics) float64 { return f.Work.Extra }},
		{"extra over floor", func(f *measure.RunMetrics) float64 { return f.Work.OverFloor }},
		{"first token p50 ms", func(f *measure.RunMetrics) float64 { return f.FirstToken.P50 }},
		{"first token p99 ms", func(f *measure.RunMetrics) float64 { return f.FirstToken.P99 }},
		{"between tokens p95 ms", func(f *measure.RunMetrics) float64 { return f.BetweenTokens.P95 }},
		{"imbalance", func(f *measure.RunMetrics) float64 { return f.Imbalance }},
	}
}

// Compare writes the ratios of b to a, for each run that both have.
func Compare(w io.Writer, a, b *Report) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for i := range a.Runs {
		first := &a.Runs[i]
		second := b.find(first)
		if second == nil {
			continue
		}
		_, _ = fmt.Fprintf(table, "%s\tA\tB\tB/A\n", title(first))
		for _, r := range rows() {
			x, y := r.value(first), r.value(second)
			_, _ = fmt.Fprintf(table, "  %s\t%.4g\t%.4g\t%s\n", r.name, x, y, ratioText(x, y))
		}
	}
	return table.Flush()
}

func ratioText(a, b float64) string {
	if a == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", b/a)
}

func title(f *measure.RunMetrics) string {
	if f.Reference {
		return fmt.Sprintf("%s undisturbed #%d", f.Variant, f.Repetition)
	}
	return fmt.Sprintf("%s #%d", f.Variant, f.Repetition)
}

// find returns the run of r that is of the same kind as like, or nil.
func (r *Report) find(like *measure.RunMetrics) *measure.RunMetrics {
	for i := range r.Runs {
		run := &r.Runs[i]
		if run.Variant == like.Variant && run.Repetition == like.Repetition && run.Reference == like.Reference {
			return run
		}
	}
	return nil
}

// WriteTargets writes the targets as a table and returns how many were missed.
func (r *Report) WriteTargets(w io.Writer) (missed int) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, t := range r.Targets {
		sign, verdict := "<=", "met"
		if t.AtLeast {
			sign = ">="
		}
		if !t.Met {
			verdict = "MISSED"
			missed++
		}
		_, _ = fmt.Fprintf(table, "%s\t#%d\t%s\t%.4g\t%s %.4g\n", verdict, t.Repetition, t.Name, t.Measured, sign, t.Bound)
	}
	_ = table.Flush()
	return missed
}

// WriteSummary writes one line for each run.
func (r *Report) WriteSummary(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "run\tasked\tcomplete\tuseful\trefused\tcut off\tnothing\twrong\tinterrupted\tresume p50\tp99\tmax\tless prefill p99\textra\tover floor\tfirst p50\tp99\tbetween p95")
	for i := range r.Runs {
		f := &r.Runs[i]
		refused := 0
		for _, refusal := range f.Refusals {
			refused += refusal.Count
		}
		v := f.Verdict
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.4f\t%.2f\t%.0f\t%.0f\t%.0f\n",
			title(f), f.Requests, f.Complete, f.Useful, refused, f.CutOff, f.Unanswered,
			v.Missing+v.Repeated+v.Foreign+v.Mixed+v.TextWrong, f.Resume.Interrupted,
			f.Resume.Latency.P50, f.Resume.Latency.P99, f.Resume.Latency.Max, f.Resume.LessPrefill.P99,
			f.Work.Extra, f.Work.OverFloor, f.FirstToken.P50, f.FirstToken.P99, f.BetweenTokens.P95)
	}
	_ = table.Flush()
}
