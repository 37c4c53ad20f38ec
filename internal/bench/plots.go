package bench

import (
	"fmt"
	"image/color"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	barWidth   = 28
)

var plotColors = []color.Color{
	color.RGBA{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff},
	color.RGBA{R: 0xd6, G: 0x27, B: 0x28, A: 0xff},
}

// barCharts are the measures that have a bar chart, with one bar per policy.
var barCharts = []struct {
	file, title string
	value       func(*Result) float64
}{
	{"p99", "99th percentile latency of answers, ms", func(r *Result) float64 { return r.P99Ms }},
	{"coverage", "mean coverage of answers", func(r *Result) float64 { return r.CoverageMean }},
	{"extra-load", "sub-requests received by needed", func(r *Result) float64 { return r.ExtraLoad }},
	{"goodput", "answers in time, 1/s", func(r *Result) float64 { return r.Goodput }},
	{"violations", "violations", func(r *Result) float64 { return float64(r.Violations) }},
}

// plotAll draws a latency distribution for each workload and caller, the goodput over
// time, and the bar charts.
func plotAll(dir string, results []*Result) error {
	if len(results) == 0 {
		return nil
	}
	for _, b := range barCharts {
		if err := plotBars(filepath.Join(dir, b.file+".png"), b.title, results, b.value); err != nil {
			return err
		}
	}
	if err := plotTimeline(filepath.Join(dir, timelineFile), results); err != nil {
		return err
	}
	for _, g := range results[0].Groups {
		if err := plotCDF(filepath.Join(dir, cdfFile(g)), g, results); err != nil {
			return err
		}
	}
	return nil
}

const timelineFile = "timeline.png"

func plotTimeline(file string, results []*Result) error {
	p := plot.New()
	p.Title.Text = "answers in time, each second"
	p.X.Label.Text = "s"
	p.Y.Min = 0
	for i, r := range results {
		if len(r.Timeline) == 0 {
			continue
		}
		xy := make(plotter.XYs, len(r.Timeline))
		for sec, n := range r.Timeline {
			xy[sec] = plotter.XY{X: float64(sec), Y: n}
		}
		line, err := plotter.NewLine(xy)
		if err != nil {
			return fmt.Errorf("plot timeline: %w", err)
		}
		line.Color = plotColors[i%len(plotColors)]
		p.Add(line)
		p.Legend.Add(r.Policy, line)
	}
	return save(p, file)
}

func cdfFile(g Group) string { return fmt.Sprintf("cdf-%s-%s.png", g.Workload, g.Caller) }

func plotBars(file, title string, results []*Result, value func(*Result) float64) error {
	p := plot.New()
	p.Title.Text = title
	p.Y.Min = 0
	var names []string
	for i, r := range results {
		bar, err := plotter.NewBarChart(plotter.Values{value(r)}, vg.Points(barWidth))
		if err != nil {
			return fmt.Errorf("plot %s: %w", title, err)
		}
		bar.XMin = float64(i)
		bar.Color = plotColors[i%len(plotColors)]
		p.Add(bar)
		names = append(names, r.Policy)
	}
	p.NominalX(names...)
	return save(p, file)
}

func plotCDF(file string, g Group, results []*Result) error {
	p := plot.New()
	p.Title.Text = g.Workload + ", " + g.Caller
	p.X.Label.Text = "latency, ms"
	p.Y.Label.Text = "share of answers"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = false
	for i, r := range results {
		for _, o := range r.Groups {
			if o.Workload != g.Workload || o.Caller != g.Caller || len(o.CDFMs) == 0 {
				continue
			}
			line, err := plotter.NewLine(points(o.CDFMs))
			if err != nil {
				return fmt.Errorf("plot %s: %w", p.Title.Text, err)
			}
			line.Color = plotColors[i%len(plotColors)]
			p.Add(line)
			p.Legend.Add(r.Policy, line)
		}
	}
	return save(p, file)
}

func points(ms []float64) plotter.XYs {
	xy := make(plotter.XYs, len(ms))
	for i, v := range ms {
		xy[i].X = v
		xy[i].Y = (float64(i) + 0.5) / float64(len(ms))
	}
	return xy
}

func save(p *plot.Plot, file string) error {
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("plot %s: %w", strings.TrimSuffix(filepath.Base(file), ".png"), err)
	}
	return nil
}
