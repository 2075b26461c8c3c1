package auditor

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// at returns the time that many seconds after the Unix epoch.
func at(seconds float64) time.Time {
	return time.Unix(0, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// TestBudgetFindsWrongHistory audits histories that exceed the budget by known amounts.
func TestBudgetFindsWrongHistory(t *testing.T) {
	is := is.New(t)
	limits := []Limit{{
		From:  at(0),
		Rate:  10,
		Burst: 100,
	}}
	right := []Spend{{
		At:     at(5),
		Tokens: 100,
	}, {
		At:     at(6),
		Tokens: 10,
	}}
	is.Equal(Budget(limits, right).Over, 0.0)
	wrong := append(right, Spend{
		At:     at(6),
		Tokens: 3,
	})
	is.Equal(Budget(limits, wrong).Over, 3.0)
	lowered := append(limits, Limit{
		From:  at(7),
		Rate:  1,
		Burst: 10,
	})
	is.Equal(Budget(lowered, []Spend{{
		At:     at(9),
		Tokens: 11,
	}}).Over, 1.0)
}

// TestBudgetMatchesSumsOverWindows compares the replay of random spends with the excess
// that is computed by summing the spends of every window.
func TestBudgetMatchesSumsOverWindows(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		var spends []Spend
		now := 0.0
		for range 30 {
			now += rng.Float64()
			spends = append(spends, Spend{
				At:     at(now),
				Tokens: float64(rng.IntN(30)),
			})
		}
		worst := 0.0
		for i := range spends {
			sum := 0.0
			for j := i; j < len(spends); j++ {
				sum += spends[j].Tokens
				worst = max(worst, sum-10*spends[j].At.Sub(spends[i].At).Seconds()-50)
			}
		}
		over := Budget([]Limit{{
			From:  at(0),
			Rate:  10,
			Burst: 50,
		}}, spends).Over
		is.True(over-worst < 1e-6 && worst-over < 1e-6)
	}
}
