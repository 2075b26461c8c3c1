package coldstarter

import "time"

// figures are the statistics of a variant over all seeds. Those without a comment
// have the meaning of the fields of Result.
type figures struct {
	requests int
	wakes    int
	// coldP50 and coldP99 are quantiles of the cold start times.
	coldP50 time.Duration
	coldP99 time.Duration
	// lowerBound is the lower bound of coldP99, ratio is coldP99 divided by it.
	lowerBound time.Duration
	ratio      float64
	// worst is the highest ratio of a single seed.
	worst float64
	// p99 and mean are of the waits of all requests.
	p99       time.Duration
	mean      time.Duration
	idleHours float64
	refused   int
	peak      int
	limited   int
}

// summarize combines the results of all seeds, as if their simulations had run
// on consecutive days.
func summarize(results []Result) figures {
	var f figures
	var all Result
	for i := range results {
		result := &results[i]
		for _, wake := range result.Wakes {
			wake.At = wake.At.Add(time.Duration(i) * day)
			all.Wakes = append(all.Wakes, wake)
		}
		all.Waits = append(all.Waits, result.Waits...)
		f.requests += result.Requests
		f.idleHours += result.IdleHours
		f.refused += result.Refused
		f.peak = max(f.peak, result.Peak)
		f.limited += result.Limited
		f.worst = max(f.worst, quantile(result.coldStartTimes(), 0.99).Seconds()/lowerBound(result.Wakes, 0.99).Seconds())
	}
	f.wakes = len(all.Wakes)
	f.coldP50 = quantile(all.coldStartTimes(), 0.5)
	f.coldP99 = quantile(all.coldStartTimes(), 0.99)
	f.lowerBound = lowerBound(all.Wakes, 0.99)
	f.ratio = f.coldP99.Seconds() / f.lowerBound.Seconds()
	f.p99 = quantile(all.Waits, 0.99)
	total := time.Duration(0)
	for _, wait := range all.Waits {
		total += wait
	}
	f.mean = total / time.Duration(max(1, len(all.Waits)))
	return f
}
