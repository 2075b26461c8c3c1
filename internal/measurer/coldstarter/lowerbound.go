package coldstarter

import (
	"slices"
	"time"
)

// lowerBound returns a lower bound of a quantile of the cold start times, for any
// order of loads: with a share of 0.99, at least one in a hundred cold starts
// takes that long in any schedule. It relaxes the weight store in two ways. First,
// a load only has to take as long as it would without any other. Second, the store
// is a single machine that reads at the combined speed of all slots. On one
// machine, the minimum number of loads that miss a common time limit is found by
// scheduling in order of arrival and, whenever a load misses the limit, dropping
// the longest one so far.
func lowerBound(wakes []Wake, share float64) time.Duration {
	allowed := int((1 - share) * float64(len(wakes)))
	low, high := time.Duration(0), time.Hour
	for high-low > time.Millisecond {
		limit := (low + high) / 2
		if minMisses(wakes, limit) <= allowed {
			high = limit
		} else {
			low = limit
		}
	}
	return high
}

// job is a load on the relaxed weight store, with its arrival and its duration there.
type job struct {
	arrival  time.Time
	duration time.Duration
}

// minMisses returns the minimum number of cold starts that take longer than limit.
func minMisses(wakes []Wake, limit time.Duration) int {
	missed := 0
	var jobs []job
	sorted := slices.SortedFunc(slices.Values(wakes), func(a, b Wake) int { return a.At.Compare(b.At) })
	for _, wake := range sorted {
		if uncontendedTime(wake) > limit {
			missed++
			continue
		}
		if !wake.Remote {
			continue
		}
		jobs = append(jobs, job{
			arrival:  wake.At,
			duration: seconds(float64(wake.Bytes) / (weightSpeed * weightSlots)),
		})
		end := completionTime(jobs)
		if end.Sub(wake.At) > limit {
			jobs = dropLongest(jobs)
			missed++
		}
		jobs = dropFinished(jobs, wake.At)
	}
	return missed
}

// uncontendedTime returns the duration of a cold start whose load runs without any other.
func uncontendedTime(wake Wake) time.Duration {
	if wake.Remote {
		return seconds(float64(wake.Bytes) / weightSpeed)
	}
	return seconds(float64(wake.Bytes) / diskSpeed)
}

// completionTime returns the time at which the last job ends if the jobs run in order of arrival.
func completionTime(jobs []job) time.Time {
	end := jobs[0].arrival
	for _, j := range jobs {
		if j.arrival.After(end) {
			end = j.arrival
		}
		end = end.Add(j.duration)
	}
	return end
}

// dropLongest removes the longest job.
func dropLongest(jobs []job) []job {
	longest := 0
	for i := range jobs {
		if jobs[i].duration > jobs[longest].duration {
			longest = i
		}
	}
	return slices.Delete(jobs, longest, longest+1)
}

// dropFinished removes the jobs of earlier busy periods, which no longer delay the last one.
func dropFinished(jobs []job, now time.Time) []job {
	for len(jobs) > 1 {
		if completionTime(jobs[:len(jobs)-1]).After(jobs[len(jobs)-1].arrival) {
			return jobs
		}
		jobs = jobs[len(jobs)-1:]
	}
	return jobs
}
