package coldstarter

import (
	"fmt"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/parser"
	"github.com/buckthorngap/buckthorngap/internal/placer"
)

// Variant is one configuration of model placement: the product or a baseline.
type Variant struct {
	// Name is the variant's name in the results.
	Name string
	// Policy is the eviction policy, parser.EvictCost or parser.EvictAge.
	Policy string
	// Idle is the keep-warm time: under eviction by age, the time after which an idle copy is evicted; under
	// eviction by cost, the idle time that one cold start is worth.
	Idle time.Duration
	// Instances is the number of instances in each domain that decide independently;
	// one means that the demand of all instances is merged.
	Instances int
	// ByArrival makes placers load strictly in order of arrival.
	ByArrival bool
	// Prewarm makes placers load models before their daily recurring demand.
	Prewarm bool
	// Faults makes engines crash and the weight store read at reduced speed for some time.
	Faults bool
}

// key identifies the variant by its name, keep-warm time and faults.
func (v Variant) key() string { return fmt.Sprintf("%s/%s/%t", v.Name, v.Idle, v.Faults) }

// planner returns the planner that the variant's placers use.
func (v Variant) planner() placer.Planner {
	if !v.ByArrival {
		return placer.Decide
	}
	return func(state placer.State) placer.Plan {
		state.ByArrival = true
		return placer.Decide(state)
	}
}

// variants returns the product and its baselines at one keep-warm time: eviction
// by age, unmerged demand of two instances, and loading in order of arrival.
func variants(idle time.Duration) []Variant {
	product := Variant{
		Name:      "product",
		Policy:    parser.EvictCost,
		Idle:      idle,
		Instances: 1,
	}
	age := product
	age.Name = "age"
	age.Policy = parser.EvictAge
	unmerged := product
	unmerged.Name = "unmerged"
	unmerged.Instances = 2
	arrival := product
	arrival.Name = "arrival"
	arrival.ByArrival = true
	return []Variant{product, age, unmerged, arrival}
}
