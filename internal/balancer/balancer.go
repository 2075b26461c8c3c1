// Package balancer spreads requests over upstreams whose load is known only as of some time ago, while many instances choose
// at the same moment. It estimates what an upstream's load is by now, and draws an upstream so that all instances together fill
// the room that each of them sees, rather than all send to the upstream that looks emptiest.
//
// It answers load that is uneven over upstreams of one service. It knows neither connections nor clocks.
package balancer

import (
	"cmp"
	"slices"
)

// Option is an upstream that could get a request. Times are in any unit that is the same for all options.
type Option struct {
	// Time is the expected time until the upstream has done what the request waits for.
	Time float64
	// Ahead is the part of Time that the upstream spends on requests before this one.
	Ahead float64
	// Step is how much longer Time gets with each further request; more than zero.
	Step float64
	// Unseen is the number of requests that are expected to have been sent by other instances since the upstream stated its
	// load.
	Unseen float64
}

// Draw returns the index of the option that gets a request, given a uniform random number below 1.
//
// It takes the requests that other instances are expected to have sent meanwhile, and this one, as a volume that fills the
// options from the fastest one up to one level of Time, and draws an option by its part of the volume. With fresh knowledge
// that is the fastest option, with none at all any of them alike.
func Draw(options []Option, random float64) int {
	order := make([]int, len(options))
	volume := 1.0
	for i := range options {
		order[i] = i
		volume += options[i].Unseen
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(options[a].Time, options[b].Time) })
	level := fill(options, order, volume)
	random *= volume
	for _, i := range order {
		random -= max(0, level-options[i].Time) / options[i].Step
		if random < 0 {
			return i
		}
	}
	return order[0]
}

// fill returns the level of Time up to which a volume of requests fills the options, given their order by Time.
func fill(options []Option, order []int, volume float64) float64 {
	level, rate := 0.0, 0.0
	sum := volume
	for n, i := range order {
		sum += options[i].Time / options[i].Step
		rate += 1 / options[i].Step
		level = sum / rate
		if n+1 < len(order) && level <= options[order[n+1]].Time {
			break
		}
	}
	return level
}

// Leave returns the probability that a request does not go to its home, the option that is best for it but for load, and is
// drawn from all options instead. All instances that share the home together then move only the part of its load that is too
// much, and the others keep what the home holds for them.
func Leave(home Option, options []Option) float64 {
	fastest := home.Time
	for i := range options {
		fastest = min(fastest, options[i].Time)
	}
	if fastest >= home.Time || home.Ahead <= 0 {
		return 0
	}
	return min(1, (home.Time-fastest)/home.Ahead)
}
