package measurer

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// The keys of a result line that determine its row in a comparison.
const (
	siteKey   = "site"
	faultsKey = "faults"
)

// noFaults is the value of faultsKey for results that lack this key.
const noFaults = "false"

// bothSites is the value of siteKey for results that lack this key: both users
// have seven instances and five teams.
const bothSites = "both"

// rowBuilder builds the rows of a comparison from the results of a part. It
// distinguishes the results of the product from those of its baselines.
type rowBuilder struct {
	// variant is the key whose value names the variant or mode, product is its value in
	// the product's results.
	variant string
	product string
	// keys are the keys of the shown values; results that lack one are skipped.
	keys []string
	// show formats the values for a cell.
	show func(values figures) string
}

// rows returns the rows in the order in which their first results appear.
func (b *rowBuilder) rows(lines string) []row {
	var rows []row
	for line := range strings.Lines(lines) {
		values := parseFigures(line)
		if !values.has(b.variant) || !values.has(b.keys...) {
			continue
		}
		site := cmp.Or(values[siteKey], bothSites)
		faults := cmp.Or(values[faultsKey], noFaults)
		index := slices.IndexFunc(rows, func(r row) bool { return r.site == site && r.faults == faults })
		if index < 0 {
			index = len(rows)
			rows = append(rows, row{
				site:   site,
				faults: faults,
			})
		}
		b.addResult(&rows[index], values)
	}
	return rows
}

// addResult sets the product's value of a row or appends a baseline's value.
func (b *rowBuilder) addResult(target *row, values figures) {
	if values[b.variant] == b.product {
		target.product = b.show(values)
		return
	}
	target.baselines = append(target.baselines, fmt.Sprintf("%s %s", values[b.variant], b.show(values)))
}
