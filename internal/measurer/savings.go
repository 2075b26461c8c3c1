package measurer

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

const savingKey = "saving"

// savings returns one row for each site, with the median and range of the saved
// idle hours at equal p99 over all points.
func savings(lines string) []row {
	var rows []row
	values := map[string][]float64{}
	for line := range strings.Lines(lines) {
		pairs := parseFigures(line)
		value, err := strconv.ParseFloat(pairs[savingKey], 64)
		if err != nil {
			continue
		}
		site := pairs[siteKey]
		if len(values[site]) == 0 {
			rows = append(rows, row{
				site: site,
			})
		}
		values[site] = append(values[site], value)
	}
	for i := range rows {
		all := values[rows[i].site]
		slices.Sort(all)
		rows[i].product = fmt.Sprintf("median %.2f, from %.2f to %.2f at %d points",
			median(all), all[0], all[len(all)-1], len(all))
	}
	return rows
}

// median returns the median of sorted values.
func median(sorted []float64) float64 {
	half := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[half]
	}
	return (sorted[half-1] + sorted[half]) / 2
}
