package placer

import (
	"math"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/parser"
	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// State is the complete input of a placement decision.
type State struct {
	// Now is the time of the decision.
	Now time.Time
	// Engines are the engines of the group.
	Engines []Engine
	// Ledger holds the orders that may still take effect. The planner does not modify it.
	Ledger *Ledger
	// Wants is the demand of all instances, summed by key.
	Wants []Want
	// Catalog looks up the operators' configuration.
	Catalog Catalog
	// Replicas returns the group's share of the copies that a model may have in the domain.
	Replicas func(model configurator.Model) int
	// Slots is how many loads from the weight store may begin now.
	Slots int
	// AdapterLoads is how many adapter loads may begin now.
	AdapterLoads int
	// Idle is the configured idle time: how long a copy stays loaded without requests under
	// parser.EvictAge, or the idle time that one cold start is worth under
	// parser.EvictCost.
	Idle time.Duration
	// Policy is parser.EvictCost or parser.EvictAge.
	Policy string
	// AdapterOrders are the adapter orders that may still take effect.
	AdapterOrders []AdapterOrder
	// ClaimedAt is when this instance became the holder. Idle times are counted from then at
	// the earliest, because earlier requests are not known.
	ClaimedAt time.Time
	// Gaps are the histograms of the time between requests, by model.
	Gaps map[string]*GapHistogram
	// CommonGaps is the histogram of the time between requests over all models.
	CommonGaps *GapHistogram
	// Prewarm are the models that are worth loading ahead of demand.
	Prewarm map[string]bool
	// ByArrival makes the planner load strictly in order of arrival. Measurements use it as a
	// baseline.
	ByArrival bool
	// TeamCosts is the recent load time that each team caused, in seconds, for fairness.
	TeamCosts map[string]float64

	disabled disabledProtections
}

// coldStartCost returns the cost of one cold start of a copy, expressed as idle time of
// that copy. Under parser.EvictCost the cost grows faster than the load time, because the
// tail latency counts.
func (s *State) coldStartCost(bytes int64) time.Duration {
	if s.Policy == parser.EvictAge {
		return s.Idle
	}
	ratio := loadTime(bytes, reporter.PlaceRemote).Seconds() / referenceLoadTime.Seconds()
	return time.Duration(float64(s.Idle) * math.Pow(ratio, tailExponent))
}
