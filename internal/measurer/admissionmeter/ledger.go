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
	calls map[string][]requestRecord
}

// requestRecord is the record of one request: the tokens that it reserved and those that it used.
type requestRecord struct {
	arrivedAt time.Time
	tokens    float64
	used      float64
	admitted  bool
	// measured is set for requests after the warm-up.
	measured bool
	// effectiveAt is the time at which the reservation took effect.
	effectiveAt time.Time
}

func newLedger() *ledger {
	return &ledger{
		start: time.Now(),
		calls: make(map[string][]requestRecord),
	}
}

func (l *ledger) add(team string, c requestRecord) {
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
	// Asked is the number of requests inside the rate, which a single token bucket
	// for the entire fleet would have admitted; Refused is the number of those that
	// were refused.
	Asked   int
	Refused int
	// Served is the admitted work, in tokens, as a fraction of the max-min fair share,
	// which is the minimum of the requested work and what the rate allows.
	Served float64
}

// result computes the result of one team from the records of its requests, up to the end of the measurement.
func (l *ledger) result(team teamLoad, end time.Time) Result {
	l.mu.Lock()
	calls := append([]requestRecord(nil), l.calls[team.name]...)
	l.mu.Unlock()
	sort.SliceStable(calls, func(i, j int) bool { return calls[i].arrivedAt.Before(calls[j].arrivedAt) })
	r := Result{
		Team: team.name,
		Over: excess(team, l.start, calls),
	}
	bucket := idealBucket{
		level:     float64(team.burst),
		updatedAt: l.start,
	}
	requested, served, firstArrival := 0.0, 0.0, end
	for _, c := range calls {
		withinRate := bucket.admit(team, c)
		if !c.measured {
			continue
		}
		if c.arrivedAt.Before(firstArrival) {
			firstArrival = c.arrivedAt
		}
		requested += c.used
		if c.admitted {
			served += c.used
		}
		if withinRate {
			r.Asked++
			if !c.admitted {
				r.Refused++
			}
		}
	}
	r.Served = served / min(requested, team.rate*end.Sub(firstArrival).Seconds())
	return r
}

// excess returns the largest number of tokens by which the admitted requests
// exceeded the team's limits, as computed by the auditor.
func excess(team teamLoad, start time.Time, calls []requestRecord) float64 {
	spends := make([]auditor.Spend, 0, len(calls))
	for _, c := range calls {
		if c.admitted {
			spends = append(spends, auditor.Spend{
				At:     c.effectiveAt,
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
