package auditor

import (
	"cmp"
	"slices"
	"time"
)

// Audit is the result of replaying a team's spending.
type Audit struct {
	// Over is the largest excess in any window over the rate times the window plus the
	// burst, in tokens; zero if the limits were kept.
	Over float64
	// At is when that excess was reached.
	At time.Time
	// Spent is the sum of all spends, in tokens.
	Spent float64
}

// Budget replays the spending of one team against a token bucket that starts full.
// The bucket is overdrawn exactly if some window contains more spending than the rate
// times the window plus the burst. At least one limit must be given, in force before
// the first spend. A raised limit already applies to spends at the same instant, a
// lowered one only to later spends.
func Budget(limits []Limit, spends []Spend) Audit {
	spends = slices.Clone(spends)
	slices.SortStableFunc(spends, func(a, b Spend) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Tokens, b.Tokens))
	})
	r := replay{
		limit:   limits[0],
		level:   limits[0].Burst,
		updated: limits[0].From,
	}
	next := limits[1:]
	audit := Audit{}
	for _, spend := range spends {
		for len(next) > 0 && r.applies(next[0], spend.At) {
			r.setLimit(next[0])
			next = next[1:]
		}
		r.refill(spend.At)
		r.level = min(r.level-spend.Tokens, r.limit.Burst)
		audit.Spent += spend.Tokens
		if -r.level > audit.Over {
			audit.Over = -r.level
			audit.At = spend.At
		}
	}
	return audit
}
