package report

import (
	"cmp"
	"fmt"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot writes SVG files to the folder: for each deployment, the cumulative
// distributions of the time to first token of its runs without events, and for each
// run with events, the time to first token over the time of arrival.
func Plot(folder string, runs []*Run) error {
	byDeployment := make(map[string][]*Run)
	for _, r := range runs {
		if len(r.Events) > 0 {
			if err := plotTimeline(folder, r); err != nil {
				return err
			}
			continue
		}
		byDeployment[r.Deployment] = append(byDeployment[r.Deployment], r)
	}
	for name, group := range byDeployment {
		if err := plotDistribution(folder, name, group); err != nil {
			return err
		}
	}
	return nil
}

// plotDistribution writes the cumulative distributions of the runs of one deployment.
func plotDistribution(folder, name string, runs []*Run) error {
	p := plot.New()
	p.Title.Text = name
	p.X.Label.Text = "time to first token, s"
	p.Y.Label.Text = "share of answers"
	var lines []any
	for _, r := range runs {
		points := slices.Clone(r.Points)
		slices.SortFunc(points, func(a, b Point) int { return cmp.Compare(a.FirstToken, b.FirstToken) })
		line := make(plotter.XYs, len(points))
		for i, point := range points {
			line[i].X = point.FirstToken.Seconds()
			line[i].Y = float64(i+1) / float64(len(points))
		}
		lines = append(lines, r.Name, line)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return fmt.Errorf("plotting first-token distributions of %s: %w", name, err)
	}
	p.Legend.Left = false
	return p.Save(plotWidth, plotHeight, filepath.Join(folder, "first-token-"+name+".svg"))
}

// plotTimeline writes a scatter plot of one run, with its events in the title.
func plotTimeline(folder string, r *Run) error {
	p := plot.New()
	p.Title.Text = r.Name
	for _, event := range r.Events {
		p.Title.Text += fmt.Sprintf("   %s at %.0f s", event.Name, event.At.Seconds())
	}
	p.X.Label.Text = "time of arrival, s"
	p.Y.Label.Text = "time to first token, s"
	points := make(plotter.XYs, len(r.Points))
	for i, point := range r.Points {
		points[i].X, points[i].Y = point.At.Seconds(), point.FirstToken.Seconds()
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return fmt.Errorf("plotting first-token times of run %s: %w", r.Name, err)
	}
	scatter.Radius = vg.Points(1.5)
	p.Add(scatter)
	return p.Save(plotWidth, plotHeight, filepath.Join(folder, r.Name+".svg"))
}
