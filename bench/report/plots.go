package report

import (
	"bytes"
	"image/color"
	"math"
	"slices"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/mulberrylane/mulberrylane/bench/measure"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// palette holds the line colours, used in turn.
var palette = []color.RGBA{
	{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff}, {R: 0xd6, G: 0x27, B: 0x28, A: 0xff},
	{R: 0x2c, G: 0xa0, B: 0x2c, A: 0xff}, {R: 0xff, G: 0x7f, B: 0x0e, A: 0xff},
	{R: 0x94, G: 0x67, B: 0xbd, A: 0xff}, {R: 0x7f, G: 0x7f, B: 0x7f, A: 0xff},
}

func colorOf(i int) color.RGBA { return palette[i%len(palette)] }

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = x
	p.Y.Label.Text = y
	p.Add(plotter.NewGrid())
	return p
}

// svgElement renders p as an SVG element without the XML header.
func svgElement(p *plot.Plot) ([]byte, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return nil, errors.Wrap(err, "plot")
	}
	data := out.Bytes()
	if start := bytes.Index(data, []byte("<svg")); start > 0 {
		data = data[start:]
	}
	return data, nil
}

// disturbedRuns returns the runs that are not reference runs.
func (r *Report) disturbedRuns() []*measure.RunMetrics {
	var list []*measure.RunMetrics
	for i := range r.Runs {
		if !r.Runs[i].Reference {
			list = append(list, &r.Runs[i])
		}
	}
	return list
}

// resumePlot plots the cumulative distribution of the resume latency of each run.
func (r *Report) resumePlot() (*plot.Plot, error) {
	p := newPlot("Resume latency", "ms (logarithmic)", "share of resumes")
	for i, metrics := range r.disturbedRuns() {
		if len(metrics.Resume.Samples) == 0 {
			continue
		}
		sorted := slices.Sorted(slices.Values(metrics.Resume.Samples))
		points := make(plotter.XYs, len(sorted))
		for k, latency := range sorted {
			points[k] = plotter.XY{X: max(1, latency), Y: float64(k+1) / float64(len(sorted))}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, errors.Wrap(err, "resume plot")
		}
		line.Color = colorOf(i)
		line.StepStyle = plotter.PostStep
		p.Add(line)
		p.Legend.Add(title(metrics), line)
	}
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	p.X.Min, p.X.Max = 1, max(10, p.X.Max)
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top, p.Legend.Left = true, true
	return p, nil
}

// extraWorkPlot plots extra resource use against p99 resume latency, one point per
// run.
func (r *Report) extraWorkPlot() (*plot.Plot, error) {
	p := newPlot("Extra resource use against resume latency", "p99 resume latency, ms", "extra work, share of useful")
	for i, metrics := range r.disturbedRuns() {
		point, err := plotter.NewScatter(plotter.XYs{{X: metrics.Resume.Latency.P99, Y: metrics.Work.Extra}})
		if err != nil {
			return nil, errors.Wrap(err, "extra work plot")
		}
		point.Color = colorOf(i)
		point.Shape = draw.CircleGlyph{}
		point.Radius = vg.Points(4)
		p.Add(point)
		p.Legend.Add(title(metrics), point)
	}
	p.X.Min, p.Y.Min = 0, math.Min(0, p.Y.Min)
	p.X.Max, p.Y.Max = max(1, p.X.Max*1.1), max(0.001, p.Y.Max*1.1)
	p.Legend.Top = true
	return p, nil
}

// loadPlot plots the depth of every target over time, with a mark at each fault.
func loadPlot(metrics *measure.RunMetrics) (*plot.Plot, error) {
	p := newPlot("Load over targets and faults: "+title(metrics), "s", "generations on a target")
	if len(metrics.Load) == 0 {
		return p, nil
	}
	grey := color.NRGBA{R: 0x50, G: 0x50, B: 0x80, A: 0x60}
	for target := range metrics.Load[0].Depth {
		points := make(plotter.XYs, 0, len(metrics.Load))
		for _, sample := range metrics.Load {
			points = append(points, plotter.XY{X: sample.At / 1000, Y: float64(sample.Depth[target])})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, errors.Wrap(err, "load plot")
		}
		line.Color = grey
		line.Width = vg.Points(0.5)
		p.Add(line)
	}
	return p, addFaultMarks(p, metrics)
}

func addFaultMarks(p *plot.Plot, metrics *measure.RunMetrics) error {
	top := p.Y.Max
	for i, event := range metrics.Strikes {
		x := event.At / 1000
		line, err := plotter.NewLine(plotter.XYs{{X: x, Y: 0}, {X: x, Y: top}})
		if err != nil {
			return errors.Wrap(err, "faults")
		}
		line.Color = palette[1]
		line.Dashes = []vg.Length{vg.Points(4), vg.Points(2)}
		p.Add(line)
		if i == 0 {
			p.Legend.Add(string(event.Type), line)
		}
	}
	p.Legend.Top = true
	return nil
}
