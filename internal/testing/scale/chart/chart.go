// Package chart plots the measurements of scale runs over their sizes: one SVG file for each metric of a run.
package chart

import (
	"bytes"
	"cmp"
	"fmt"
	"image/color"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"swiftdeal/internal/testing/scale/fit"
	"swiftdeal/internal/testing/scale/record"
)

// palette holds the colors of the series of a plot.
var palette = []color.Color{
	color.RGBA{0x1f, 0x4e, 0x9c, 0xff}, color.RGBA{0xc2, 0x41, 0x0c, 0xff}, color.RGBA{0x15, 0x80, 0x3d, 0xff},
	color.RGBA{0x7e, 0x22, 0xce, 0xff}, color.RGBA{0x44, 0x40, 0x3c, 0xff}, color.RGBA{0xa1, 0x62, 0x07, 0xff},
}

// maxKinds is the number of kinds of one metric that a plot shows: those with the largest values.
const maxKinds = 6

// Layout of a plot.
const (
	plotWidth    = 4.5 * vg.Inch
	plotHeight   = 3 * vg.Inch
	markerRadius = 2   // points
	curveSamples = 20  // at which a fitted curve is drawn
	headroom     = 1.3 // height of the plot as a multiple of the largest value, since the legend is at the top
)

// Names in runs and of plots.
const (
	phaseSweep    = "phase"  // before, during and after a fault: there are no sizes
	kindSeparator = ":"      // between a metric and its kind, as in "sent_bytes_s:ping"
	kindsSuffix   = "-kinds" // of the name of a plot of kinds
)

// line is one series of a plot.
type line struct {
	name        string
	size, value []float64
}

// figure is the content of a plot.
type figure struct {
	title string
	sweep string // label of the horizontal axis
	unit  string // label of the vertical axis
	lines []line
}

// Draw returns the plots of a run by file name. Runs of a single size and of faults have none. A metric with kinds
// ("sent_bytes_s:ping") has one plot for all its kinds at each role.
func Draw(run *record.Run) (map[string][]byte, error) {
	if run.Sweep == phaseSweep {
		return nil, nil
	}
	plots := map[string][]byte{}
	for name, f := range figures(run) {
		if strings.HasSuffix(name, kindsSuffix) {
			f.keepLargestKinds()
		}
		svg, err := f.draw()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		plots[name+".svg"] = svg
	}
	return plots, nil
}

// figures returns the plots of a run by name.
func figures(run *record.Run) map[string]*figure {
	figures := map[string]*figure{}
	for _, role := range roles(run) {
		for _, metric := range metrics(run, role) {
			base, kind, hasKind := strings.Cut(metric, kindSeparator)
			name, statistics := run.Name+"-"+base, []string{"median", "worst"}
			if hasKind {
				name, statistics = run.Name+"-"+base+"-"+role+kindsSuffix, []string{"median"}
			}
			for _, statistic := range statistics {
				size, value, unit := run.Series(role, metric, statistic)
				if len(size) < 2 {
					continue
				}
				label := kind
				if !hasKind {
					label = role + ", " + statistic
				}
				if figures[name] == nil {
					figures[name] = &figure{title: name, sweep: run.Sweep}
				}
				figures[name].unit = unit
				figures[name].lines = append(figures[name].lines, line{label, size, value})
			}
		}
	}
	return figures
}

// keepLargestKinds keeps the maxKinds lines with the largest values at the largest size.
func (f *figure) keepLargestKinds() {
	last := func(l line) float64 { return l.value[len(l.value)-1] }
	slices.SortStableFunc(f.lines, func(a, b line) int { return cmp.Compare(last(b), last(a)) })
	f.lines = f.lines[:min(len(f.lines), maxKinds)]
}

// roles returns the roles that a run has measurements of.
func roles(run *record.Run) []string {
	all := map[string]bool{}
	for _, p := range run.Points {
		for r := range p.Roles {
			all[r] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// metrics returns the metrics that a run has of a role.
func metrics(run *record.Run, role string) []string {
	all := map[string]bool{}
	for _, p := range run.Points {
		for m := range p.Roles[role].Values {
			all[m] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// draw returns the figure as SVG.
func (f *figure) draw() ([]byte, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = f.title, f.sweep, f.unit
	p.X.Min, p.Y.Min = 0, 0
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	for i, l := range f.lines {
		if err := l.addTo(p, palette[i%len(palette)]); err != nil {
			return nil, err
		}
	}
	if p.Y.Max <= 0 {
		p.Y.Max = 1
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var svg bytes.Buffer
	_, err := canvas.WriteTo(&svg)
	return svg.Bytes(), err
}

// addTo adds the measurements to a plot, and the curve that fits them if there is one.
func (l line) addTo(p *plot.Plot, lineColor color.Color) error {
	points := make(plotter.XYs, len(l.size))
	for i := range l.size {
		points[i].X, points[i].Y = l.size[i], l.value[i]
	}
	markers, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	markers.Color, markers.Radius, markers.Shape = lineColor, vg.Points(markerRadius), draw.CircleGlyph{}
	p.Add(markers)
	p.Legend.Add(l.name, markers)
	if fitted, err := fit.Fit(l.size, l.value); err == nil {
		curve := plotter.NewFunction(func(n float64) float64 {
			value, _ := fitted.Predict(n)
			return value
		})
		curve.XMin, curve.XMax = slices.Min(l.size), slices.Max(l.size)
		curve.Samples, curve.Color = curveSamples, lineColor
		p.Add(curve)
	}
	p.X.Max, p.Y.Max = max(p.X.Max, slices.Max(l.size)), max(p.Y.Max, headroom*slices.Max(l.value))
	return nil
}

// Write writes the plots of all runs to a folder and removes those of runs or metrics that no longer exist. It returns the number
// of plots written.
func Write(dir string, runs map[string]*record.Run) (written int, err error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return 0, err
	}
	current := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(runs)) {
		plots, err := Draw(runs[name])
		if err != nil {
			return written, err
		}
		for file, svg := range plots {
			if err := os.WriteFile(filepath.Join(dir, file), svg, 0o644); err != nil {
				return written, err
			}
			current[file] = true
			written++
		}
	}
	return written, removeOthers(dir, current)
}

// removeOthers removes the plots in a folder that are not among the current ones.
func removeOthers(dir string, current map[string]bool) error {
	files, err := filepath.Glob(filepath.Join(dir, "*.svg"))
	if err != nil {
		return err
	}
	for _, file := range files {
		if current[filepath.Base(file)] {
			continue
		}
		if err := os.Remove(file); err != nil {
			return err
		}
	}
	return nil
}
