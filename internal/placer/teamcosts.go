package placer

import (
	"math"
	"time"
)

// loadCostDecay is the time constant of the exponential decay of teams' load costs.
const loadCostDecay = time.Minute

// teamCosts sums the recent load time that each team caused, for fairness.
type teamCosts struct {
	// seconds is the decayed load time by team.
	seconds map[string]float64
	// decayedAt is the time until which the decay was applied.
	decayedAt time.Time
}

func newTeamCosts() *teamCosts {
	return &teamCosts{
		seconds: map[string]float64{},
	}
}

// add adds the duration of one load to a team's cost.
func (t *teamCosts) add(team string, took time.Duration, now time.Time) {
	t.decay(now)
	t.seconds[team] += took.Seconds()
}

// decay applies the decay until now and drops teams with negligible costs.
func (t *teamCosts) decay(now time.Time) {
	factor := math.Exp(-now.Sub(t.decayedAt).Seconds() / loadCostDecay.Seconds())
	t.decayedAt = now
	for team := range t.seconds {
		t.seconds[team] *= factor
		if t.seconds[team] < negligible {
			delete(t.seconds, team)
		}
	}
}
