package limiter

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestThroughput checks that a team gets its rate if it requests more, and that nothing is refused if it
// requests less.
func TestThroughput(t *testing.T) {
	for gap, least := range map[int]float64{20: 0.95, 150: 0.75} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(1, 3, 3, nil)
			f.setTeam("team", 3000, 30000)
			go f.keepElecting()
			time.Sleep(20 * time.Second)
			for _, n := range f.nodes {
				go f.traffic(n.name, "team", gap)
			}
			time.Sleep(30 * time.Second)
			before, _ := f.totals("team")
			time.Sleep(30 * time.Second)
			after, refused := f.totals("team")
			is.True((after-before)/30 >= least*3000)
			is.True(gap < 100 || refused == 0)
			_, audit := f.largestExcess()
			is.True(audit.Over <= tolerance)
			f.stop()
		})
	}
}

// keepElecting runs elections until the traffic ends.
func (f *fleet) keepElecting() {
	for !f.ended() {
		f.elect()
		time.Sleep(100 * time.Millisecond)
	}
}

// totals returns the tokens that a team spent and the number of refused requests of all teams.
func (f *fleet) totals(team string) (spent float64, refused int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.spends[team] {
		spent += s.Tokens
	}
	return spent, f.refused
}
