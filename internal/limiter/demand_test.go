package limiter

import (
	"testing"

	"github.com/matryer/is"
)

// TestRareRequestsHoldNothingAhead plays a team that asks an instance of many
// once in a while: what this one held would be missing at the others.
func TestRareRequestsHoldNothingAhead(t *testing.T) {
	is := is.New(t)
	var rare demand
	for range 5 {
		rare.add(9000)
		is.Equal(rare.target(), 0.0)
		for range 2 * paceSpan {
			rare.tick()
			is.Equal(rare.target(), 0.0)
		}
	}
}

func TestFrequentRequestsHoldTheNextOnes(t *testing.T) {
	is := is.New(t)
	var frequent demand
	for range 3 * paceSpan {
		frequent.add(9000)
		frequent.tick()
	}
	is.True(frequent.target() >= 9000)
	for range 5 * paceSpan {
		frequent.tick()
	}
	is.Equal(frequent.target(), 0.0)
}
