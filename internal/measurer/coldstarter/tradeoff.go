package coldstarter

import (
	"fmt"
	"io"
	"time"
)

// point is one point of the trade-off curve between waits and idle accelerators.
type point struct {
	site     string
	variant  string
	keepWarm time.Duration
	// p99 and mean are of the waits of all requests, in seconds.
	p99       float64
	mean      float64
	idleHours float64
	wakes     int
}

// tradeoffVariants returns the product and eviction by age at all keep-warm times.
func tradeoffVariants() []Variant {
	var all []Variant
	for _, idle := range keepWarmTimes {
		all = append(all, variants(idle)[:2]...)
	}
	return all
}

// tradeoffPoints returns the points of one site.
func tradeoffPoints(site Site, results map[string][]Result) []point {
	var points []point
	for _, variant := range tradeoffVariants() {
		f := summarize(results[variant.key()])
		points = append(points, point{
			site:      site.Name,
			variant:   variant.Name,
			keepWarm:  variant.Idle,
			p99:       f.p99.Seconds(),
			mean:      f.mean.Seconds(),
			idleHours: f.idleHours,
			wakes:     f.wakes,
		})
	}
	return points
}

// compareAtEqualP99 writes, for the p99 of each point of eviction by age, the
// lowest idle hours at which each variant has at most that p99. Equal lines are
// written once.
func compareAtEqualP99(out io.Writer, points []point) error {
	written := map[string]bool{}
	for _, p := range points {
		if p.variant != "age" {
			continue
		}
		product, found := lowestIdleHours(points, "product", p.p99)
		age, _ := lowestIdleHours(points, "age", p.p99)
		if !found {
			continue
		}
		line := fmt.Sprintf(
			"site=%s p99=%.2f product=%s productp99=%.2f productidle=%.4f productmean=%.2f age=%s agep99=%.2f ageidle=%.4f agemean=%.2f saving=%.2f\n",
			p.site, p.p99, product.keepWarm, product.p99, product.idleHours, product.mean,
			age.keepWarm, age.p99, age.idleHours, age.mean, 1-product.idleHours/age.idleHours)
		if written[line] {
			continue
		}
		written[line] = true
		if _, err := io.WriteString(out, line); err != nil {
			return err
		}
	}
	return nil
}

// lowestIdleHours returns the point with the lowest idle hours among the points of
// a variant whose p99 is at most limit. It reports false if there is none.
func lowestIdleHours(points []point, variant string, limit float64) (point, bool) {
	var best point
	found := false
	for _, p := range points {
		if p.variant == variant && p.p99 <= limit && (!found || p.idleHours < best.idleHours) {
			best = p
			found = true
		}
	}
	return best, found
}
