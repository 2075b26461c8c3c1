package coldstarter

import (
	"slices"
	"time"
)

// bound returns a lower bound of the quantile of the cold start times that any
// order of loads can reach: with a share of 0.99, at least one in a hundred cold
// starts must take as long. It relaxes the weight store in two ways. First, a
// load only has to take as long as it would alone. Second, the store is one
// machine that reads at the combined speed of all slots. For a common time
// limit, the minimum number of loads that miss it on one machine is known:
// schedule in order of arrival, and whenever a load misses the limit, drop the
// longest one so far.
func bound(wakes []Wake, share float64) time.Duration {
	allowed := int((1 - share) * float64(len(wakes)))
	low, high := time.Duration(0), time.Hour
	for high-low > time.Millisecond {
		limit := (low + high) / 2
		if misses(wakes, limit) <= allowed {
			high = limit
		} else {
			low = limit
		}
	}
	return high
}

// job is a load on the relaxed weight store.
type job struct {
	at    time.Time
	takes time.Duration
}

// misses returns the minimum number of cold starts that take longer than a limit.
func misses(wakes []Wake, limit time.Duration) int {
	missed := 0
	var jobs []job
	sorted := slices.SortedFunc(slices.Values(wakes), func(a, b Wake) int { return a.At.Compare(b.At) })
	for _, wake := range sorted {
		if alone(wake) > limit {
			missed++
			continue
		}
		if !wake.Remote {
			continue
		}
		jobs = append(jobs, job{
			at:    wake.At,
			takes: seconds(float64(wake.Bytes) / (weightSpeed * weightSlots)),
		})
		end := schedule(jobs)
		if end.Sub(wake.At) > limit {
			jobs = dropLongest(jobs)
			missed++
		}
		jobs = dropFinished(jobs, wake.At)
	}
	return missed
}

// alone returns the duration of a load that runs without any other.
func alone(wake Wake) time.Duration {
	if wake.Remote {
		return seconds(float64(wake.Bytes) / weightSpeed)
	}
	return seconds(float64(wake.Bytes) / diskSpeed)
}

// schedule returns the time at which the last job ends if they run in order of arrival.
func schedule(jobs []job) time.Time {
	end := jobs[0].at
	for _, j := range jobs {
		if j.at.After(end) {
			end = j.at
		}
		end = end.Add(j.takes)
	}
	return end
}

// dropLongest removes the longest job.
func dropLongest(jobs []job) []job {
	longest := 0
	for i := range jobs {
		if jobs[i].takes > jobs[longest].takes {
			longest = i
		}
	}
	return slices.Delete(jobs, longest, longest+1)
}

// dropFinished removes the jobs of earlier busy periods, which no longer delay the last one.
func dropFinished(jobs []job, now time.Time) []job {
	for len(jobs) > 1 {
		if schedule(jobs[:len(jobs)-1]).After(jobs[len(jobs)-1].at) {
			return jobs
		}
		jobs = jobs[len(jobs)-1:]
	}
	return jobs
}
