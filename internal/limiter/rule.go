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
	// domains and instances are the numbers of parts: of the budget among domains, and of a domain's reserves
	// among instances.
	domains   int
	instances int
	// reserved is the fraction of a domain's budget that is split into reserves.
	reserved float64
	// maxAge is how long a holder's reported balance is used for estimates.
	maxAge time.Duration
}

// maxAgeIntervals is maxAge in intervals.
const maxAgeIntervals = 3

func newRule(config Config) rule {
	r := rule{
		mode:      config.Mode,
		domains:   max(len(config.Domains), 1),
		instances: max(config.Instances, 1),
		reserved:  config.Reserve,
		maxAge:    maxAgeIntervals * config.Interval,
	}
	switch r.mode {
	case parser.LimitEqual:
		r.reserved = 1
	case parser.LimitHome:
		r.reserved = 0
	}
	return r
}

// reservePart is the fraction of a team's budget that one reserve gets.
func (r rule) reservePart() float64 {
	return r.reserved / float64(r.domains*r.instances)
}

// reserve returns the rate and bound of one instance's reserve.
func (r rule) reserve(limits configurator.Team) (rate, bound float64) {
	return limits.Rate * r.reservePart(), float64(limits.Burst) * r.reservePart()
}

// equalShare is the domain's share of a team's budget unless another is recorded.
func (r rule) equalShare() float64 {
	return 1 / float64(r.domains)
}

// lends reports whether a holder lends budget to instances.
func (r rule) lends() bool { return r.mode != parser.LimitEqual }

// buffers reports whether instances hold loans ahead of requests.
func (r rule) buffers() bool { return r.mode != parser.LimitHome }
