package coldstarter

import (
	"context"
	"fmt"
	"io"
	"time"
)

const (
	// prewarmSpan is the simulated time of each seed, which includes two full hours
	// after the warm-up; prewarmSeeds is the number of seeds.
	prewarmSpan  = 130 * time.Minute
	prewarmSeeds = 3
)

// prewarmTimes are the keep-warm times at which the product is measured with and
// without prewarming. With unlimitedKeepWarm, which is measured only without
// prewarming, copies stay until their memory is needed.
var prewarmTimes = []time.Duration{
	15 * time.Second,
	30 * time.Second,
	time.Minute,
	2 * time.Minute,
	4 * time.Minute,
	unlimitedKeepWarm,
}

// unlimitedKeepWarm is a keep-warm time longer than the simulation.
const unlimitedKeepWarm = day

// workload describes the shifts, the sessions that begin at full hours, and how they
// recur each day.
type workload struct {
	// shift is the share of the site's models that are requested in a shift.
	shift float64
	// recurring is the share of these that are the same each day.
	recurring float64
	// spread is the time within which their sessions begin.
	spread time.Duration
}

// workloads are the compared workloads: shifts that do not recur, recurring shifts
// of the size in the other measurements, large recurring shifts, and large shifts
// of which 80 % recurs, over five minutes instead of seconds.
var workloads = []workload{
	{
		shift:  0.2,
		spread: shiftSpan,
	},
	{
		shift:     0.2,
		recurring: 1,
		spread:    shiftSpan,
	},
	{
		shift:     0.6,
		recurring: 1,
		spread:    shiftSpan,
	},
	{
		shift:     0.6,
		recurring: 0.8,
		spread:    5 * time.Minute,
	},
}

// Prewarms compares the product with prewarming, which loads models before their
// daily recurring demand, to the product without it, on both sites and at
// several keep-warm times. See comparePrewarms for the comparison.
func Prewarms(ctx context.Context, out io.Writer, short bool) error {
	for _, site := range sites {
		for _, w := range workloads {
			varied := site
			varied.Shift = int(w.shift * float64(site.Models))
			varied.Recurring = w.recurring
			varied.Spread = w.spread
			if err := measurePrewarming(ctx, out, varied, short); err != nil {
				return err
			}
		}
	}
	return nil
}

// measurePrewarming compares the product with and without prewarming on one site with one workload.
func measurePrewarming(ctx context.Context, out io.Writer, site Site, short bool) error {
	seeds, times := uint64(prewarmSeeds), prewarmTimes
	if short {
		seeds, times = 1, []time.Duration{comparedKeepWarm}
	}
	var chosen []Variant
	for _, idle := range times {
		product := variants(idle)[0]
		prewarming := product
		prewarming.Name = "prewarm"
		prewarming.Prewarm = true
		chosen = append(chosen, product)
		if idle != unlimitedKeepWarm {
			chosen = append(chosen, prewarming)
		}
	}
	results := newBatch(site, chosen, seeds, prewarmSpan).results(ctx)
	if err := ctx.Err(); err != nil {
		return err
	}
	var points []point
	for _, variant := range chosen {
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
		_, err := fmt.Fprintf(out, "site=%s shift=%d recurring=%.1f spread=%s variant=%s idle=%s wakes=%d coldp99=%.2f p99=%.2f mean=%.2f idlehours=%.1f refused=%d peak=%d limited=%d\n",
			site.Name, site.Shift, site.Recurring, site.Spread, variant.Name, variant.Idle, f.wakes, f.coldP99.Seconds(),
			f.p99.Seconds(), f.mean.Seconds(), f.idleHours, f.refused, f.peak, f.limited)
		if err != nil {
			return err
		}
	}
	return comparePrewarms(out, site, points)
}

// comparePrewarms writes each point with prewarming, next to the lowest idle hours
// of the product without it at a p99 that is no higher, and its lowest p99 at idle
// hours that are no higher, or -1 if there is no such point.
func comparePrewarms(out io.Writer, site Site, points []point) error {
	for _, p := range points {
		if p.variant != "prewarm" {
			continue
		}
		p99AtIdle, idleAtP99 := -1.0, -1.0
		if best, ok := lowestIdleHours(points, "product", p.p99); ok {
			idleAtP99 = best.idleHours
		}
		for _, other := range points {
			if other.variant == "product" && other.idleHours <= p.idleHours && (p99AtIdle < 0 || other.p99 < p99AtIdle) {
				p99AtIdle = other.p99
			}
		}
		_, err := fmt.Fprintf(out, "site=%s shift=%d recurring=%.1f spread=%s idle=%s p99=%.2f idlehours=%.1f productidle_at_p99=%.1f productp99_at_idle=%.2f\n",
			site.Name, site.Shift, site.Recurring, site.Spread, p.keepWarm, p.p99, p.idleHours, idleAtP99, p99AtIdle)
		if err != nil {
			return err
		}
	}
	return nil
}
