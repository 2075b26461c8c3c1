package coldstarter

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

// TestPrewarmingReducesColdStartsAndP99 checks that prewarming for large
// recurring shifts reduces cold starts and the p99 of all waits, within all limits.
func TestPrewarmingReducesColdStartsAndP99(t *testing.T) {
	is := is.New(t)
	for _, site := range sites {
		site.Shift = site.Models * 6 / 10
		site.Recurring = 1
		product := variants(comparedKeepWarm)[0]
		prewarming := product
		prewarming.Name = "prewarm"
		prewarming.Prewarm = true
		results := newBatch(site, []Variant{product, prewarming}, 1, prewarmSpan).results(context.Background())
		without, with := summarize(results[product.key()]), summarize(results[prewarming.key()])
		is.True(with.wakes < without.wakes)
		is.True(with.p99 < without.p99)
		is.Equal(with.refused, 0)
		is.Equal(with.limited, 0)
		is.True(with.peak <= weightSlots)
	}
}
