package limiter

const (
	// smoothing is the weight of the latest interval in the expected use.
	smoothing = 0.3
	// decay shrinks the largest recent request each interval.
	decay = 0.98
	// ahead is the number of intervals that a loan is to last.
	ahead = 80
	// idle is the expected use below which nothing is kept, in tokens an interval.
	idle = 0.5
	// paceSpan is the number of intervals over which requests are counted, and
	// paceLeast the number of requests within them from which on budget is held
	// ahead: a loan takes a few milliseconds, and what many instances hold ahead of
	// rare requests is missing where the next one arrives.
	paceSpan  = 20
	paceLeast = 2
)

// demand predicts what a team will spend at the instance.
type demand struct {
	// asked counts tokens since the last interval.
	asked float64
	// expected is the smoothed use of an interval, in tokens.
	expected float64
	// largest is the largest recent request, in tokens.
	largest float64
	// requests counts requests since the last interval, pace those of late in
	// paceSpan intervals.
	requests float64
	pace     float64
	// changed is set while the holder has not heard of the latest state.
	changed bool
}

func (d *demand) add(tokens int64) {
	d.asked += float64(tokens)
	d.requests++
	d.largest = max(d.largest, float64(tokens))
	d.changed = true
}

// tick closes an interval.
func (d *demand) tick() {
	d.expected += smoothing * (d.asked - d.expected)
	d.asked = 0
	d.pace += d.requests - d.pace/paceSpan
	d.requests = 0
	d.largest *= decay
	if d.expected < idle {
		d.expected = 0
		d.largest = 0
	}
}

// target is the loan to hold, in tokens.
func (d *demand) target() float64 {
	if d.expected == 0 && d.asked == 0 || d.pace+d.requests < paceLeast {
		return 0
	}
	return max(ahead*d.expected, d.largest)
}
