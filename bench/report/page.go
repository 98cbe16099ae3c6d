package report

import (
	"bytes"
	"fmt"
	"html/template"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"

	"github.com/mulberrylane/mulberrylane/bench/experiment"
	"github.com/mulberrylane/mulberrylane/bench/measure"
)

const pageText = `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Report.Experiment.Name}}</title>
<style>
body { font-family: sans-serif; margin: 2em; max-width: 70em; }
table { border-collapse: collapse; font-size: 85%; }
td, th { border: 1px solid #ccc; padding: 0.2em 0.6em; text-align: right; }
td:first-child, th:first-child { text-align: left; }
.missed { color: #b00; font-weight: bold; }
</style></head><body>
<h1>{{.Report.Experiment.Name}}</h1>
<p>{{.Report.Replicas}} replicas, {{.Report.Entries}} entries, seed {{.Report.Experiment.Seed}},
{{.Report.Machine.Cores}} cores, {{.Report.Machine.OS}}/{{.Report.Machine.Arch}}, {{.Report.Machine.GoVersion}}.</p>
<ul>{{range .Report.Limits}}<li>{{.}}</li>{{end}}</ul>
<h2>Runs</h2>
<table><tr><th>run</th><th>asked</th><th>complete</th><th>useful</th><th>cut off</th><th>told nothing</th>
<th>missing</th><th>repeated</th><th>foreign</th><th>mixed</th>
<th>interrupted</th><th>not resumed</th><th>resume p50 ms</th><th>p99</th><th>max</th><th>less prefill p99</th>
<th>extra work</th><th>over floor</th><th>first token p50 ms</th><th>p95</th><th>p99</th><th>between tokens p50</th><th>p95</th>
<th>changed without fault</th><th>late work</th><th>imbalance</th></tr>
{{range .Runs}}<tr><td>{{.Title}}</td><td>{{.F.Requests}}</td><td>{{.F.Complete}}</td><td>{{.F.Useful}}</td><td>{{.F.CutOff}}</td><td>{{.F.Unanswered}}</td>
<td>{{.F.Verdict.Missing}}</td><td>{{.F.Verdict.Repeated}}</td><td>{{.F.Verdict.Foreign}}</td><td>{{.F.Verdict.Mixed}}</td>
<td>{{.F.Resume.Interrupted}}</td><td>{{.F.Resume.NotResumed}}</td>
<td>{{printf "%.0f" .F.Resume.Latency.P50}}</td><td>{{printf "%.0f" .F.Resume.Latency.P99}}</td><td>{{printf "%.0f" .F.Resume.Latency.Max}}</td><td>{{printf "%.0f" .F.Resume.LessPrefill.P99}}</td>
<td>{{printf "%.4f" .F.Work.Extra}}</td><td>{{printf "%.2f" .F.Work.OverFloor}}</td>
<td>{{printf "%.0f" .F.FirstToken.P50}}</td><td>{{printf "%.0f" .F.FirstToken.P95}}</td><td>{{printf "%.0f" .F.FirstToken.P99}}</td>
<td>{{printf "%.1f" .F.BetweenTokens.P50}}</td><td>{{printf "%.1f" .F.BetweenTokens.P95}}</td>
<td>{{.F.ChangedWithoutFault}}</td><td>{{.F.LateWork}}</td><td>{{printf "%.2f" .F.Imbalance}}</td></tr>
{{end}}</table>
<h2>Targets</h2>
<table><tr><th>target</th><th>repetition</th><th>measured</th><th>bound</th><th></th></tr>
{{range .Report.Targets}}<tr><td>{{.Name}}</td><td>{{.Repetition}}</td><td>{{printf "%.4g" .Measured}}</td>
<td>{{if .AtLeast}}at least{{else}}at most{{end}} {{printf "%.4g" .Bound}}</td><td>{{if .Met}}met{{else}}<span class="missed">missed</span>{{end}}</td></tr>
{{end}}</table>
<h2>Parts of the resume latency, ms</h2>
<table><tr><th>run</th><th>reach p50</th><th>p99</th><th>queue p50</th><th>p99</th><th>prefill p50</th><th>p99</th><th>relay p50</th><th>p99</th></tr>
{{range .Runs}}{{if .F.Resume.Reach.Count}}<tr><td>{{.Title}}</td>
{{with .F.Resume}}<td>{{ms .Reach.P50}}</td><td>{{ms .Reach.P99}}</td><td>{{ms .Queue.P50}}</td><td>{{ms .Queue.P99}}</td>
<td>{{ms .Prefill.P50}}</td><td>{{ms .Prefill.P99}}</td><td>{{ms .Relay.P50}}</td><td>{{ms .Relay.P99}}</td>{{end}}</tr>
{{end}}{{end}}</table>
<h2>Refusals</h2>
<table><tr><th>run</th><th>kind</th><th>count</th><th>not run</th><th>unknown</th><th>delay p50 ms</th><th>p99</th></tr>
{{range .Runs}}{{$title := .Title}}{{range .F.Refusals}}<tr><td>{{$title}}</td><td>{{.Kind}}</td><td>{{.Count}}</td><td>{{.NotRun}}</td><td>{{.Unknown}}</td>
<td>{{printf "%.0f" .Delay.P50}}</td><td>{{printf "%.0f" .Delay.P99}}</td></tr>
{{end}}{{end}}</table>
<h2>Plots</h2>
{{range .Plots}}<p>{{.}}</p>{{end}}
<h2>Faults</h2>
<table><tr><th>run</th><th>at s</th><th>until s</th><th>fault</th><th>parts</th><th>interrupted</th></tr>
{{range .Runs}}{{$title := .Title}}{{range .F.Strikes}}<tr><td>{{$title}}</td><td>{{seconds .At}}</td><td>{{seconds .Until}}</td><td>{{.Type}}</td><td>{{.Targets}} {{.Entries}}</td><td>{{.Interrupted}}</td></tr>
{{end}}{{end}}</table>
</body></html>
`

var page = template.Must(template.New("report").Funcs(template.FuncMap{
	"ms":      func(ms float64) string { return fmt.Sprintf("%.0f", ms) },
	"seconds": func(ms float64) float64 { return ms / 1000 },
}).Parse(pageText))

type pageRun struct {
	Title string
	F     *measure.RunMetrics
}

type pageData struct {
	Report *Report
	Runs   []pageRun
	Plots  []template.HTML
}

// Page returns the report as one HTML page that needs no network.
func (r *Report) Page() ([]byte, error) {
	data := pageData{Report: r}
	for i := range r.Runs {
		data.Runs = append(data.Runs, pageRun{Title: title(&r.Runs[i]), F: &r.Runs[i]})
	}
	plots, err := r.plots()
	if err != nil {
		return nil, err
	}
	for _, p := range plots {
		picture, err := svg(p)
		if err != nil {
			return nil, err
		}
		// The picture comes from the plotting library, not from outside.
		data.Plots = append(data.Plots, template.HTML(picture))
	}
	var out bytes.Buffer
	if err := page.Execute(&out, data); err != nil {
		return nil, errors.Wrap(err, "page")
	}
	return out.Bytes(), nil
}

func (r *Report) plots() ([]*plot.Plot, error) {
	resumes, err := r.resumePlot()
	if err != nil {
		return nil, err
	}
	trade, err := r.tradePlot()
	if err != nil {
		return nil, err
	}
	list := []*plot.Plot{resumes, trade}
	for _, f := range r.disturbed() {
		if f.Variant != experiment.Product {
			continue
		}
		over, err := loadPlot(f)
		if err != nil {
			return nil, err
		}
		list = append(list, over)
	}
	return list, nil
}
