package admissionmeter

import (
	"sort"
	"sync"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/verifier/auditor"
)

// ledger records the requests of all teams and whether they were admitted.
type ledger struct {
	mu    sync.Mutex
	start time.Time
	calls map[string][]call
}

// call is the record of one request: the tokens that it reserved and those that it used.
type call struct {
	at       time.Time
	tokens   float64
	used     float64
	admitted bool
	// counted is set for calls after the warm-up.
	counted bool
	// effect is the time at which the reservation took effect.
	effect time.Time
}

func newLedger() *ledger {
	return &ledger{
		start: time.Now(),
		calls: make(map[string][]call),
	}
}

func (l *ledger) add(team string, c call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls[team] = append(l.calls[team], c)
}

// Result is the result of one team in one mode.
type Result struct {
	// Team is the team's name.
	Team string
	// Over is the largest excess over rate times window plus burst, in tokens.
	Over float64
	// Asked is the number of requests that a single token bucket for the entire
	// fleet would have admitted, Refused the number of those that were refused.
	Asked   int
	Refused int
	// Served is the admitted work as a fraction of the max-min fair share, which
	// is the minimum of the requested work and what the rate allows.
	Served float64
}

// result computes the result of one team from its calls.
func (l *ledger) result(team load, end time.Time) Result {
	l.mu.Lock()
	calls := append([]call(nil), l.calls[team.team]...)
	l.mu.Unlock()
	sort.SliceStable(calls, func(i, j int) bool { return calls[i].at.Before(calls[j].at) })
	r := Result{
		Team: team.team,
		Over: excess(team, l.start, calls),
	}
	bucket := idealBucket{
		level: float64(team.burst),
		at:    l.start,
	}
	asked, served, first := 0.0, 0.0, end
	for _, c := range calls {
		inside := bucket.admit(team, c)
		if !c.counted {
			continue
		}
		if c.at.Before(first) {
			first = c.at
		}
		asked += c.used
		if c.admitted {
			served += c.used
		}
		if inside {
			r.Asked++
			if !c.admitted {
				r.Refused++
			}
		}
	}
	r.Served = served / min(asked, team.rate*end.Sub(first).Seconds())
	return r
}

// excess returns by how many tokens the admitted calls exceeded the team's
// limits at most, as the auditor finds it.
func excess(team load, start time.Time, calls []call) float64 {
	spends := make([]auditor.Spend, 0, len(calls))
	for _, c := range calls {
		if c.admitted {
			spends = append(spends, auditor.Spend{
				At:     c.effect,
				Tokens: c.used,
			})
		}
	}
	return auditor.Budget([]auditor.Limit{
		{
			From:  start,
			Rate:  team.rate,
			Burst: float64(team.burst),
		},
	}, spends).Over
}

// idealBucket is a single token bucket for the entire fleet that knows in advance how
// many tokens each call will use.
type idealBucket struct {
	level float64
	at    time.Time
}

// admit reports whether the bucket admits a call, and takes the used tokens if so.
func (i *idealBucket) admit(team load, c call) bool {
	i.level = min(float64(team.burst), i.level+team.rate*c.at.Sub(i.at).Seconds())
	i.at = c.at
	if i.level < c.tokens {
		return false
	}
	i.level -= c.used
	return true
}
