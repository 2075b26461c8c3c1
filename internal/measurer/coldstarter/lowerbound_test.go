package coldstarter

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// runOnSlots runs loads in order of arrival on the slots of the weight store and
// returns the duration of each. No such schedule may be faster than the lower bound.
func runOnSlots(wakes []Wake) []time.Duration {
	var free [weightSlots]time.Time
	took := make([]time.Duration, len(wakes))
	for i, wake := range wakes {
		best := 0
		for slot := range free {
			if free[slot].Before(free[best]) {
				best = slot
			}
		}
		begin := wake.At
		if free[best].After(begin) {
			begin = free[best]
		}
		free[best] = begin.Add(uncontendedTime(wake))
		took[i] = free[best].Sub(wake.At)
	}
	return took
}

// randomLoads returns 300 loads from the weight store of 2 to 22 GB each, with a mean interval of 3 s.
func randomLoads(random *rand.Rand) []Wake {
	var wakes []Wake
	at := epoch
	for range 300 {
		at = at.Add(time.Duration(random.ExpFloat64() * float64(3*time.Second)))
		wakes = append(wakes, Wake{
			At:     at,
			Bytes:  int64((2 + 20*random.Float64()) * gigabyte),
			Remote: true,
		})
	}
	return wakes
}

func TestLowerBoundHoldsForSchedulesInOrderOfArrival(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		wakes := randomLoads(rand.New(rand.NewPCG(seed, 3)))
		floor := lowerBound(wakes, 0.99)
		is.True(floor <= quantile(runOnSlots(wakes), 0.99)+time.Millisecond)
		is.True(floor > 0)
	}
}

func TestLowerBoundOfOneLoadIsItsDuration(t *testing.T) {
	is := is.New(t)
	wakes := []Wake{
		{
			At:     epoch,
			Bytes:  10 * gigabyte,
			Remote: true,
		},
	}
	is.True((lowerBound(wakes, 0.99) - 5*time.Second).Abs() < 2*time.Millisecond)
}

func TestLowerBoundIncludesQueueing(t *testing.T) {
	is := is.New(t)
	var wakes []Wake
	for range 100 {
		wakes = append(wakes, Wake{
			At:     epoch,
			Bytes:  8 * gigabyte,
			Remote: true,
		})
	}
	is.True(lowerBound(wakes, 0.99) > 95*time.Second)
}
