package coldstarter

import (
	"encoding/csv"
	"os"
	"path/filepath"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// The directory and files of the trade-off curve.
const (
	curveFolder = "docs"
	curveTable  = "loading-tradeoff.csv"
	curvePlot   = "loading-tradeoff.svg"
)

// writeCurve writes the trade-off curve as a CSV table and as an SVG plot.
func writeCurve(points []point) error {
	if err := writeTable(points); err != nil {
		return err
	}
	picture := plot.New()
	picture.Title.Text = "Idle accelerators against waits for a copy"
	picture.X.Label.Text = "idle accelerator hours"
	picture.Y.Label.Text = "p99 of the wait of all requests, in seconds"
	var lines []any
	for _, site := range sites {
		for _, variant := range []string{"product", "age"} {
			lines = append(lines, site.Name+" "+variant, curvePoints(points, site.Name, variant))
		}
	}
	if err := plotutil.AddLinePoints(picture, lines...); err != nil {
		return err
	}
	return picture.Save(8*vg.Inch, 5*vg.Inch, filepath.Join(curveFolder, curvePlot))
}

// curvePoints returns the coordinates of one variant's points on one site.
func curvePoints(points []point, site, variant string) plotter.XYs {
	var line plotter.XYs
	for _, p := range points {
		if p.site == site && p.variant == variant {
			line = append(line, plotter.XY{
				X: p.idleHours,
				Y: p.p99,
			})
		}
	}
	return line
}

// writeTable writes the points to the CSV file.
func writeTable(points []point) error {
	file, err := os.Create(filepath.Join(curveFolder, curveTable))
	if err != nil {
		return err
	}
	table := csv.NewWriter(file)
	rows := [][]string{{"site", "variant", "keepwarm", "p99", "mean", "idlehours", "wakes"}}
	for _, p := range points {
		rows = append(rows, []string{
			p.site,
			p.variant,
			p.keepWarm.String(),
			strconv.FormatFloat(p.p99, 'f', 2, 64),
			strconv.FormatFloat(p.mean, 'f', 2, 64),
			strconv.FormatFloat(p.idleHours, 'f', 2, 64),
			strconv.Itoa(p.wakes),
		})
	}
	if err := table.WriteAll(rows); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
