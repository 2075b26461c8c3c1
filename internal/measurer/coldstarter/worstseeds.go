package coldstarter

import (
	"context"
	"fmt"
	"io"
	"time"
)

const (
	// worstSpan is the simulated time of each seed, worstCount the number of seeds
	// among which the worst is found.
	worstSpan  = 2 * time.Hour
	worstCount = 12
)

// WorstSeeds simulates the product with many seeds on both sites, without
// faults, and writes the ratio of the cold starts' p99 to its lower bound, over
// all seeds and for the worst one. A short run uses the first three seeds.
func WorstSeeds(ctx context.Context, out io.Writer, short bool) error {
	seeds := uint64(worstCount)
	if short {
		seeds = 3
	}
	product := variants(comparedKeepWarm)[0]
	for _, site := range sites {
		results := newBatch(site, []Variant{product}, seeds, worstSpan).results(ctx)
		if err := ctx.Err(); err != nil {
			return err
		}
		f := summarize(results[product.key()])
		_, err := fmt.Fprintf(out, "site=%s variant=%s idle=%s span=%s seeds=%d wakes=%d coldp99=%.2f bound=%.2f ratio=%.2f worst=%.2f\n",
			site.Name, product.Name, product.Idle, worstSpan, seeds, f.wakes, f.coldP99.Seconds(), f.lowerBound.Seconds(), f.ratio, f.worst)
		if err != nil {
			return err
		}
	}
	return nil
}
