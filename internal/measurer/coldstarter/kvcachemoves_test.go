package coldstarter

import (
	"testing"

	"github.com/matryer/is"
)

// TestSessionsRecordTurnsAndGaps checks that each request carries its number in
// its session and the time until the next one, which is zero for the last.
func TestSessionsRecordTurnsAndGaps(t *testing.T) {
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
	m := site.kvCacheFigures()
	is.True(m.openSessions > 0)
	is.True(m.contextTokens >= m.openSessions*requestTokens)
	is.True(m.maxContext > sessionRequests*requestTokens)
	is.True(m.overlapping < m.requests)
}
