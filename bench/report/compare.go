package report

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/mulberrylane/mulberrylane/bench/measure"
)

// comparedMetric is one metric by which two reports are compared.
type comparedMetric struct {
	name  string
	value func(*measure.RunMetrics) float64
}

func comparedMetrics() []comparedMetric {
	return []comparedMetric{
		{"complete", func(metrics *measure.RunMetrics) float64 { return float64(metrics.Complete) }},
		{"useful", func(metrics *measure.RunMetrics) float64 { return float64(metrics.Useful) }},
		{"useful in time", func(metrics *measure.RunMetrics) float64 { return float64(metrics.UsefulInTime) }},
		{"resume p50 ms", func(metrics *measure.RunMetrics) float64 { return metrics.Resume.Latency.P50 }},
		{"resume p99 ms", func(metrics *measure.RunMetrics) float64 { return metrics.Resume.Latency.P99 }},
		{"resume max ms", func(metrics *measure.RunMetrics) float64 { return metrics.Resume.Latency.Max }},
		{"less prefill p99 ms", func(metrics *measure.RunMetrics) float64 { return metrics.Resume.LessPrefill.P99 }},
		{"extra work", func(metrics *measure.RunMetrics) float64 { return metrics.Work.Extra }},
		{"extra over floor", func(metrics *measure.RunMetrics) float64 { return metrics.Work.OverFloor }},
		{"first token p50 ms", func(metrics *measure.RunMetrics) float64 { return metrics.FirstToken.P50 }},
		{"first token p99 ms", func(metrics *measure.RunMetrics) float64 { return metrics.FirstToken.P99 }},
		{"between tokens p95 ms", func(metrics *measure.RunMetrics) float64 { return metrics.BetweenTokens.P95 }},
		{"imbalance", func(metrics *measure.RunMetrics) float64 { return metrics.Imbalance }},
	}
}

// Compare writes the ratios of b to a for each run that both reports contain.
func Compare(w io.Writer, a, b *Report) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for i := range a.Runs {
		first := &a.Runs[i]
		second := b.matchingRun(first)
		if second == nil {
			continue
		}
		_, _ = fmt.Fprintf(table, "%s\tA\tB\tB/A\n", title(first))
		for _, metric := range comparedMetrics() {
			x, y := metric.value(first), metric.value(second)
			_, _ = fmt.Fprintf(table, "  %s\t%.4g\t%.4g\t%s\n", metric.name, x, y, ratioText(x, y))
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

func title(metrics *measure.RunMetrics) string {
	if metrics.Reference {
		return fmt.Sprintf("%s undisturbed #%d", metrics.Variant, metrics.Repetition)
	}
	return fmt.Sprintf("%s #%d", metrics.Variant, metrics.Repetition)
}

// matchingRun returns the run of r with the variant and repetition of wanted, and a
// reference run exactly if wanted is one. It returns nil if there is none.
func (r *Report) matchingRun(wanted *measure.RunMetrics) *measure.RunMetrics {
	for i := range r.Runs {
		candidate := &r.Runs[i]
		if candidate.Variant == wanted.Variant && candidate.Repetition == wanted.Repetition && candidate.Reference == wanted.Reference {
			return candidate
		}
	}
	return nil
}

// WriteObjectives writes the objectives as a table and returns how many were missed.
func (r *Report) WriteObjectives(w io.Writer) (missed int) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, objective := range r.Targets {
		operator, verdict := "<=", "met"
		if objective.AtLeast {
			operator = ">="
		}
		if !objective.Met {
			verdict = "MISSED"
			missed++
		}
		_, _ = fmt.Fprintf(table, "%s\t#%d\t%s\t%.4g\t%s %.4g\n", verdict, objective.Repetition, objective.Name, objective.Measured, operator, objective.Bound)
	}
	_ = table.Flush()
	return missed
}

// WriteSummary writes one line for each run.
func (r *Report) WriteSummary(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "run\tasked\tcomplete\tuseful\trefused\tcut off\tnothing\twrong\tinterrupted\tresume p50\tp99\tmax\tless prefill p99\textra\tover floor\tfirst p50\tp99\tbetween p95")
	for i := range r.Runs {
		metrics := &r.Runs[i]
		refused := 0
		for _, refusal := range metrics.Refusals {
			refused += refusal.Count
		}
		v := metrics.Verdict
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.4f\t%.2f\t%.0f\t%.0f\t%.0f\n",
			title(metrics), metrics.Requests, metrics.Complete, metrics.Useful, refused, metrics.CutOff, metrics.Unanswered,
			v.Missing+v.Repeated+v.Foreign+v.Mixed+v.TextWrong, metrics.Resume.Interrupted,
			metrics.Resume.Latency.P50, metrics.Resume.Latency.P99, metrics.Resume.Latency.Max, metrics.Resume.LessPrefill.P99,
			metrics.Work.Extra, metrics.Work.OverFloor, metrics.FirstToken.P50, metrics.FirstToken.P99, metrics.BetweenTokens.P95)
	}
	_ = table.Flush()
}
