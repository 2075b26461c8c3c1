package router

import "time"

const (
	// historyStep is the time resolution of a history.
	historyStep = 25 * time.Millisecond
	// historySteps is the number of steps that a history covers.
	historySteps = 64
	// offsetGrowth is the rate at which an estimated clock offset grows, as a fraction of elapsed
	// time, so that no minimum holds forever.
	offsetGrowth = 1e-3
)

// sample is the number of this instance's running requests at the end of a step. Steps are numbered
// from the Unix epoch.
type sample struct {
	step    int64
	running int32
}

// runningHistory is a ring buffer of the number of requests that this instance had
// running on an upstream. It also estimates the offset of the upstream's clock.
type runningHistory struct {
	samples [historySteps]sample
	// offset is added to a time on the upstream's clock to get local time.
	offset     time.Duration
	hasOffset  bool
	lastReport time.Time
}

// add records the number of running requests at a time.
func (h *runningHistory) add(now time.Time, running int) {
	step := now.UnixNano() / int64(historyStep)
	h.samples[step%historySteps] = sample{
		step:    step,
		running: int32(running),
	}
}

// localTime converts the timestamp of a report, a time on the upstream's clock, into local time. It
// takes the smallest difference between arrival and timestamp so far as the offset between the clocks.
func (h *runningHistory) localTime(at, received time.Time) time.Time {
	offset := received.Sub(at)
	if h.hasOffset {
		h.offset += time.Duration(offsetGrowth * float64(received.Sub(h.lastReport)))
	}
	if !h.hasOffset || offset < h.offset {
		h.offset = offset
	}
	h.hasOffset = true
	h.lastReport = received
	return at.Add(h.offset)
}

// runningAt returns the number of running requests at a time: the latest sample up to then, or
// current if the ring buffer has none.
func (h *runningHistory) runningAt(t time.Time, current int) int {
	step := t.UnixNano() / int64(historyStep)
	for age := range int64(historySteps) {
		s := h.samples[(step-age+historySteps)%historySteps]
		if s.step == step-age {
			return int(s.running)
		}
	}
	return current
}
