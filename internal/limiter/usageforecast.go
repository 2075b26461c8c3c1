package limiter

const (
	// smoothing is the weight of the latest interval in the expected use.
	smoothing = 0.3
	// largestDecay is the factor applied to the largest recent request each interval.
	largestDecay = 0.98
	// targetIntervals is the number of intervals of expected use that a loan should cover.
	targetIntervals = 80
	// idleThreshold is the expected use below which no loan is kept, in tokens per interval.
	idleThreshold = 0.5
	// recentIntervals is the number of intervals over which requests are counted, and minRecentRequests the
	// minimum number of requests within them for which a loan is held ahead of need. Borrowing on demand takes
	// only a few milliseconds, whereas tokens that many instances hold ahead of rare requests are missing at
	// the instance where the next request arrives.
	recentIntervals   = 20
	minRecentRequests = 2
)

// usageForecast predicts a team's token use at this instance.
type usageForecast struct {
	// requestedTokens is the number of tokens requested since the last interval.
	requestedTokens float64
	// expectedUse is the smoothed use in tokens per interval.
	expectedUse float64
	// largestRequest is the size of the largest recent request, in tokens.
	largestRequest float64
	// requestCount is the number of requests since the last interval, recentRequests a decaying count of those in
	// the last recentIntervals intervals.
	requestCount   float64
	recentRequests float64
	// changed is set while the holder has not received the latest state.
	changed bool
}

// add counts a request.
func (f *usageForecast) add(tokens int64) {
	f.requestedTokens += float64(tokens)
	f.requestCount++
	f.largestRequest = max(f.largestRequest, float64(tokens))
	f.changed = true
}

// tick ends an interval.
func (f *usageForecast) tick() {
	f.expectedUse += smoothing * (f.requestedTokens - f.expectedUse)
	f.requestedTokens = 0
	f.recentRequests += f.requestCount - f.recentRequests/recentIntervals
	f.requestCount = 0
	f.largestRequest *= largestDecay
	if f.expectedUse < idleThreshold {
		f.expectedUse = 0
		f.largestRequest = 0
	}
}

// targetLoan returns the size of the loan to hold ahead of need, in tokens.
func (f *usageForecast) targetLoan() float64 {
	if f.expectedUse == 0 && f.requestedTokens == 0 || f.recentRequests+f.requestCount < minRecentRequests {
		return 0
	}
	return max(targetIntervals*f.expectedUse, f.largestRequest)
}
