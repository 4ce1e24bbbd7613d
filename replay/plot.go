package replay

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 5 * vg.Inch
)

// Plot draws idle hours against p99 cold start for fixed keep-alives and for
// the policy under scaled weights; the file's ending gives the format.
func (c Case) Plot(file string) error {
	var fixedLine, ownLine plotter.XYs
	for _, minutes := range []float64{0, 1, 2, 5, 10, 20, 30, 60} {
		r := c.play(contender{name: PolicyOne, options: options(fixed(minutes * 60))})
		fixedLine = append(fixedLine, plotter.XY{X: r.IdleHours, Y: r.P99})
	}
	for _, scale := range []float64{0.125, 0.25, 0.5, 1, 2, 4, 8} {
		scaled := c
		preset := c.Catalog.InForce()
		preset.ColdStartWeight *= scale
		scaled.Catalog = c.Catalog.WithPreset(preset)
		r := scaled.play(contender{name: PolicyOwn})
		ownLine = append(ownLine, plotter.XY{X: r.IdleHours, Y: r.P99})
	}
	p := plot.New()
	p.Title.Text = c.Deployment.Name
	p.X.Label.Text = "idle accelerator hours"
	p.Y.Label.Text = "p99 cold start in seconds"
	if err := plotutil.AddLinePoints(p, "fixed keep-alive", fixedLine, PolicyOwn, ownLine); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, file)
}
