package main

import (
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/sardinespindle/sardinespindle/internal/capacity"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// curve is one line of a plot.
type curve struct {
	name   string
	points plotter.XYs
}

// plotSlopes writes the plots of the slopes to a directory.
func plotSlopes(dir string, s capacity.Slopes) error {
	var bytes, reach, claim, cold, change plotter.XYs
	for _, r := range s.Fleet {
		bytes = append(bytes, plotter.XY{X: float64(r.VMs), Y: r.LoadedBytes})
		reach = append(reach, plotter.XY{X: float64(r.VMs), Y: r.ReachAllMs})
	}
	for _, r := range s.Claims {
		claim = append(claim, plotter.XY{X: float64(r.VMs), Y: r.ClaimMillis})
	}
	for _, r := range s.Manifest {
		cold = append(cold, plotter.XY{X: float64(r.Servers), Y: r.ColdMs})
		change = append(change, plotter.XY{X: float64(r.Servers), Y: r.ChangeMs})
	}
	for _, p := range []struct {
		file, x, y string
		curves     []curve
	}{
		{"slope-bytes.png", "VMs", "bytes/s a VM", []curve{{"10 facts/s", bytes}}},
		{"slope-reach.png", "VMs", "ms to reach all", []curve{{"median", reach}}},
		{"slope-claims.png", "VMs", "ms a claim", []curve{{"median", claim}}},
		{"slope-manifest.png", "servers", "ms", []curve{{"cold", cold}, {"one change", change}}},
	} {
		if err := plotLines(filepath.Join(dir, p.file), p.x, p.y, p.curves); err != nil {
			return err
		}
	}
	return nil
}

func plotLines(file, x, y string, curves []curve) error {
	p := plot.New()
	p.X.Label.Text = x
	p.Y.Label.Text = y
	for i, c := range curves {
		line, points, err := plotter.NewLinePoints(c.points)
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		points.Color = plotutil.Color(i)
		p.Add(line, points)
		p.Legend.Add(c.name, line)
	}
	return p.Save(plotWidth, plotHeight, file)
}
