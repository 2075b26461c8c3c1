package placer

import (
	"math"
	"time"
)

const (
	// gapBuckets is the number of histogram buckets; bucket i holds gaps of up to two to
	// the power of i/2 seconds.
	gapBuckets = 36
	// gapDecay is the factor by which the weights of older gaps are multiplied when one is
	// added.
	gapDecay = 0.99
	// commonGapDecay is the same factor for the histogram of all models.
	commonGapDecay = 0.9995
	// minGapWeight is the total weight below which the histogram of all models is not used.
	minGapWeight = 10.0
	// gapPriorWeight is the weight that the gaps of all models have in the estimate for one
	// model.
	gapPriorWeight = 20.0
)

// gapLimits are the upper limits of the buckets, in seconds.
var gapLimits = func() (limits [gapBuckets]float64) {
	for i := range limits {
		limits[i] = math.Pow(2, float64(i)/2)
	}
	return limits
}()

// GapHistogram is a histogram, with exponential decay, of the gaps (inter-arrival times)
// between requests for a model.
type GapHistogram struct {
	// counts are the weights of the gaps and sums are their weighted lengths in seconds,
	// both by bucket.
	counts [gapBuckets]float64
	sums   [gapBuckets]float64
	// total is the sum of counts.
	total float64
	// lastArrival is when the latest request arrived.
	lastArrival time.Time
}

// observe adds the gap before a request that arrived at the given time, also to the
// histogram of all models. Requests that are not newer than the last one are ignored.
func (h *GapHistogram) observe(arrived time.Time, common *GapHistogram) {
	if !arrived.After(h.lastArrival) {
		return
	}
	if !h.lastArrival.IsZero() {
		gap := arrived.Sub(h.lastArrival).Seconds()
		h.add(gap, gapDecay)
		common.add(gap, commonGapDecay)
	}
	h.lastArrival = arrived
}

// add counts one gap, in seconds, and reduces the weight of older ones.
func (h *GapHistogram) add(gap, decay float64) {
	bucket := 0
	if gap > 1 {
		bucket = min(gapBuckets-1, int(math.Ceil(2*math.Log2(gap))))
	}
	for i := range h.counts {
		h.counts[i] *= decay
		h.sums[i] *= decay
	}
	h.counts[bucket]++
	h.sums[bucket] += gap
	h.total = h.total*decay + 1
}

// keepAlive returns the idle time after which a copy should be unloaded to minimize the
// expected cost, if one more cold start costs as much as coldStartCost of idle time. The
// gaps of all models serve as a prior while the model has few of its own.
func (h *GapHistogram) keepAlive(coldStartCost time.Duration, common *GapHistogram) time.Duration {
	if common.total < minGapWeight {
		return coldStartCost
	}
	prior := gapPriorWeight / common.total
	total := h.total + gapPriorWeight
	best, lowest := 0.0, total*coldStartCost.Seconds()
	shorter, longer := 0.0, total
	for i, limit := range gapLimits {
		shorter += h.sums[i] + prior*common.sums[i]
		longer -= h.counts[i] + prior*common.counts[i]
		if cost := shorter + longer*(limit+coldStartCost.Seconds()); cost < lowest {
			best, lowest = limit, cost
		}
	}
	return time.Duration(best * float64(time.Second))
}
