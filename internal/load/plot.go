package load

import (
	"fmt"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/medlardeck/medlardeck/internal/request"
)

// Size of the plots.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot implements Plotter: for each length class the distribution of the time
// to first token under each policy, as SVG.
func (c *Comparison) Plot(dir string) error {
	for class := range request.NumClasses {
		name := request.Class(class).String()
		p := plot.New()
		p.Title.Text = fmt.Sprintf("%s: %s prompts", c.Scenario, name)
		p.X.Label.Text = "time to first token, s"
		p.Y.Label.Text = "share of the answered"
		p.X.Min = 0
		p.Y.Min, p.Y.Max = 0, 1
		p.Legend.Left = false
		var lines []any
		for _, s := range c.Policies {
			if xys := s.distribution(class); len(xys) > 0 {
				lines = append(lines, s.Policy, xys)
			}
		}
		if len(lines) == 0 {
			continue
		}
		if err := plotutil.AddLines(p, lines...); err != nil {
			return fmt.Errorf("plot %s: %w", name, err)
		}
		file := filepath.Join(dir, c.Scenario+"-"+name+".svg")
		if err := p.Save(plotWidth, plotHeight, file); err != nil {
			return fmt.Errorf("save %s: %w", file, err)
		}
	}
	return nil
}

// plotPoints is the number of quantiles that a line shows.
const plotPoints = 200

func (s Summary) distribution(class int) plotter.XYs {
	h := s.byClass[class]
	if h.TotalCount() == 0 {
		return nil
	}
	xys := make(plotter.XYs, plotPoints+1)
	for i := range xys {
		share := float64(i) / plotPoints
		xys[i] = plotter.XY{X: float64(h.ValueAtPercentile(100*share)) / 1000, Y: share}
	}
	return xys
}
