package measurer

// comparison extracts one measure of the product and of its baselines from the
// results of a part.
type comparison struct {
	// measure is the measure's name on the page, with its unit and bound.
	measure string
	// part is the name of the part whose results contain the measure.
	part string
	// rows extracts the rows from the part's results, in the order of the results.
	rows func(lines string) []row
}

// row is one row of a comparison: the values for one user's site, with or without faults.
type row struct {
	site      string
	faults    string
	product   string
	baselines []string
}

// earlierValue returns the product's value in the row of the earlier results
// that has the same site and faults; empty if there is none.
func (c *comparison) earlierValue(lines string, current row) string {
	for _, r := range c.rows(lines) {
		if r.site == current.site && r.faults == current.faults {
			return r.product
		}
	}
	return ""
}
