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

// Plot plots idle hours against p99 cold start for fixed keep-alive times and for the placement policy with
// scaled weights. The file extension selects the format.
func (c Case) Plot(file string) error {
	var fixedLine, placementLine plotter.XYs
	for _, minutes := range []float64{0, 1, 2, 5, 10, 20, 30, 60} {
		r := c.simulate(candidate{name: PolicyFixed1Min, options: options(fixedKeepAlive(minutes * 60))})
		fixedLine = append(fixedLine, plotter.XY{X: r.IdleHours, Y: r.P99})
	}
	for _, scale := range []float64{0.125, 0.25, 0.5, 1, 2, 4, 8} {
		scaled := c
		preset := c.Catalog.ActivePreset()
		preset.ColdStartWeight *= scale
		scaled.Catalog = c.Catalog.WithPreset(preset)
		r := scaled.simulate(candidate{name: PolicyPlacement})
		placementLine = append(placementLine, plotter.XY{X: r.IdleHours, Y: r.P99})
	}
	p := plot.New()
	p.Title.Text = c.Deployment.Name
	p.X.Label.Text = "idle accelerator hours"
	p.Y.Label.Text = "p99 cold start in seconds"
	if err := plotutil.AddLinePoints(p, "fixed keep-alive", fixedLine, PolicyPlacement, placementLine); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, file)
}
