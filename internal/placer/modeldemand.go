package placer

import (
	"time"

	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// maxFairnessPenalty limits how long the loads of a team that recently caused many are
// deferred in favor of other teams.
const maxFairnessPenalty = 3 * time.Second

// modelDemand is the demand for one model during a decision.
type modelDemand struct {
	model   configurator.Model
	version configurator.Version
	// want is the demand of all versions and adapters of the model, summed.
	want Want
	// rate is the recent number of requests per second.
	rate float64
	// priority orders loads, earliest first: by arrival plus load time, so that short loads
	// may overtake long ones that arrived within their load time, plus the penalty of a team
	// that recently caused many loads.
	priority time.Time
	// prewarm is set if the model is to be loaded ahead of demand and no request waits for
	// it.
	prewarm bool
}

// aggregateDemand sums the demand by model. It leaves out models without a version that may
// serve, and demand for withdrawn adapters, which nothing can serve and which would count as
// waiting until its deadline.
func (p *planBuilder) aggregateDemand() {
	p.demands = make(map[string]*modelDemand, len(p.state.Wants))
	for i := range p.state.Wants {
		want := &p.state.Wants[i]
		if !p.state.Catalog.adapterServable(want.Key.Adapter) {
			continue
		}
		demand, ok := p.demands[want.Key.Model]
		if !ok {
			demand = &modelDemand{
				want: Want{
					Key: Key{
						Model: want.Key.Model,
					},
				},
			}
			p.demands[want.Key.Model] = demand
		}
		demand.want.addWant(*want)
	}
	for name := range p.state.Prewarm {
		if _, ok := p.demands[name]; !ok {
			p.demands[name] = &modelDemand{
				want: Want{
					Key: Key{
						Model: name,
					},
				},
			}
		}
	}
	for name, demand := range p.demands {
		model, version, ok := p.state.Catalog.currentVersion(name)
		if !ok {
			delete(p.demands, name)
			continue
		}
		demand.model = model
		demand.version = version
		demand.prewarm = demand.want.Waiting == 0 && p.state.Prewarm[name]
		demand.rate = demand.want.recentAt(p.state.Now) / requestDecay.Seconds()
		penalty := time.Duration(min(maxFairnessPenalty.Seconds(), p.state.TeamCosts[demand.want.Team]) * float64(time.Second))
		demand.priority = demand.want.Since.Add(penalty + loadTime(version.Bytes, reporter.PlaceRemote))
	}
}

// lastUsed returns when a model was last requested, or when the term began if that is
// later.
func (p *planBuilder) lastUsed(model string) time.Time {
	if demand, ok := p.demands[model]; ok && demand.want.Used.After(p.state.ClaimedAt) {
		return demand.want.Used
	}
	return p.state.ClaimedAt
}
