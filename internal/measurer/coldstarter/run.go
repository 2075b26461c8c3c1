package coldstarter

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"
)

const (
	// fullSpan and shortSpan are the simulated time of each seed.
	fullSpan  = 75 * time.Minute
	shortSpan = time.Hour
	// fullSeeds is the number of seeds; each has its own model sizes and requests.
	fullSeeds = 2
	// comparedKeepWarm is the keep-warm time at which variants are compared.
	comparedKeepWarm = time.Minute
)

// keepWarmTimes are the keep-warm times of the trade-off curve. With the last one,
// copies are only evicted when their memory is needed.
var keepWarmTimes = []time.Duration{
	4 * time.Second,
	8 * time.Second,
	15 * time.Second,
	30 * time.Second,
	45 * time.Second,
	time.Minute,
	2 * time.Minute,
	4 * time.Minute,
	8 * time.Minute,
	24 * time.Hour,
}

// Run measures the product and its baselines on both sites, with and without
// faults, and writes one line of key=value pairs for each. Unless short, it also
// measures the trade-off curve and writes it to docs/loading-tradeoff.csv and
// .svg below the working directory.
func Run(ctx context.Context, out io.Writer, short bool) error {
	span, seeds := fullSpan, uint64(fullSeeds)
	if short {
		span, seeds = shortSpan, 1
	}
	var batches []*batch
	for _, site := range sites {
		batches = append(batches, newBatch(site, selectVariants(short), seeds, span))
	}
	runBatches(ctx, batches...)
	if err := ctx.Err(); err != nil {
		return err
	}
	var curve []point
	for i, site := range sites {
		results := batches[i].collect()
		if err := writeComparison(out, site, results); err != nil {
			return err
		}
		if short {
			continue
		}
		points := tradeoffPoints(site, results)
		if err := compareAtEqualP99(out, points); err != nil {
			return err
		}
		curve = append(curve, points...)
	}
	if short {
		return nil
	}
	return writeCurve(curve)
}

// selectVariants returns the variants that a run simulates, without duplicates.
func selectVariants(short bool) []Variant {
	all := comparedVariants()
	if short {
		return all
	}
	for _, variant := range tradeoffVariants() {
		if !slices.ContainsFunc(all, func(v Variant) bool { return v.key() == variant.key() }) {
			all = append(all, variant)
		}
	}
	return all
}

// comparedVariants returns the product and all baselines at comparedKeepWarm, without
// and with faults.
func comparedVariants() []Variant {
	faultless := variants(comparedKeepWarm)
	all := slices.Clone(faultless)
	for _, variant := range faultless {
		variant.Faults = true
		all = append(all, variant)
	}
	return all
}

// writeComparison writes the figures of all compared variants.
func writeComparison(out io.Writer, site Site, results map[string][]Result) error {
	for _, variant := range comparedVariants() {
		f := summarize(results[variant.key()])
		_, err := fmt.Fprintf(out,
			"site=%s variant=%s faults=%t idle=%s requests=%d wakes=%d coldp50=%.2f coldp99=%.2f bound=%.2f ratio=%.2f worst=%.2f p99=%.2f mean=%.2f idlehours=%.3f refused=%d peak=%d limited=%d\n",
			site.Name, variant.Name, variant.Faults, variant.Idle, f.requests, f.wakes, f.coldP50.Seconds(), f.coldP99.Seconds(),
			f.lowerBound.Seconds(), f.ratio, f.worst, f.p99.Seconds(), f.mean.Seconds(), f.idleHours, f.refused, f.peak, f.limited)
		if err != nil {
			return err
		}
	}
	return nil
}
