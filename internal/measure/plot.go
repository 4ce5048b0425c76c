package measure

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/joomcode/errorx"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"sapphirespread.example/internal/load"
)

const (
	plotWidth      = 18 * vg.Centimeter
	plotHeight     = 9 * vg.Centimeter
	plotWindow     = 500 * time.Millisecond
	plotFolderMode = 0o750
)

// Plot writes the goodput over time of results as an SVG file in folder and returns its path. All results must have the
// same scenario and deployment.
func Plot(folder string, results []Result) (path string, err error) {
	if len(results) == 0 {
		return "", errorx.IllegalArgument.New("no results to plot")
	}
	if err := os.MkdirAll(folder, plotFolderMode); err != nil {
		return "", errorx.Decorate(err, "create plot folder")
	}
	first := results[0]
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s: %s", first.Deployment, first.Scenario)
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "whole requests answered a second"
	p.Y.Min = 0
	p.Legend.Top = true
	for i, result := range results {
		line, err := plotter.NewLine(goodputPoints(result))
		if err != nil {
			return "", errorx.Decorate(err, "draw %s", result.System)
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(string(result.System), line)
	}
	if err := addBestGoodput(p, first); err != nil {
		return "", err
	}
	path = filepath.Join(folder, first.Deployment+"-"+first.Scenario+".svg")
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return "", errorx.Decorate(err, "write plot")
	}
	return path, nil
}

// addBestGoodput draws the best possible goodput during the trigger.
func addBestGoodput(p *plot.Plot, r Result) error {
	from, to := r.Times.Before.Seconds(), r.Times.End().Seconds()
	best, err := plotter.NewLine(plotter.XYs{{X: from, Y: r.BestGoodput}, {X: to, Y: r.BestGoodput}})
	if err != nil {
		return errorx.Decorate(err, "draw the best goodput")
	}
	best.Dashes = plotutil.Dashes(1)
	p.Add(best)
	p.Legend.Add("best during the trigger", best)
	return nil
}

// goodputPoints returns the goodput in requests per second, averaged over each plotWindow.
func goodputPoints(r Result) plotter.XYs {
	intervalsPerPoint := int(plotWindow / load.Interval)
	var points plotter.XYs
	for i := 0; i+intervalsPerPoint <= len(r.Intervals); i += intervalsPerPoint {
		good := int64(0)
		for _, interval := range r.Intervals[i : i+intervalsPerPoint] {
			good += interval.Good
		}
		middle := r.Intervals[i].At + plotWindow/2
		points = append(points, plotter.XY{X: middle.Seconds(), Y: float64(good) / plotWindow.Seconds()})
	}
	return points
}
