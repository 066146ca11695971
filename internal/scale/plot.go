package scale

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Plot draws, for each phase, the bytes a second that the primary sends and receives over the number of routers.
//
//	err := scale.Plot("scale.png", results)
func Plot(file string, results []*Result) error {
	curves := map[string]plotter.XYs{}
	var names []string
	for _, r := range results {
		for _, p := range r.Phases {
			if curves[p.Name] == nil {
				names = append(names, p.Name)
			}
			all := p.Primary.Total()
			curves[p.Name] = append(curves[p.Name], plotter.XY{X: float64(r.Settings.Routers), Y: (all.BytesSent + all.BytesReceived) / 1000})
		}
	}
	p := plot.New()
	p.Title.Text = "The primary's messages"
	p.X.Label.Text = "routers"
	p.Y.Label.Text = "KB a second, both ways"
	p.Y.Min = 0
	p.Legend.Top, p.Legend.Left = true, true
	var lines []any
	for _, name := range names {
		lines = append(lines, name, curves[name])
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(16*vg.Centimeter, 10*vg.Centimeter, file)
}
