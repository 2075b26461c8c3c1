package limiter

import (
	"testing"

	"github.com/matryer/is"
)

// TestRareRequestsKeepNoLoan checks that no loan is held ahead of need for a team that calls one of many instances
// only rarely: those tokens would be missing at the others.
func TestRareRequestsKeepNoLoan(t *testing.T) {
	is := is.New(t)
	var rare usageForecast
	for range 5 {
		rare.add(9000)
		is.Equal(rare.targetLoan(), 0.0)
		for range 2 * recentIntervals {
			rare.tick()
			is.Equal(rare.targetLoan(), 0.0)
		}
	}
}

// TestFrequentRequestsKeepALoan checks that frequent requests keep a loan for the next one, and that no loan is
// held once they stop.
func TestFrequentRequestsKeepALoan(t *testing.T) {
	is := is.New(t)
	var frequent usageForecast
	for range 3 * recentIntervals {
		frequent.add(9000)
		frequent.tick()
	}
	is.True(frequent.targetLoan() >= 9000)
	for range 5 * recentIntervals {
		frequent.tick()
	}
	is.Equal(frequent.targetLoan(), 0.0)
}
