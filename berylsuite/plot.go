package berylsuite

import (
	"image/color"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"berylglade/berylmeasure"
)

// Size of a plot.
const (
	_plotWidth  = 10 * vg.Inch
	_plotHeight = 4 * vg.Inch
)

// WritePlots draws three plots for each workload: the accelerators in use and the
// capacity over time for the first seed, the mean completion time by class, and the
// fragmentation.
func WritePlots(dir string, results []berylmeasure.Result, rows []Row) error {
	names := map[string]bool{}
	for i := range results {
		names[results[i].Workload] = true
	}
	for name := range names {
		if err := plotUse(dir, name, results); err != nil {
			return err
		}
		if err := plotCompletion(dir, name, rows); err != nil {
			return err
		}
		if err := plotFragmentation(dir, name, rows); err != nil {
			return err
		}
	}
	return nil
}

func plotUse(dir, workload string, results []berylmeasure.Result) error {
	p := plot.New()
	p.Title.Text = workload + ": accelerators in use while a failure domain is out"
	p.X.Label.Text = "hours from start"
	p.Y.Label.Text = "accelerators"
	seen := map[string]bool{}
	for i := range results {
		res := &results[i]
		if res.Workload != workload || seen[res.Policy] || len(res.Trace) == 0 {
			continue
		}
		if len(seen) == 0 {
			capacity := func(pt berylmeasure.Point) int { return pt.Capacity }
			if err := addLine(p, "capacity", stepPoints(res.Trace, capacity), color.Black); err != nil {
				return err
			}
		}
		seen[res.Policy] = true
		used := func(pt berylmeasure.Point) int { return pt.Used }
		if err := addLine(p, res.Policy, stepPoints(res.Trace, used), plotutil.Color(len(seen))); err != nil {
			return err
		}
	}
	p.Legend.Top = true
	return savePlot(p, dir, workload+"-use.png")
}

func stepPoints(trace []berylmeasure.Point, value func(berylmeasure.Point) int) plotter.XYs {
	points := make(plotter.XYs, 0, 2*len(trace))
	for i, pt := range trace {
		x := pt.At.Sub(trace[0].At).Seconds() / time.Hour.Seconds()
		if i > 0 {
			points = append(points, plotter.XY{X: x, Y: points[len(points)-1].Y})
		}
		points = append(points, plotter.XY{X: x, Y: float64(value(pt))})
	}
	return points
}

func addLine(p *plot.Plot, name string, points plotter.XYs, c color.Color) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return errors.Wrap(err, "plot line")
	}
	line.Color = c
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

func plotCompletion(dir, workload string, rows []Row) error {
	p := plot.New()
	p.Title.Text = workload + ": mean completion time by class"
	p.Y.Label.Text = "seconds"
	value := func(row Row) float64 { return row.Mean }
	if err := addBars(p, workload, rows, value); err != nil {
		return err
	}
	return savePlot(p, dir, workload+"-completion.png")
}

func plotFragmentation(dir, workload string, rows []Row) error {
	p := plot.New()
	p.Title.Text = workload + ": share of free accelerators that no guaranteed shape can use"
	value := func(row Row) float64 { return row.Fragmentation }
	if err := addBars(p, workload, rows, value); err != nil {
		return err
	}
	return savePlot(p, dir, workload+"-fragmentation.png")
}

// addBars draws a group of bars for each class, with one bar for each policy.
func addBars(p *plot.Plot, workload string, rows []Row, value func(Row) float64) error {
	const width = 10
	var classes, policies []string
	values := map[string]plotter.Values{}
	for _, row := range rows {
		if row.Workload != workload {
			continue
		}
		if len(classes) == 0 || classes[len(classes)-1] != row.Class {
			classes = append(classes, row.Class)
		}
		if values[row.Policy] == nil {
			policies = append(policies, row.Policy)
		}
		values[row.Policy] = append(values[row.Policy], value(row))
	}
	for i, policy := range policies {
		bars, err := plotter.NewBarChart(values[policy], vg.Points(width))
		if err != nil {
			return errors.Wrap(err, "plot bars")
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = vg.Points(float64(width * i))
		p.Add(bars)
		p.Legend.Add(policy, bars)
	}
	p.NominalX(classes...)
	p.Legend.Top = true
	return nil
}

func savePlot(p *plot.Plot, dir, name string) error {
	if err := p.Save(_plotWidth, _plotHeight, filepath.Join(dir, name)); err != nil {
		return errors.Wrap(err, "save plot")
	}
	return nil
}
