package limiter

import (
	"testing"

	"github.com/matryer/is"
)

// TestRareRequestsHoldNothingAhead checks that no loan is held ahead of need for a team that calls one of
// many instances only rarely: those tokens would be missing at the others.
func TestRareRequestsHoldNothingAhead(t *testing.T) {
	is := is.New(t)
	var rare demand
	for range 5 {
		rare.add(9000)
		is.Equal(rare.target(), 0.0)
		for range 2 * paceIntervals {
			rare.tick()
			is.Equal(rare.target(), 0.0)
		}
	}
}

// TestFrequentRequestsHoldTheNextOnes checks that frequent requests keep a loan for the next one, and that
// the loan is given up once they stop.
func TestFrequentRequestsHoldTheNextOnes(t *testing.T) {
	is := is.New(t)
	var frequent demand
	for range 3 * paceIntervals {
		frequent.add(9000)
		frequent.tick()
	}
	is.True(frequent.target() >= 9000)
	for range 5 * paceIntervals {
		frequent.tick()
	}
	is.Equal(frequent.target(), 0.0)
}
