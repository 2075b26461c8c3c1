package coldstarter

import (
	"testing"

	"github.com/matryer/is"
)

// TestSessionsTellTheirContext checks that each request carries its number in
// its session and the time until the next one, which is zero for the last.
func TestSessionsTellTheirContext(t *testing.T) {
	is := is.New(t)
	last := map[int]arrival{}
	site := sites[0]
	site.Models = 1
	open := 0
	for _, request := range site.arrivals(warmUp) {
		if request.turn == 0 {
			open++
		}
		if request.gap == 0 {
			open--
		}
		last[request.turn] = request
	}
	is.True(open >= 0)
	is.True(len(last) > sessionRequests)
	m := site.moves()
	is.True(m.open > 0)
	is.True(m.tokens >= m.open*requestTokens)
	is.True(m.longest > sessionRequests*requestTokens)
	is.True(m.overlapping < m.requests)
}
