package coldstarter

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// targetRatio is the users' bound on the ratio of the cold starts' p99 to its lower bound.
const targetRatio = 1.25

func TestProductKeepsLimitsAndBound(t *testing.T) {
	is := is.New(t)
	for _, site := range sites {
		product := variants(comparedKeepWarm)[0]
		result := simulate(context.Background(), site, product, site.arrivals(warmUp+20*time.Minute))
		f := summarize([]Result{result})
		is.True(f.wakes > 0)
		is.Equal(f.refused, 0)
		is.Equal(f.limited, 0)
		is.True(f.peak <= weightSlots)
		is.True(f.ratio <= targetRatio)
	}
}

// TestUnmergedDemandBreaksLimits checks that the limits tested for the product
// can be exceeded at all: with unmerged demand they are, over the seeds and span
// of a full run. On each seed, unmerged demand also causes more cold starts.
func TestUnmergedDemandBreaksLimits(t *testing.T) {
	is := is.New(t)
	chosen := variants(comparedKeepWarm)
	product, unmerged := chosen[0], chosen[2]
	results := newBatch(sites[0], []Variant{product, unmerged}, fullSeeds, fullSpan).results(context.Background())
	f := summarize(results[unmerged.key()])
	is.True(f.refused+f.limited > 0 || f.peak > weightSlots)
	for seed, result := range results[unmerged.key()] {
		is.True(len(result.Wakes) > len(results[product.key()][seed].Wakes))
	}
}

func TestLowestIdleHoursAtP99(t *testing.T) {
	is := is.New(t)
	points := []point{
		{
			variant:   "age",
			p99:       5,
			idleHours: 100,
		},
		{
			variant:   "age",
			p99:       15,
			idleHours: 50,
		},
		{
			variant:   "product",
			p99:       5,
			idleHours: 10,
		},
	}
	best, ok := lowestIdleHours(points, "age", 15)
	is.True(ok)
	is.Equal(best.idleHours, 50.0)
	best, ok = lowestIdleHours(points, "age", 14)
	is.True(ok)
	is.Equal(best.idleHours, 100.0)
	_, ok = lowestIdleHours(points, "age", 4)
	is.Equal(ok, false)
}

func TestEqualPointsAreWrittenOnce(t *testing.T) {
	is := is.New(t)
	points := []point{
		{
			site:      "kreti",
			variant:   "age",
			p99:       10,
			idleHours: 0.1,
		},
		{
			site:      "kreti",
			variant:   "age",
			p99:       10,
			idleHours: 0.05,
		},
		{
			site:      "kreti",
			variant:   "product",
			p99:       9,
			idleHours: 0.4,
		},
	}
	var out strings.Builder
	is.NoErr(compareAtEqualP99(&out, points))
	is.Equal(strings.Count(out.String(), "\n"), 1)
	is.True(strings.Contains(out.String(), "productidle=0.4000 "))
	is.True(strings.Contains(out.String(), "ageidle=0.0500 "))
	is.True(strings.Contains(out.String(), "saving=-7.00\n"))
}
