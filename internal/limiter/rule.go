package limiter

import (
	"time"

	"github.com/buckthorngap/buckthorngap/internal/parser"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// rule defines how a team's limits are divided among domains, holders and reserves.
type rule struct {
	// mode is one of the parser.Limit constants.
	mode string
	// domains is the number of domains that a budget is divided among, instances the number of instances that a
	// domain's reserves are divided among.
	domains   int
	instances int
	// reservedFraction is the fraction of a domain's budget that is split into reserves.
	reservedFraction float64
	// maxBalanceAge is how long a holder's reported balance is used for estimates.
	maxBalanceAge time.Duration
}

// maxBalanceAgeIntervals is maxBalanceAge in intervals.
const maxBalanceAgeIntervals = 3

func newRule(config Config) rule {
	r := rule{
		mode:             config.Mode,
		domains:          max(len(config.Domains), 1),
		instances:        max(config.ReserveCount, 1),
		reservedFraction: config.ReserveFraction,
		maxBalanceAge:    maxBalanceAgeIntervals * config.DemandInterval,
	}
	switch r.mode {
	case parser.LimitEqual:
		r.reservedFraction = 1
	case parser.LimitHome:
		r.reservedFraction = 0
	}
	return r
}

// reserveFraction returns the fraction of a team's budget that one reserve gets.
func (r rule) reserveFraction() float64 {
	return r.reservedFraction / float64(r.domains*r.instances)
}

// reserveLimits returns the rate and bound of one instance's reserve.
func (r rule) reserveLimits(limits configurator.Team) (rate, bound float64) {
	return limits.Rate * r.reserveFraction(), float64(limits.Burst) * r.reserveFraction()
}

// equalShare returns the domain's share of a team's budget unless another is recorded.
func (r rule) equalShare() float64 {
	return 1 / float64(r.domains)
}

// lends reports whether a holder lends budget to instances.
func (r rule) lends() bool { return r.mode != parser.LimitEqual }

// buffers reports whether instances hold loans ahead of requests.
func (r rule) buffers() bool { return r.mode != parser.LimitHome }
