package limiter

const (
	// smoothing is the weight of the latest interval in the expected use.
	smoothing = 0.3
	// decay is the factor applied to the largest recent request each interval.
	decay = 0.98
	// targetIntervals is the number of intervals of expected use that a loan should cover.
	targetIntervals = 80
	// idleThreshold is the expected use below which no loan is kept, in tokens an interval.
	idleThreshold = 0.5
	// paceIntervals is the number of intervals over which requests are counted, and paceMinRequests the
	// number of requests within them from which on a loan is held ahead of need. A loan takes a few
	// milliseconds, and tokens that many instances hold ahead of rare requests are missing at the instance
	// where the next request arrives.
	paceIntervals   = 20
	paceMinRequests = 2
)

// demand predicts a team's token use at this instance.
type demand struct {
	// requested is the number of tokens requested since the last interval.
	requested float64
	// expected is the smoothed use in tokens an interval.
	expected float64
	// largest is the size of the largest recent request, in tokens.
	largest float64
	// requests is the number of requests since the last interval, pace a decaying count of those in the last
	// paceIntervals intervals.
	requests float64
	pace     float64
	// changed is set while the holder has not received the latest state.
	changed bool
}

// add counts a request.
func (d *demand) add(tokens int64) {
	d.requested += float64(tokens)
	d.requests++
	d.largest = max(d.largest, float64(tokens))
	d.changed = true
}

// tick closes an interval.
func (d *demand) tick() {
	d.expected += smoothing * (d.requested - d.expected)
	d.requested = 0
	d.pace += d.requests - d.pace/paceIntervals
	d.requests = 0
	d.largest *= decay
	if d.expected < idleThreshold {
		d.expected = 0
		d.largest = 0
	}
}

// target returns the size of the loan to hold ahead of need, in tokens.
func (d *demand) target() float64 {
	if d.expected == 0 && d.requested == 0 || d.pace+d.requests < paceMinRequests {
		return 0
	}
	return max(targetIntervals*d.expected, d.largest)
}
